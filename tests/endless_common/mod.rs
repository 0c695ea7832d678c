//! A raw TCP server whose answers have no end, and the sites that it is put into.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tealcleat::bench::site::{SitePlan, TestSite};
use tealcleat::engines::CALL_ID;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// After this many bytes the server stops writing and waits for the connection to close, so that a host without a bound
/// doesn't fill the machine's memory.
const MAX_WRITTEN: usize = 48 << 20;
/// Most bytes that may leave the server for one answer: the bound of a body at the host, and what the sockets on both
/// sides buffer (4 MiB to send, 6 MiB to receive).
pub const MAX_TAKEN: usize = 24 << 20;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Pause between two bytes of a slow body.
const SLOW_PAUSE: Duration = Duration::from_secs(1);

/// Where an answer has no end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndlessPart {
    StatusLine,
    HeaderValue,
    Headers,
    Informational,
    BodyWithoutLength,
    BodyWithLength,
    Chunks,
    ChunkSize,
    ChunkExtension,
    Trailers,
    /// A refusal (`X-Not-Run`) with a body without end.
    Refusal,
    /// A stream whose first event has no end.
    FirstEvent,
    /// A stream whose second event has no end.
    SecondEvent,
    /// A body of single bytes with a pause between them.
    SlowBody,
    /// Bytes that are no answer.
    Noise,
    /// A whole answer, and then another one again and again.
    FurtherAnswers,
    /// A stream of sound events without end.
    Events,
    /// A body of this many bytes that then stands still; its stated length is twice that.
    HalfBody(usize),
    /// A whole answer with a body of this many bytes.
    WholeBody(usize),
    /// A stream of this many events of 100 KB each, which then stands still.
    LargeEvents(usize),
    /// A stream of an engine of the own interface, one of whose lines has no end.
    Line,
    /// The same, with tokens of 100 KB without end.
    LargeTokens,
    /// The same, with tokens of a few bytes without end.
    Tokens,
    /// The same, with its first line again and again.
    RepeatedLine,
}

/// A server that answers every request in the same way.
#[derive(Debug)]
pub struct EndlessServer {
    pub address: SocketAddr,
    part: EndlessPart,
    grants_holds: bool,
    /// The begin of the paths whose answers have no end, and the server that answers all others.
    behind: Option<(&'static str, SocketAddr)>,
    /// Whether answers are sound although none of the other fields says so.
    is_sound: AtomicBool,
    asked: AtomicUsize,
    asked_ids: Mutex<HashSet<String>>,
    closed: AtomicUsize,
    most_written: AtomicUsize,
}

impl EndlessServer {
    /// Starts a server; one that grants holds answers these calls soundly.
    pub async fn start(part: EndlessPart, grants_holds: bool) -> Arc<Self> {
        Self::start_with(part, grants_holds, None).await
    }

    /// Starts a server before the one at `behind`, whose answers have no end only at paths that begin with `path`.
    pub async fn start_before(
        part: EndlessPart,
        path: &'static str,
        behind: SocketAddr,
    ) -> Arc<Self> {
        Self::start_with(part, false, Some((path, behind))).await
    }

