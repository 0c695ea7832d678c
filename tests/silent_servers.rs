//! Idle connections to a backend server fall silent without being closed, while new connections work.
//!
//! Guards against a loss for each connection: a host keeps several connections to a server, which fall silent together,
//! and each of them cost one more request, which waited until its caller gave up.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tealcleat::bench::links::LinkProxy;
use tealcleat::bench::site::{ServiceFault, SiteService};
use tealcleat::engines::{AnswerProof, HttpPool, SendLimits};

mod site_common;

use site_common::runtime;

const CONNECTIONS: usize = 3;
/// Time that the server works on each request, so that concurrent requests need a connection each.
const WORK_TIME: Duration = Duration::from_millis(50);
/// After this time a call is given up.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

async fn call_server(pool: &HttpPool, address: SocketAddr, id: &str) -> bool {
    let request = Request::get("/").header("x-request-id", id).body(Full::new(Bytes::new()));
    let request = request.expect("a request");
    let (proof, limits) = (AnswerProof::Id("x-request-id"), SendLimits::default());
    let exchange = async {
        let answer = pool.send(address, request, proof, limits).await.expect("an answer");
        answer.into_body().read_all().await.expect("a whole one");
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange).await.is_ok()
}

/// Opens several connections to a server through a link proxy and leaves them idle in the pool.
async fn idle_connections() -> (HttpPool, LinkProxy, Arc<SiteService>) {
    let service = Arc::new(SiteService::new("i-service-0"));
    service.set_fault(ServiceFault::Slow(WORK_TIME));
    let link = LinkProxy::start(service.serve().await.expect("a port")).await.expect("a link");
    let pool = HttpPool::default();
    let ids: Vec<String> = (0..CONNECTIONS).map(|place| format!("first-{place}")).collect();
    let calls = ids.iter().map(|id| call_server(&pool, link.address, id));
    assert!(futures_util::future::join_all(calls).await.into_iter().all(|served| served));
    (pool, link, service)
}

#[test]
fn silent_connections_cost_one_call() {
    runtime().block_on(async {
        let (pool, link, _service) = idle_connections().await;
        link.stall_open_connections();
        assert!(!call_server(&pool, link.address, "meets-silence").await);
        assert!(call_server(&pool, link.address, "comes-next").await);
    });
}

/// A server that answers other calls is not silent; its other connections are kept.
#[test]
fn slow_call_leaves_connections_in_use() {
    runtime().block_on(async {
        let (pool, link, service) = idle_connections().await;
        service.set_fault(ServiceFault::Slow(CALL_TIMEOUT * 2));
        let slow = call_server(&pool, link.address, "slow");
        let other = async {
            tokio::time::sleep(WORK_TIME).await;
            service.set_fault(ServiceFault::None);
            call_server(&pool, link.address, "other").await
        };
        let (slow, other) = futures_util::future::join(slow, other).await;
        assert!(!slow && other);
        assert!(pool.warm_addresses().contains(&link.address));
    });
}

/// Guards against further calls on connections that fell silent with the one of a call that is kept.
#[test]
fn kept_silent_call_takes_no_idle_connection_along() {
    runtime().block_on(async {
        let (pool, link, _service) = idle_connections().await;
        link.stall_open_connections();
        let (address, silent_pool) = (link.address, pool.clone());
        let kept = tokio::spawn(async move { call_server(&silent_pool, address, "kept").await });
        tokio::time::sleep(CALL_TIMEOUT / 2).await;
        pool.record_silence(address);
        assert!(call_server(&pool, address, "comes-next").await);
        assert!(!kept.await.expect("it ends"));
    });
}
