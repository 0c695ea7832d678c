use super::call_route::answer_call;
use super::gateway_host::GatewayHost;
use super::stop_phase::StopPhase;
use crate::in_flight::InFlightWork;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// The smallest buffer that the HTTP library accepts.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// Accepts and serves callers' connections until the host stops reading requests.
pub(super) async fn serve_callers(listener: TcpListener, host: Arc<GatewayHost>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = host.wait_for_phase(StopPhase::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, Arc::clone(&host)));
            }
            Err(error) => {
                log::warn!("event=accept_failed cause=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, host: Arc<GatewayHost>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=caller_socket cause=\"{error}\"");
    }
    let limits = host.routes().limits();
    let service = {
        let host = Arc::clone(&host);
        service_fn(move |request| answer_call(Arc::clone(&host), request))
    };
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time.max(limits.head_time))
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = host.wait_for_phase(StopPhase::Closing) => {
            // An answer that is complete may still have to be written to a caller that reads slowly.
            let _guard = host.in_flight.begin(host.now(), InFlightWork::Connection);
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("event=caller_connection_ended cause=\"{error}\"");
    }
}
