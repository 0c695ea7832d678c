//! Connections to servers that pass through another host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tealcleat::Result;
use tealcleat::bench::site::{SitePlan, TestSite};
use tealcleat::open_connections::ConnectionRoom;
use tealcleat::peers::{PeerClient, PeerHandler, TunnelOpening, TunnelStream, serve_peers};
use tealcleat::resource_plan::{MachineLimits, ResourcePlan};
use tealcleat::server_paths::TunnelRefusal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

mod site_common;

use site_common::{call, call_first_host, runtime};

const KEY: &str = "a-shared-key-of-tests";
/// Ends a test that hangs. No guarantee depends on this value.
const LIMIT: Duration = Duration::from_secs(30);

async fn open(
    host: SocketAddr,
    server: SocketAddr,
) -> std::result::Result<TunnelStream, TunnelRefusal> {
    let client = PeerClient::new(KEY);
    client.open_tunnel(host, server, false, LIMIT).await.expect("the host replies")
}

async fn site() -> TestSite {
    TestSite::start(SitePlan::default()).await.expect("it starts")
}

/// A host that forwards one connection to a server, until the server or this host ends it.
#[derive(Debug)]
struct PlainForwarder;

impl PeerHandler for PlainForwarder {
    type Request = u8;
    type Reply = u8;

    async fn handle(self: Arc<Self>, request: u8) -> u8 {
        request
    }

    async fn tunnel(self: Arc<Self>, server: SocketAddr, opening: TunnelOpening) -> Result<()> {
        let mut stream = TcpStream::connect(server).await?;
        let mut tunnel = opening.accept()?;
        let mut buffer = [0; 64];
        let count = tunnel.read(&mut buffer).await?;
        stream.write_all(&buffer[..count]).await?;
        let count = stream.read(&mut buffer).await?;
        tunnel.write_all(&buffer[..count]).await?;
        if &buffer[..count] == b"whole" {
            tunnel.shutdown().await?;
        }
        // Otherwise the host is gone in the middle of the answer.
        Ok(())
    }
}

async fn answer_through_forwarder(answer: &'static [u8]) -> std::io::Result<Vec<u8>> {
    let server = TcpListener::bind("127.0.0.1:0").await?;
    let address = server.local_addr()?;
    tokio::spawn(async move {
        let (mut stream, _) = server.accept().await.expect("a connection");
        let mut request = [0; 64];
        let _ = stream.read(&mut request).await.expect("a request");
        stream.write_all(answer).await.expect("an answer");
    });
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let host = listener.local_addr()?;
    let room = ResourcePlan::new(&MachineLimits::default()).unproven;
    let room = Arc::new(ConnectionRoom::new("peers", room));
    tokio::spawn(serve_peers(listener, KEY.to_owned(), Arc::new(PlainForwarder), room));
    let mut tunnel = open(host, address).await.expect("a connection");
    tunnel.write_all(b"request").await?;
    let mut received = Vec::new();
    tunnel.read_to_end(&mut received).await?;
    Ok(received)
}

#[test]
fn tunnel_carries_requests_to_a_known_server() {
    runtime().block_on(async {
        let site = site().await;
        let server = site.servers.iter().find(|server| server.service == "app").expect("one");
        let mut tunnel = open(site.hosts[0].peers, server.address).await.expect("a connection");
        let request =
            "GET /safe/x HTTP/1.1\r\nhost: a\r\nx-request-id: t-1\r\nconnection: close\r\n\r\n";
        tunnel.write_all(request.as_bytes()).await.expect("it is sent");
        let mut answer = String::new();
        let read = tunnel.read_to_string(&mut answer);
        tokio::time::timeout(LIMIT, read).await.expect("an end").expect("a proper end");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert_eq!(site.services.iter().map(|service| service.runs().len()).sum::<usize>(), 1);
    });
}

/// Guards against hosts that connect others to any address.
#[test]
fn tunnel_to_an_address_without_a_server_is_refused() {
    runtime().block_on(async {
        let site = site().await;
        let refusal = open(site.hosts[0].peers, site.store_address).await.err();
        assert_eq!(refusal, Some(TunnelRefusal::UnknownServer));
    });
}

/// The refusal is what tells a crashed server from a lost path. Guards against hosts whose word counts although they may
/// have lost their own paths.
#[test]
fn tunnel_to_a_server_that_is_gone_is_refused() {
    runtime().block_on(async {
        let site = site().await;
        let gone = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = gone.local_addr().expect("an address");
        drop(gone);
        site.write_entry("i-gone", "app", address, None, "ready");
        let host = &site.hosts[0].host;
        while !host.state().fleet.entries().any(|entry| entry.address == address) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let host = site.hosts[0].peers;
        assert_eq!(open(host, address).await.err(), Some(TunnelRefusal::Unproven));
        // A server that answers at the same time shows that the host's own path works.
        let mut refusal = None;
        for index in 0.. {
            let call = call("POST", "safe", &format!("safe-{index}"));
            call_first_host(&site, &call).await;
            refusal = open(host, address).await.err();
            if refusal != Some(TunnelRefusal::Unproven) {
                break;
            }
        }
        assert_eq!(refusal, Some(TunnelRefusal::ConnectionRefused));
    });
}

/// Guards against connections through a host that has lost its own paths and does not know it yet.
#[test]
fn tunnel_that_needs_proof_is_refused_by_a_host_without_answers() {
    runtime().block_on(async {
        let site = site().await;
        let (host, server) = (site.hosts[0].peers, site.servers[0].address);
        let client = PeerClient::new(KEY);
        let opened = client.open_tunnel(host, server, true, LIMIT).await.expect("a reply");
        assert_eq!(opened.err(), Some(TunnelRefusal::Unproven));
        for index in 0.. {
            let call = call("POST", "safe", &format!("safe-{index}"));
            call_first_host(&site, &call).await;
            let opened = client.open_tunnel(host, server, true, LIMIT).await.expect("a reply");
            if opened.is_ok() {
                return;
            }
        }
    });
}

/// A host that is shutting down takes no further connections, so that it can end.
#[test]
fn tunnel_through_a_host_that_shuts_down_is_refused() {
    runtime().block_on(async {
        let site = site().await;
        let (host, server) = (Arc::clone(&site.hosts[0].host), site.servers[0].address);
        let stopping = tokio::spawn(async move { host.stop_gracefully().await });
        while site.hosts[0].host.is_ready() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let refusal = open(site.hosts[0].peers, server).await.err();
        assert_eq!(refusal, Some(TunnelRefusal::Stopping));
        stopping.await.expect("it stops");
    });
}

#[test]
fn tunnel_that_ends_properly_reads_to_its_end() {
    runtime().block_on(async {
        let received = answer_through_forwarder(b"whole").await.expect("a proper end");
        assert_eq!(received, b"whole");
    });
}

/// Guards against an answer without a length that looks complete because the host in between ended.
#[test]
fn tunnel_whose_host_is_gone_is_no_proper_end() {
    runtime().block_on(async {
        let error = answer_through_forwarder(b"half of it").await.expect_err("a broken end");
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    });
}
