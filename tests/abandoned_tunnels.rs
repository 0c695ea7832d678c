//! Calls through another host that are given up while the connection between the two hosts carries nothing.
//!
//! Guards against a request that a cut between two hosts held up: the reset of its stream followed it in the same
//! connection, and the other host delivered it to a server that had stated meanwhile that it leaves.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tealcleat::bench::site::{SitePlan, TestSite};
use tealcleat::engines::{AnswerProof, DialedConnection, HttpPool, SendLimits};
use tealcleat::peers::{PeerClient, TunnelStream};
use tealcleat::server_paths::ConnectionPath;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

mod site_common;

use site_common::runtime;

/// Ends a test that hangs. No guarantee depends on this value.
const LIMIT: Duration = Duration::from_secs(30);
/// How long a call waits before it is given up. No guarantee depends on this value.
const CALL_TIME: Duration = Duration::from_millis(100);
/// Body of a request of which the link holds up the most.
const BODY_BYTES: usize = 30_000;
/// Receive buffer of the link between the hosts.
const BUFFER_BYTES: u32 = 2_304;

async fn within<T>(wait: impl Future<Output = T>) -> T {
    tokio::time::timeout(LIMIT, wait).await.expect("it comes")
}

/// A link to a host that can be cut: nothing passes then, and what was sent waits in the buffers of the two ends.
struct CutLink {
    address: SocketAddr,
    is_cut: watch::Sender<bool>,
    /// Whether the near end of the link has ended its connection.
    has_ended: watch::Receiver<bool>,
}

impl CutLink {
    async fn start(host: SocketAddr) -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(BUFFER_BYTES).expect("a small buffer");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = socket.listen(8).expect("it listens");
        let address = listener.local_addr().expect("an address");
        let (is_cut, cut) = watch::channel(false);
        let (end, has_ended) = watch::channel(false);
        tokio::spawn(async move {
            let (near, _) = listener.accept().await.expect("a connection");
            let far = TcpStream::connect(host).await.expect("the host accepts");
            relay(near, far, cut, end).await;
        });
        Self { address, is_cut, has_ended }
    }

    async fn wait_ended(&mut self) -> bool {
        tokio::time::timeout(LIMIT, self.has_ended.wait_for(|ended| *ended)).await.is_ok()
    }
}

/// Passes bytes on in both directions while the link is not cut.
async fn relay(
    near: TcpStream,
    far: TcpStream,
    cut: watch::Receiver<bool>,
    end: watch::Sender<bool>,
) {
    let mut cut = cut;
    let (mut near, mut far) = (near, far);
    let (mut up, mut down) = (vec![0; 512], vec![0; 512]);
    loop {
        if *cut.borrow_and_update() {
            tokio::select! {
                _ = near.ready(Interest::ERROR) => {
                    end.send_replace(true);
                    cut.wait_for(|cut| !cut).await.expect("a link");
                }
                _ = cut.changed() => {}
            }
            continue;
        }
        let passed = tokio::select! {
            _ = cut.changed() => continue,
            read = near.read(&mut up) => match read {
                Ok(count) if count > 0 => far.write_all(&up[..count]).await,
                _ => return,
            },
            read = far.read(&mut down) => match read {
                Ok(count) if count > 0 => near.write_all(&down[..count]).await,
                _ => return,
            },
        };
        if passed.is_err() {
            return;
        }
    }
}

/// A site of one host, a server that nothing answers at, and a link to the host.
struct TunnelSite {
    site: TestSite,
    listener: TcpListener,
    server: SocketAddr,
    /// `None` once it has been dropped.
    client: Option<PeerClient>,
}

impl TunnelSite {
    async fn start() -> Self {
        let site = TestSite::start(SitePlan::default()).await.expect("it starts");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let server = listener.local_addr().expect("an address");
        site.write_entry("i-silent", "app", server, None, "ready");
        let host = &site.hosts[0].host;
        while !host.state().fleet.entries().any(|entry| entry.address == server) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Self { site, listener, server, client: Some(PeerClient::new("a-shared-key-of-tests")) }
    }

    async fn open_tunnel(&self, link: SocketAddr) -> TunnelStream {
        let client = self.client.as_ref().expect("a client");
        let opened = client.open_tunnel(link, self.server, false, LIMIT).await;
        opened.expect("a reply").expect("a connection")
    }

    async fn accept(&self) -> TcpStream {
        within(self.listener.accept()).await.expect("a connection").0
    }

    fn host(&self) -> SocketAddr {
        self.site.hosts[0].peers
    }
}

/// Calls the server through a tunnel, and gives the call up.
async fn abandon_call(tunnel: TunnelStream, link: SocketAddr, server: SocketAddr) {
    let pool = HttpPool::default();
    let dialed = DialedConnection::start(tunnel, ConnectionPath::Tunnel(link)).await;
    pool.keep(server, dialed.expect("a connection"));
    let mut request = Request::new(Full::new(Bytes::from(vec![b'x'; BODY_BYTES])));
    *request.method_mut() = hyper::Method::POST;
    let proof = AnswerProof::Contents("x-request-id");
    let call = pool.send(server, request, proof, SendLimits::default());
    tokio::time::timeout(CALL_TIME, call).await.expect_err("the server does not answer");
}

/// The link is kept for further calls, or it was given up before, so that it ends with its last call.
#[rstest]
#[case::kept(true)]
#[case::given_up(false)]
fn abandoned_call_through_a_cut_link_is_not_delivered_later(#[case] is_kept: bool) {
    runtime().block_on(async {
        let mut site = TunnelSite::start().await;
        let mut link = CutLink::start(site.host()).await;
        let tunnel = site.open_tunnel(link.address).await;
        let mut stream = site.accept().await;
        link.is_cut.send_replace(true);
        site.client = site.client.filter(|_| is_kept);
        abandon_call(tunnel, link.address, site.server).await;
        let has_ended = link.wait_ended().await;
        link.is_cut.send_replace(false);
        let mut received = Vec::new();
        let _ = within(stream.read_to_end(&mut received)).await;
        assert!(received.len() < BODY_BYTES, "{} bytes arrived", received.len());
        assert!(has_ended, "the link was left with what it held up");
    });
}

/// Guards against calls of others that end with one that was given up: the host answers, only the server is silent.
#[test]
fn abandoned_call_leaves_a_link_that_answers() {
    runtime().block_on(async {
        let site = TunnelSite::start().await;
        let link = CutLink::start(site.host()).await;
        let mut kept = site.open_tunnel(link.address).await;
        let mut kept_stream = site.accept().await;
        let tunnel = site.open_tunnel(link.address).await;
        let mut stream = site.accept().await;
        abandon_call(tunnel, link.address, site.server).await;
        let _ = within(stream.read_to_end(&mut Vec::new())).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        kept.write_all(b"still").await.expect("it is sent");
        let mut start = [0; 5];
        within(kept_stream.read_exact(&mut start)).await.expect("it arrives");
        assert!(!*link.has_ended.borrow());
    });
}
