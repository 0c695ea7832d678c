use crate::host::{ConfirmRequest, HostState};
use crate::{Error, Result};
use hmac::{Hmac, Mac};
use rouille::{Request, Response};
use sha2::Sha256;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::runtime::Handle;

const MAX_BODY_BYTES: u64 = 4 << 20;
const WORKER_THREADS: usize = 4;

/// Serves operators on threads of its own and returns the bound address.
///
/// # Errors
/// Fails if the port cannot be bound.
pub fn serve_operators(host: Arc<HostState>, runtime: Handle) -> Result<SocketAddr> {
    let address = host.settings.operators_listen;
    let handler = move |request: &Request| handle_request(&host, &runtime, request);
    let server = rouille::Server::new(address, handler)
        .map_err(|error| Error::Io(std::io::Error::other(format!("{address}: {error}"))))?
        .pool_size(WORKER_THREADS);
    let bound = server.server_addr();
    std::thread::spawn(move || server.run());
    Ok(bound)
}

fn handle_request(host: &Arc<HostState>, runtime: &Handle, request: &Request) -> Response {
    if !is_authorized(host, request) {
        return Response::text("the operator key is missing or wrong\n").with_status_code(401);
    }
    match (request.method(), request.url().as_str()) {
        ("GET", "/status") => Response::json(&host.status()),
        ("GET", "/config") => Response::json(&*host.config()),
        ("GET", "/metrics") => Response::text(host.metrics_text()),
        ("POST", "/plan") => match read_text(request) {
            Ok(text) => Response::json(&host.plan(&text)),
            Err(error) => bad_request(&error),
        },
        ("POST", "/confirm") => match read_text(request)
            .and_then(|text| Ok(serde_json::from_str::<ConfirmRequest>(&text)?))
        {
            Ok(request) => Response::json(&host.confirm(&request)),
            Err(error) => bad_request(&error),
        },
        ("POST", "/drain") => {
            host.begin_drain();
            Response::json(&host.status())
        }
        ("GET", path) => match path.strip_prefix("/trace/") {
            Some(id) => trace_response(host, runtime, id),
            None => Response::text(format!("no route for {path:?}\n")).with_status_code(404),
        },
        (method, path) => {
            Response::text(format!("no route for {method} {path:?}\n")).with_status_code(404)
        }
    }
}

fn trace_response(host: &Arc<HostState>, runtime: &Handle, id: &str) -> Response {
    match u128::from_str_radix(id, 16) {
        Ok(trace) => Response::json(&runtime.block_on(host.gather_spans(trace))),
        Err(_) => Response::text(format!("{id:?} is not a trace id\n")).with_status_code(400),
    }
}

/// Compares keyed hashes of the operator keys, so that the response time reveals nothing about the key.
fn is_authorized(host: &HostState, request: &Request) -> bool {
    let given = request.header("authorization").and_then(|value| value.strip_prefix("Bearer "));
    let Some(given) = given else { return false };
    let hash = |key: &str| {
        Hmac::<Sha256>::new_from_slice(b"tealcleat operators").map(|mut hash| {
            hash.update(key.as_bytes());
            hash
        })
    };
    match (hash(given), hash(&host.settings.operator_key)) {
        (Ok(given), Ok(expected)) => given.verify_slice(&expected.finalize().into_bytes()).is_ok(),
        _ => false,
    }
}

fn read_text(request: &Request) -> Result<String> {
    let body = request.data().ok_or_else(|| Error::Refused("the body is gone".to_owned()))?;
    let mut text = String::new();
    body.take(MAX_BODY_BYTES).read_to_string(&mut text)?;
    Ok(text)
}

fn bad_request(error: &Error) -> Response {
    Response::text(format!("{error}\n")).with_status_code(400)
}
