use super::fault_switch::FaultSwitch;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;

/// Time that a run of a request takes.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// State of one plain service, which runs every request and counts the runs of each body.
#[derive(Debug, Default)]
pub struct ServiceCore {
    /// Faults that are switched on.
    pub faults: FaultSwitch,
    runs: Mutex<HashMap<String, u64>>,
    received: Mutex<HashMap<String, u64>>,
}

impl ServiceCore {
    /// Number of arrivals of each POST body so far, including those that a fault keeps from running.
    pub fn received(&self) -> HashMap<String, u64> {
        self.received.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Number of runs of each POST body so far.
    pub fn runs(&self) -> HashMap<String, u64> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Serves one server of a service until the process ends.
pub(super) async fn serve_service(listener: TcpListener, service: Arc<ServiceCore>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let service = Arc::clone(&service);
        tokio::spawn(async move {
            let handler = service_fn(move |request| answer(Arc::clone(&service), request));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), handler);
            let _ = connection.await;
        });
    }
}

async fn answer(
    service: Arc<ServiceCore>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let path = request.uri().path().to_owned();
    let posted = request.method() == hyper::Method::POST;
    let broken = || std::io::Error::other("broken");
    let body = request.into_body().collect().await.map_err(|_error| broken())?.to_bytes();
    let text = String::from_utf8_lossy(&body).into_owned();
    if posted {
        let mut received = service.received.lock().unwrap_or_else(PoisonError::into_inner);
        *received.entry(text.clone()).or_default() += 1;
    }
    service.faults.wait_while_frozen().await;
    let run = if posted {
        let mut runs = service.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let count = runs.entry(text).or_default();
        *count += 1;
        *count
    } else {
        0
    };
    tokio::time::sleep(SERVICE_TIME).await;
    if posted && service.faults.loses_answers() {
        return Err(broken());
    }
    let body = json!({"path": path, "run": run, "bytes": body.len()}).to_string();
    Ok(Response::new(Full::new(Bytes::from(body))))
}
