use super::{FaultCommand, StandinSet};
use crate::{Error, Result};
use rouille::{Request, Response};
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;

/// Serves the HTTP interface that switches faults and reports counters; returns its address.
///
/// # Errors
/// If the port cannot be bound.
pub(super) fn serve_control(set: Arc<StandinSet>) -> Result<SocketAddr> {
    let handler = move |request: &Request| answer(&set, request);
    let server = rouille::Server::new("127.0.0.1:0", handler)
        .map_err(|error| Error::Io(std::io::Error::other(error.to_string())))?
        .pool_size(4);
    let address = server.server_addr();
    std::thread::spawn(move || server.run());
    Ok(address)
}

fn answer(set: &StandinSet, request: &Request) -> Response {
    match (request.method(), request.url().as_str()) {
        ("GET", "/stats") => Response::json(&set.stats()),
        ("POST", "/fault") => {
            let mut text = String::new();
            let read = request.data().map(|body| body.take(4096).read_to_string(&mut text));
            let command = match (read, serde_json::from_str::<FaultCommand>(&text)) {
                (Some(Ok(_)), Ok(command)) => command,
                (_, Err(error)) => return Response::text(error.to_string()).with_status_code(400),
                _ => return Response::text("no body").with_status_code(400),
            };
            if set.switch_fault(&command) {
                Response::text("switched\n")
            } else {
                Response::text("no such target\n").with_status_code(404)
            }
        }
        _ => Response::text("GET /stats or POST /fault\n").with_status_code(404),
    }
}
