//! Calls to servers that are given up before their answer began.
//!
//! Guards against a request that is delivered after its caller was told that it failed: the kernel went on sending what a
//! cut had held up, and servers ran it 6.2 s later, although they had stated that they leave.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tealcleat::bench::site::{SitePlan, TestSite};
use tealcleat::engines::{AnswerProof, HttpPool, SendLimits};
use tealcleat::peers::PeerClient;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

mod site_common;

use site_common::runtime;

/// Ends a test that hangs. No guarantee depends on this value.
const LIMIT: Duration = Duration::from_secs(30);
/// How long a call waits before it is given up. No guarantee depends on this value.
const CALL_TIME: Duration = Duration::from_millis(100);
/// Body of a request that a server with a full buffer receives in part only.
const BODY_BYTES: usize = 30_000;
/// Receive buffer of that server.
const BUFFER_BYTES: u32 = 2_304;

fn request(body_bytes: usize) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(vec![b'x'; body_bytes])));
    *request.method_mut() = hyper::Method::POST;
    request
}

/// Calls the server on a connection of `pool`, and gives the call up.
async fn abandon_call(pool: &HttpPool, server: SocketAddr, body_bytes: usize) {
    let proof = AnswerProof::Contents("x-request-id");
    let call = pool.send(server, request(body_bytes), proof, SendLimits::default());
    tokio::time::timeout(CALL_TIME, call).await.expect_err("the server does not answer");
}

/// Calls the server and reads its whole answer.
async fn complete_call(pool: &HttpPool, server: SocketAddr) {
    let proof = AnswerProof::Contents("x-request-id");
    let answer = pool.send(server, request(1), proof, SendLimits::default()).await;
    answer.expect("an answer").into_body().read_all().await.expect("a whole answer");
}

/// Reads what arrives up to the end of the connection; returns its length, and the kind of error if it was reset.
async fn read_to_end(stream: &mut TcpStream) -> (usize, Option<ErrorKind>) {
    let mut received = Vec::new();
    let end = within(stream.read_to_end(&mut received)).await;
    (received.len(), end.err().map(|error| error.kind()))
}

async fn within<T>(wait: impl Future<Output = T>) -> T {
    tokio::time::timeout(LIMIT, wait).await.expect("it comes")
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

async fn accept(listener: &TcpListener) -> TcpStream {
    within(listener.accept()).await.expect("a connection").0
}

/// Reads the request of `complete_call` and answers it.
async fn answer_once(stream: &mut TcpStream) {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\nx") {
        within(stream.read_buf(&mut request)).await.expect("a request");
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await.expect("it is sent");
}

#[test]
fn abandoned_call_is_not_delivered_later() {
    runtime().block_on(async {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(BUFFER_BYTES).expect("a small buffer");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = socket.listen(8).expect("it listens");
        let server = listener.local_addr().expect("an address");
        abandon_call(&HttpPool::default(), server, BODY_BYTES).await;
        let mut stream = accept(&listener).await;
        // The connection ends a moment after its call; a server that reads on until then receives the rest.
        within(stream.ready(Interest::ERROR)).await.expect("the end of the connection");
        let (received, reset) = read_to_end(&mut stream).await;
        assert!(received < BODY_BYTES, "{received} bytes arrived");
        assert_eq!(reset, Some(ErrorKind::ConnectionReset));
    });
}

/// A server that has received the whole request learns at once that its caller is gone.
#[test]
fn abandoned_call_resets_its_connection() {
    runtime().block_on(async {
        let (listener, server) = listen().await;
        abandon_call(&HttpPool::default(), server, 1).await;
        let (_, reset) = read_to_end(&mut accept(&listener).await).await;
        assert_eq!(reset, Some(ErrorKind::ConnectionReset));
    });
}

/// The same on a connection that carried an answered call before.
#[test]
fn abandoned_call_resets_its_pooled_connection() {
    runtime().block_on(async {
        let (listener, server) = listen().await;
        let pool = HttpPool::default();
        let serve = async {
            let mut stream = accept(&listener).await;
            answer_once(&mut stream).await;
            stream
        };
        let ((), mut stream) = tokio::join!(complete_call(&pool, server), serve);
        abandon_call(&pool, server, 1).await;
        let (received, reset) = read_to_end(&mut stream).await;
        assert!(received > 0, "the second call uses the same connection");
        assert_eq!(reset, Some(ErrorKind::ConnectionReset));
    });
}

/// Guards against resets of connections whose calls were answered.
#[test]
fn answered_connection_of_a_dropped_pool_is_not_reset() {
    runtime().block_on(async {
        let (listener, server) = listen().await;
        let pool = HttpPool::default();
        let serve = async {
            let mut stream = accept(&listener).await;
            answer_once(&mut stream).await;
            stream
        };
        let ((), mut stream) = tokio::join!(complete_call(&pool, server), serve);
        drop(pool);
        assert_eq!(read_to_end(&mut stream).await, (0, None));
    });
}

/// Guards against a host that forwards a connection and delivers what the other host has given up.
#[test]
fn abandoned_tunnel_resets_the_connection_to_the_server() {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("it starts");
        let (listener, server) = listen().await;
        site.write_entry("i-silent", "app", server, None, "ready");
        let host = &site.hosts[0].host;
        while !host.state().fleet.entries().any(|entry| entry.address == server) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let client = PeerClient::new("a-shared-key-of-tests");
        let opened = client.open_tunnel(site.hosts[0].peers, server, false, LIMIT).await;
        let mut tunnel = opened.expect("a reply").expect("a connection");
        tunnel.write_all(b"request").await.expect("it is sent");
        let mut stream = accept(&listener).await;
        let mut start = [0; 7];
        within(stream.read_exact(&mut start)).await.expect("the request");
        drop(tunnel);
        assert_eq!(read_to_end(&mut stream).await, (0, Some(ErrorKind::ConnectionReset)));
    });
}
