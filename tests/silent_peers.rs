//! Kept connections between hosts fall silent, without an end, while new ones work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tealcleat::bench::links::LinkProxy;
use tealcleat::keys::TimePoint;
use tealcleat::peers::{PeerClient, PeerHandler, PeerTimeouts, ViewFetches, serve_peers};
use tokio::net::TcpListener;

mod site_common;

use site_common::runtime;

const KEY: &str = "a-shared-key-of-tests";
const PATIENCE: PeerTimeouts =
    PeerTimeouts { reply: Duration::from_millis(300), pause: Duration::from_millis(300) };
/// Asked for this number, the other side replies after longer than anybody waits.
const SLOW: u32 = 13;

/// Replies with the number that it is asked for.
struct EchoHandler;

impl PeerHandler for EchoHandler {
    type Request = u32;
    type Reply = u32;

    async fn handle(self: Arc<Self>, request: u32) -> u32 {
        if request == SLOW {
            tokio::time::sleep(PATIENCE.reply * 10).await;
        }
        request
    }
}

/// A host behind a link.
async fn linked_peer() -> LinkProxy {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(serve_peers(listener, KEY.to_owned(), Arc::new(EchoHandler)));
    LinkProxy::start(address).await.expect("a link")
}

async fn call(client: &PeerClient, address: SocketAddr, number: u32) -> Option<u32> {
    client.call(address, &number, PATIENCE.reply).await.ok()
}

async fn fetch(client: &PeerClient, address: SocketAddr, number: u32) -> Option<u32> {
    client.fetch(address, &number, PATIENCE, || {}).await.ok()
}

#[test]
fn call_given_up_on_a_silent_connection_is_the_last_on_it() {
    runtime().block_on(async {
        let (client, link) = (PeerClient::new(KEY), linked_peer().await);
        assert_eq!(call(&client, link.address, 1).await, Some(1));
        link.silence_open();
        assert_eq!(call(&client, link.address, 2).await, None);
        assert_eq!(call(&client, link.address, 3).await, Some(3));
    });
}

#[test]
fn fetch_goes_on_with_a_new_connection() {
    runtime().block_on(async {
        let (client, link) = (PeerClient::new(KEY), linked_peer().await);
        assert_eq!(fetch(&client, link.address, 1).await, Some(1));
        link.silence_open();
        assert_eq!(fetch(&client, link.address, 2).await, Some(2));
    });
}

/// Connections fall silent together: the second one is not tried.
#[test]
fn connections_not_heard_since_another_was_silent_are_replaced() {
    runtime().block_on(async {
        let (client, first, second) =
            (PeerClient::new(KEY), linked_peer().await, linked_peer().await);
        assert_eq!(call(&client, first.address, 1).await, Some(1));
        assert_eq!(call(&client, second.address, 1).await, Some(1));
        first.silence_open();
        second.silence_open();
        assert_eq!(call(&client, first.address, 2).await, None);
        assert_eq!(call(&client, second.address, 3).await, Some(3));
    });
}

/// A reply that comes late on a connection that works costs no other call.
#[test]
fn slow_reply_ends_only_its_own_call() {
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
fn further_hosts_are_asked_when_nothing_comes() {
    let mut fetches = ViewFetches::default();
    assert!(fetches.begin(at(0), host(1)));
    assert!(!fetches.begin(at(149), host(2)));
    fetches.record_progress(at(149), host(1));
    assert!(!fetches.begin(at(298), host(2)));
    assert!(fetches.begin(at(299), host(2)));
    assert!(fetches.begin(at(449), host(3)));
    assert!(!fetches.begin(at(9000), host(4)), "three are asked already");
    fetches.end(host(2));
    assert!(!fetches.begin(at(9000), host(1)), "it is being asked");
    assert!(fetches.begin(at(9000), host(4)));
}