    async fn start_with(
        part: EndlessPart,
        grants_holds: bool,
        behind: Option<(&'static str, SocketAddr)>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let server = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            part,
            grants_holds,
            behind,
            is_sound: AtomicBool::new(false),
            asked: AtomicUsize::new(0),
            asked_ids: Mutex::default(),
            closed: AtomicUsize::new(0),
            most_written: AtomicUsize::new(0),
        });
        let serving = Arc::clone(&server);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&serving).serve(stream));
            }
        });
        server
    }

    /// Number of requests that got the endless answer.
    pub fn asked(&self) -> usize {
        self.asked.load(Ordering::Relaxed)
    }

    /// Whether a request got the endless answer.
    pub fn was_asked(&self, id: &str) -> bool {
        self.asked_ids.lock().expect("no panic").contains(id)
    }

    /// Lets the server behind answer everything, or no longer.
    pub fn set_sound(&self, is_sound: bool) {
        self.is_sound.store(is_sound, Ordering::Relaxed);
    }

    /// Most bytes of one answer that left the server.
    pub fn most_written(&self) -> usize {
        self.most_written.load(Ordering::Relaxed)
    }

    /// Waits until the host has closed the connections of `count` endless answers.
    pub async fn wait_closed(&self, count: usize) {
        while self.closed.load(Ordering::Relaxed) < count {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until `count` requests got the endless answer.
    pub async fn wait_asked(&self, count: usize) {
        while self.asked() < count {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        while let Some(request) = read_request(&mut stream).await {
            let path = request.path.as_str();
            let is_forwarded = |(endless, _): &(&str, SocketAddr)| {
                self.is_sound.load(Ordering::Relaxed) || !path.starts_with(endless)
            };
            if let Some((_, address)) = self.behind.filter(is_forwarded) {
                forward(&request, &mut stream, address).await;
                return;
            }
            if self.grants_holds && path.starts_with("/tealcleat/hold-") {
                let hold = format!("{{\"hold\":\"h-{}\"}}", rand::random::<u64>());
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", hold.len());
                if stream.write_all((head + &hold).as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            self.asked.fetch_add(1, Ordering::Relaxed);
            self.asked_ids.lock().expect("no panic").insert(request.id.clone());
            let (start, repeated) = answer_bytes(self.part, &request.id);
            let mut written = 0;
            if stream.write_all(&start).await.is_ok() {
                written += start.len();
                let mut number = 1;
                while !repeated.is_empty() && written < MAX_WRITTEN {
                    if self.part == EndlessPart::SlowBody {
                        tokio::time::sleep(SLOW_PAUSE).await;
                    }
                    let piece = self.part.piece(&repeated, number);
                    if stream.write_all(&piece).await.is_err() {
                        break;
                    }
                    number += 1;
                    written += piece.len();
                    self.most_written.fetch_max(written, Ordering::Relaxed);
                }
            }
            self.most_written.fetch_max(written, Ordering::Relaxed);
            if !matches!(self.part, EndlessPart::WholeBody(_)) {
                break;
            }
        }
        // Nothing more is asked on the connection: reading ends only when the host closes it.
        let mut rest = [0; 64];
        while stream.read(&mut rest).await.is_ok_and(|count| count > 0) {}
        self.closed.fetch_add(1, Ordering::Relaxed);
    }
}

/// A request as it was read.
struct RawRequest {
    path: String,
    id: String,
    bytes: Vec<u8>,
    head_length: usize,
}

/// Sends a request to the server at `address` on a connection of its own, and its answer back.
async fn forward(request: &RawRequest, stream: &mut TcpStream, address: SocketAddr) {
    let Ok(mut server) = TcpStream::connect(address).await else { return };
    let (head, rest) = request.bytes.split_at(request.head_length);
    for part in [head, b"connection: close\r\n", rest] {
        if server.write_all(part).await.is_err() {
            return;
        }
    }
    // The answer ends with its connection, which ends with this one.
    drop(tokio::io::copy(&mut server, stream).await);
}

/// Reads a request.
async fn read_request(stream: &mut TcpStream) -> Option<RawRequest> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let field = |name: &str| {
                let lines = text[..end].lines();
                let found = lines
                    .filter_map(|line| line.split_once(": "))
                    .find(|(key, _)| key.eq_ignore_ascii_case(name));
                found.map(|(_, value)| value.to_owned())
            };
            let length = field("content-length").map_or(0, |value| value.parse().unwrap_or(0));
            if bytes.len() >= end + 4 + length {
                let path = text.split(' ').nth(1).unwrap_or_default().to_owned();
                let id = field("x-request-id").or_else(|| field(CALL_ID)).unwrap_or_default();
                return Some(RawRequest { path, id, bytes, head_length: end + 2 });
            }
        }
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
}

/// The first bytes of an answer, and the bytes that are repeated without end.
fn answer_bytes(part: EndlessPart, id: &str) -> (Vec<u8>, Vec<u8>) {
    let ids = format!("x-request-id: {id}\r\n{CALL_ID}: {id}\r\nx-server-stamp: s\r\n");
    let head = |fields: &str| format!("HTTP/1.1 200 OK\r\n{ids}{fields}\r\n");
    let (start, repeated) = match part {
        EndlessPart::StatusLine => ("HTTP/1.1 200 ".to_owned(), "O".to_owned()),
        EndlessPart::HeaderValue => (format!("HTTP/1.1 200 OK\r\n{ids}x-long: "), "a".to_owned()),
        EndlessPart::Headers => (format!("HTTP/1.1 200 OK\r\n{ids}"), "x-more: a\r\n".to_owned()),
        EndlessPart::Informational => {
            (String::new(), "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n".to_owned())
        }
        EndlessPart::BodyWithoutLength => (head("connection: close\r\n"), "a".to_owned()),
        EndlessPart::SlowBody => {
            return (head("connection: close\r\n").into_bytes(), b"a".to_vec());
        }
        EndlessPart::Noise => (String::new(), "\u{1}\u{2}noise\n".to_owned()),
        EndlessPart::FurtherAnswers => {
            let answer = head("content-length: 1\r\n") + "a";
            (answer.clone(), answer)
        }
        EndlessPart::Events => (head("content-type: text/event-stream\r\n"), " ".to_owned()),
        EndlessPart::BodyWithLength => (head("content-length: 1000000000000\r\n"), "a".to_owned()),
        EndlessPart::Chunks => {
            (head("transfer-encoding: chunked\r\n"), format!("400\r\n{}\r\n", "a".repeat(1024)))
        }
        EndlessPart::ChunkSize => (head("transfer-encoding: chunked\r\n"), "0".to_owned()),
        EndlessPart::ChunkExtension => {
            (head("transfer-encoding: chunked\r\n") + "1;", "a".to_owned())
        }
        EndlessPart::Trailers => {
            (head("transfer-encoding: chunked\r\n") + "1\r\na\r\n0\r\n", "x-t: a\r\n".to_owned())
        }
        EndlessPart::Refusal => (
            format!(
                "HTTP/1.1 503 Service Unavailable\r\nx-request-id: {id}\r\nx-not-run: 1\r\n\
                 connection: close\r\n\r\n"
            ),
            "a".to_owned(),
        ),
        EndlessPart::FirstEvent => {
            (head("content-type: text/event-stream\r\n") + "id: 0\ndata: ", "a".to_owned())
        }
        EndlessPart::SecondEvent => (
            head("content-type: text/event-stream\r\n") + "id: 0\ndata: a\n\nid: 1\ndata: ",
            "a".to_owned(),
        ),
        EndlessPart::HalfBody(length) => (
            head(&format!("content-length: {}\r\n", 2 * length)) + &"a".repeat(length),
            String::new(),
        ),
        EndlessPart::LargeEvents(count) => {
            let data = "a".repeat(100_000);
            let event = |number: usize| format!("id: {number}\ndata: {data}\n\n");
            let events: String = (0..count).map(event).collect();
            (head("content-type: text/event-stream\r\n") + &events, String::new())
        }
        EndlessPart::Line => {
            (head("connection: close\r\n") + "{\"token\":{\"index\":0,\"text\":\"", "a".to_owned())
        }
        EndlessPart::LargeTokens | EndlessPart::Tokens => {
            (head("connection: close\r\n") + "\"imported\"\n", " ".to_owned())
        }
        EndlessPart::RepeatedLine => (head("connection: close\r\n"), "\"imported\"\n".to_owned()),
        EndlessPart::WholeBody(length) => {
            (head(&format!("content-length: {length}\r\n")) + &"a".repeat(length), String::new())
        }
    };
    (start.into_bytes(), if repeated.is_empty() { Vec::new() } else { fill(&repeated) })
}

impl EndlessPart {
    /// The next piece of an answer, number `number`.
    fn piece(self, repeated: &[u8], number: usize) -> Vec<u8> {
        let token = |length: usize, index: usize| {
            let text = "a".repeat(length);
            format!("{{\"token\":{{\"index\":{index},\"text\":\"{text}\"}}}}\n").into_bytes()
        };
        match self {
            Self::LargeTokens => token(100_000, number - 1),
            Self::Events => (0..1000)
                .flat_map(|at| {
                    format!("id: {}\ndata: a\n\n", (number - 1) * 1000 + at).into_bytes()
                })
                .collect(),
            Self::Tokens => (0..1000).flat_map(|at| token(1, (number - 1) * 1000 + at)).collect(),
            _ => repeated.to_vec(),
        }
    }
}

/// Repeats `piece` up to some 64 KiB, so that few writes are needed.
fn fill(piece: &str) -> Vec<u8> {
    piece.repeat((64 << 10) / piece.len()).into_bytes()
}

/// A site without servers of the plain service but the given ones.
pub async fn site_with_services(servers: &[&EndlessServer], sound: usize) -> TestSite {
    let plan = SitePlan { services: sound, ..SitePlan::default() };
    let site = TestSite::start(plan).await.expect("it starts");
    for (place, server) in servers.iter().enumerate() {
        site.write_entry(&format!("i-raw-{place}"), "app", server.address, None, "ready");
    }
    wait_servers(&site, plan.prefills + plan.decodes + sound + servers.len()).await;
    site
}

/// A site with one server of `stage` that answers without end, and sound ones of the other stage.
pub async fn site_with_engine(server: &EndlessServer, stage: &str) -> TestSite {
    let (prefills, decodes) = if stage == "prefill" { (0, 2) } else { (2, 0) };
    let plan = SitePlan { prefills, decodes, ..SitePlan::default() };
    let site = TestSite::start(plan).await.expect("it starts");
    site.write_entry("i-raw-0", "engines", server.address, Some(stage), "ready");
    wait_servers(&site, prefills + decodes + plan.services + 1).await;
    site
}

/// Waits until each host knows this many servers.
async fn wait_servers(site: &TestSite, count: usize) {
    for gateway in &site.hosts {
        while gateway.host.state().fleet.entries().count() < count {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
