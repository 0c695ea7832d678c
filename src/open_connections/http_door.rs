//! Accepts connections and serves HTTP on them.

use super::connection_gauge::SILENT_BYTES;
use super::connection_room::RoomAdmission;
use super::{CallerStream, ConnectionGauge, ConnectionRoom, TrackedBody};
use crate::keys::HostClock;
use crate::telemetry::BoundedNotice;
use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// How often connections are looked for that take nothing of their answers.
const SWEEP_PERIOD: Duration = Duration::from_secs(2);
/// What the kernel holds of a connection that is not read or not taken. Bytes that were not read count as the process's.
const SOCKET_BUFFER_BYTES: usize = 32 << 10;
/// What a field of a head takes beside its name and value.
const FIELD_BYTES: usize = 64;
/// The smallest buffer that the HTTP library accepts.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// Limits on what may arrive on an HTTP connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpLimits {
    /// Longest head of a request.
    pub head_bytes: usize,
    /// Longest wait for a whole head, from the opening of the connection or the answer before it.
    pub head_wait: Duration,
}

/// Accepts connections as long as `room` admits them, and passes each to `serve`; never returns. A connection that is closed
/// to make room ends what serves it.
pub async fn accept_connections<Serving: Future<Output = ()> + Send + 'static>(
    listener: TcpListener,
    room: Arc<ConnectionRoom>,
    serve: impl Fn(TcpStream, Arc<ConnectionGauge>) -> Serving,
) {
    let clock = HostClock::start();
    let mut notice = BoundedNotice::default();
    let mut sweep = tokio::time::interval(SWEEP_PERIOD);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = sweep.tick() => {
                room.close_stalled_answers();
                continue;
            }
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                if let Some(count) = notice.record(clock.now(), 1) {
                    let door = room.name();
                    log::warn!("event=accept_failed door={door} count={count} cause=\"{error}\"");
                }
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Some((gauge, admission)) = room.open(SILENT_BYTES) else {
            // Dropping the stream closes the connection.
            drop(stream);
            tokio::task::yield_now().await;
            continue;
        };
        let key = gauge.key();
        let task = tokio::spawn(serve(stream, gauge));
        room.attach(key, task.abort_handle());
        if admission == RoomAdmission::MadeRoom {
            // Whoever sent a request at once is read before the next connections of a crowd take its room.
            tokio::task::yield_now().await;
        }
    }
}

/// Bounds what the kernel holds of each connection that `listener` accepts.
pub fn bound_socket_buffers(listener: &TcpListener) {
    let socket = SockRef::from(listener);
    let receive = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    if let Err(error) = receive.and_then(|()| socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)) {
        log::debug!("event=socket_buffers cause=\"{error}\"");
    }
}

/// Serves HTTP on a connection until it ends. Once `closing` is done, requests that were read are answered, and no more are
/// read; what it returns is kept until then.
pub async fn serve_http<B, Answering, Closing>(
    stream: TcpStream,
    gauge: Arc<ConnectionGauge>,
    limits: HttpLimits,
    answer: impl Fn(Request<Incoming>, Arc<ConnectionGauge>) -> Answering + Send + Sync + 'static,
    closing: Closing,
) where
    B: Body + Unpin + Send + 'static,
    B::Data: Send,
    B::Error: std::error::Error + Send + Sync + 'static,
    Answering: Future<Output = Response<B>> + Send + 'static,
    Closing: Future + Send,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=caller_socket cause=\"{error}\"");
    }
    let mut closing = std::pin::pin!(closing);
    // The buffers of the HTTP library are not for those who only connect.
    // A request that has arrived is read before the connection closes.
    let has_spoken = tokio::select! {
        biased;
        spoken = tokio::time::timeout(limits.head_wait, stream.readable()) => spoken.is_ok(),
        _ = closing.as_mut() => false,
    };
    if !has_spoken {
        return;
    }
    let head_bytes = limits.head_bytes.max(MIN_HEAD_BYTES);
    gauge.bound_heads(head_bytes);
    let answer = Arc::new(answer);
    let service = {
        let gauge = Arc::clone(&gauge);
        service_fn(move |request| {
            Box::pin(answer_in_turn(request, Arc::clone(&gauge), Arc::clone(&answer)))
        })
    };
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_wait)
        .max_buf_size(head_bytes)
        .serve_connection(TokioIo::new(CallerStream::new(stream, gauge)), service);
    let mut connection = Box::pin(connection);
    let ended = tokio::select! {
        biased;
        ended = connection.as_mut() => ended,
        _guard = closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("event=caller_connection_ended cause=\"{error}\"");
    }
}

/// Answers a request once those before it were answered and their answers taken.
async fn answer_in_turn<B, Answering: Future<Output = Response<B>>>(
    request: Request<Incoming>,
    gauge: Arc<ConnectionGauge>,
    answer: Arc<impl Fn(Request<Incoming>, Arc<ConnectionGauge>) -> Answering>,
) -> Result<Response<TrackedBody<B>>, Infallible> {
    let permit = gauge.await_turn(head_size(&request)).await;
    if request.body().is_end_stream() {
        gauge.end_receiving();
    }
    let answer = answer(request, Arc::clone(&gauge)).await;
    gauge.end_receiving();
    Ok(answer.map(|body| TrackedBody::new(body, gauge, permit)))
}

/// Bytes of a request's head, as far as it was kept.
fn head_size<B>(request: &Request<B>) -> usize {
    let fields = request.headers().iter();
    let bytes = fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_BYTES);
    request.uri().path().len() + bytes.sum::<usize>()
}
