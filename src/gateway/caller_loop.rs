use super::call_route::answer_call;
use super::gateway_host::GatewayHost;
use super::stop_phase::StopPhase;
use crate::in_flight::InFlightWork;
use crate::open_connections::{
    ConnectionGauge, HttpLimits, accept_connections, bound_socket_buffers, serve_http,
};
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};

/// Accepts and serves callers' connections until the host stops reading requests.
pub(super) async fn serve_callers(listener: TcpListener, host: Arc<GatewayHost>) {
    bound_socket_buffers(&listener);
    let room = Arc::clone(&host.rooms.callers);
    let serving = accept_connections(listener, room, |stream, gauge| {
        serve_connection(stream, gauge, Arc::clone(&host))
    });
    tokio::select! {
        () = serving => {}
        () = host.wait_for_phase(StopPhase::Closing) => {}
    }
}

async fn serve_connection(stream: TcpStream, gauge: Arc<ConnectionGauge>, host: Arc<GatewayHost>) {
    let limits = host.routes().limits();
    let http = HttpLimits {
        head_bytes: limits.head_bytes,
        head_wait: limits.idle_time.max(limits.head_time),
    };
    let closing = async {
        host.wait_for_phase(StopPhase::Closing).await;
        // An answer that is complete may still have to be written to a caller that reads slowly.
        host.in_flight.begin(host.now(), InFlightWork::Connection)
    };
    let answering_host = Arc::clone(&host);
    let answer = move |request, gauge| answer_call(Arc::clone(&answering_host), request, gauge);
    serve_http(stream, gauge, http, answer, closing).await;
}
