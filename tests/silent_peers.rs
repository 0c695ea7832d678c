//! Kept connections between hosts become silent without being closed, while new ones work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tealcleat::bench::links::LinkProxy;
use tealcleat::keys::TimePoint;
use tealcleat::open_connections::ConnectionRoom;
use tealcleat::peers::{PeerClient, PeerHandler, PeerTimeouts, ViewFetches, serve_peers};
use tealcleat::resource_plan::{MachineLimits, ResourcePlan};
use tokio::net::TcpListener;

mod site_common;

use site_common::runtime;

const KEY: &str = "a-shared-key-of-tests";
const TIMEOUTS: PeerTimeouts =
    PeerTimeouts { reply: Duration::from_millis(300), pause: Duration::from_millis(300) };
/// The other side replies to this number only after the client's timeout.
const SLOW: u32 = 13;

/// Replies with the requested number.
struct EchoHandler;

impl PeerHandler for EchoHandler {
    type Request = u32;
    type Reply = u32;

    async fn handle(self: Arc<Self>, request: u32) -> u32 {
        if request == SLOW {
            tokio::time::sleep(TIMEOUTS.reply * 10).await;
        }
        request
    }
}

/// A host behind a link.
async fn linked_peer() -> LinkProxy {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let room = ResourcePlan::new(&MachineLimits::default()).unproven;
    let room = Arc::new(ConnectionRoom::new("peers", room));
    tokio::spawn(serve_peers(listener, KEY.to_owned(), Arc::new(EchoHandler), room));
    LinkProxy::start(address).await.expect("a link")
}

async fn call(client: &PeerClient, address: SocketAddr, number: u32) -> Option<u32> {
    client.call(address, &number, TIMEOUTS.reply).await.ok()
}

async fn fetch(client: &PeerClient, address: SocketAddr, number: u32) -> Option<u32> {
    client.fetch(address, &number, TIMEOUTS, || {}).await.ok()
}

#[test]
fn silent_connection_is_discarded_after_a_failed_call() {
    runtime().block_on(async {
        let (client, link) = (PeerClient::new(KEY), linked_peer().await);
        assert_eq!(call(&client, link.address, 1).await, Some(1));
        link.stall_open_connections();
        assert_eq!(call(&client, link.address, 2).await, None);
        assert_eq!(call(&client, link.address, 3).await, Some(3));
    });
}

#[test]
fn fetch_is_retried_on_a_new_connection() {
    runtime().block_on(async {
        let (client, link) = (PeerClient::new(KEY), linked_peer().await);
        assert_eq!(fetch(&client, link.address, 1).await, Some(1));
        link.stall_open_connections();
        assert_eq!(fetch(&client, link.address, 2).await, Some(2));
    });
}

/// Connections usually become silent together, so the second one is replaced without a try.
#[test]
fn connections_silent_since_another_failed_are_replaced() {
    runtime().block_on(async {
        let (client, first, second) =
            (PeerClient::new(KEY), linked_peer().await, linked_peer().await);
        assert_eq!(call(&client, first.address, 1).await, Some(1));
        assert_eq!(call(&client, second.address, 1).await, Some(1));
        first.stall_open_connections();
        second.stall_open_connections();
        assert_eq!(call(&client, first.address, 2).await, None);
        assert_eq!(call(&client, second.address, 3).await, Some(3));
    });
}

/// A late reply on a working connection does not affect other calls.
#[test]
fn slow_reply_fails_only_its_own_call() {
    runtime().block_on(async {
        let (client, link) = (PeerClient::new(KEY), linked_peer().await);
        assert_eq!(call(&client, link.address, 1).await, Some(1));
        let (slow, other) = futures_util::future::join(
            call(&client, link.address, SLOW),
            call(&client, link.address, 2),
        )
        .await;
        assert_eq!((slow, other), (None, Some(2)));
        assert_eq!(call(&client, link.address, 3).await, Some(3));
    });
}

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn host(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn fetch_from_further_hosts_begins_when_idle() {
    let mut fetches = ViewFetches::default();
    assert!(fetches.begin(at(0), host(1)));
    assert!(!fetches.begin(at(149), host(2)));
    fetches.record_progress(at(149), host(1));
    assert!(!fetches.begin(at(298), host(2)));
    assert!(fetches.begin(at(299), host(2)));
    assert!(fetches.begin(at(449), host(3)));
    assert!(!fetches.begin(at(9000), host(4)), "three fetches are in flight");
    fetches.end(host(2));
    assert!(!fetches.begin(at(9000), host(1)), "its fetch is in flight");
    assert!(fetches.begin(at(9000), host(4)));
}
