//! Connections through a host that stops carry no further calls.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use std::cell::Cell;
use std::net::SocketAddr;
use tealcleat::Result;
use tealcleat::engines::{AnswerProof, DialedConnection, HttpPool, PooledBody, SendLimits};
use tealcleat::server_paths::ConnectionPath;
use tokio::net::TcpStream;

mod endless_common;
mod site_common;

use endless_common::{EndlessPart, EndlessServer};
use site_common::runtime;

const BODY_BYTES: usize = 100;

/// Sends a request through the host at `helper`, and counts the connections that are opened for it.
async fn send(
    pool: &HttpPool,
    server: SocketAddr,
    helper: SocketAddr,
    id: &str,
    dials: &Cell<u32>,
) -> Result<Response<PooledBody>> {
    let dial = async || {
        dials.set(dials.get() + 1);
        let stream = TcpStream::connect(server).await?;
        DialedConnection::start(stream, ConnectionPath::Tunnel(helper)).await
    };
    let request = Request::post("/").header("x-request-id", id).body(Full::new(Bytes::new()));
    let proof = AnswerProof::Id("x-request-id");
    let request = request.expect("a request");
    pool.send_through(dial, server, request, proof, SendLimits::default()).await
}

async fn read(answer: Response<PooledBody>) {
    let body = answer.into_body().read_all().await.expect("a whole answer");
    assert_eq!(body.len(), BODY_BYTES);
}

/// Guards against a stream that begins on a connection which was in use when its host began to stop, and which the exit of
/// that host cuts.
#[test]
fn connection_in_use_not_kept_when_its_host_stops() {
    runtime().block_on(async {
        let server = EndlessServer::start(EndlessPart::WholeBody(BODY_BYTES), false).await;
        let helper: SocketAddr = ([127, 0, 0, 1], 9).into();
        let (pool, dials) = (HttpPool::default(), Cell::new(0));
        read(send(&pool, server.address, helper, "r1", &dials).await.expect("an answer")).await;
        let answer = send(&pool, server.address, helper, "r2", &dials).await.expect("an answer");
        assert_eq!(dials.get(), 1, "an idle connection is used again");
        assert!(pool.has_tunnels(), "one is in use");
        pool.retain_tunnels(|_| false);
        read(answer).await;
        read(send(&pool, server.address, helper, "r3", &dials).await.expect("an answer")).await;
        assert_eq!(dials.get(), 2, "the host stops");
        pool.retain_tunnels(|_| false);
        assert!(!pool.has_tunnels());
    });
}
