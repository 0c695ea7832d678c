//! A caller that reads a stream event by event while the stand-in servers fall silent and go on.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tealcleat::bench::site::{SiteEngine, SitePlan, TestSite};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const LAST_CHUNK: &str = "0\r\n\r\n";
/// Slow enough for a test to act between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longer than the host waits before it looks for another server, shorter than the gap after which callers leave.
pub const SILENCE: Duration = Duration::from_millis(2000);

/// A site whose decode servers write slowly.
pub async fn slow_site(plan: SitePlan) -> TestSite {
    let site = TestSite::start(plan).await.expect("a site");
    for engine in &site.decodes {
        engine.set_event_interval(EVENT_INTERVAL);
    }
    site
}

/// A caller's connection with one stream.
pub struct StreamCaller {
    connection: TcpStream,
    text: String,
}

impl StreamCaller {
    /// Sends a request to a resumable route.
    pub async fn send(address: SocketAddr, id: &str) -> Self {
        let mut connection = TcpStream::connect(address).await.expect("a connection");
        let head = format!(
            "POST /resume/x HTTP/1.1\r\nhost: books.example\r\nx-request-id: {id}\r\nx-model: m\r\n\
             x-deadline-ms: 15000\r\nx-token-count: 100,96\r\ncontent-length: 6\r\n\r\nprompt"
        );
        connection.write_all(head.as_bytes()).await.expect("it is sent");
        Self { connection, text: String::new() }
    }

    /// Reads until the event `number` has arrived.
    pub async fn read_event(&mut self, number: u64) {
        while !self.text.contains(&format!("id: {number}\n")) {
            assert!(self.read_more().await, "it ended early: {}", self.text);
        }
    }

    /// Reads to the end; returns whether the answer is complete.
    pub async fn read_rest(&mut self) -> bool {
        while !self.is_complete() {
            if !self.read_more().await {
                return false;
            }
        }
        true
    }

    /// Reads once; returns false once the connection has ended.
    pub async fn read_more_or_end(&mut self) -> bool {
        self.read_more().await
    }

    fn is_complete(&self) -> bool {
        self.text.ends_with(LAST_CHUNK)
    }

    /// Returns false once the connection has ended.
    async fn read_more(&mut self) -> bool {
        let mut buffer = [0; 4096];
        let read = self.connection.read(&mut buffer).await.unwrap_or_default();
        self.text.push_str(&String::from_utf8_lossy(&buffer[..read]));
        read > 0
    }

    /// The status code.
    pub fn status(&self) -> &str {
        self.text.split(' ').nth(1).unwrap_or_default()
    }

    /// The numbers of the events that have arrived.
    pub fn events(&self) -> Vec<u64> {
        let numbers = self.text.lines().filter_map(|line| line.strip_prefix("id: "));
        numbers.filter_map(|number| number.parse().ok()).collect()
    }
}

/// All events of an answer.
pub fn all_events() -> Vec<u64> {
    (0..8).collect()
}

/// The decode server with the run of request `id` that arrived last, and the other one, at a site with two.
pub async fn wait_running(site: &TestSite, id: &str) -> (Arc<SiteEngine>, Arc<SiteEngine>) {
    loop {
        let runs = |engine: &Arc<SiteEngine>| {
            let runs = engine.runs().into_iter().filter(|run| run.request == id);
            runs.map(|run| run.arrived_at).max()
        };
        let [first, second] = [&site.decodes[0], &site.decodes[1]];
        if runs(first).or(runs(second)).is_some() {
            let is_first = runs(first) > runs(second);
            let (running, other) = if is_first { (first, second) } else { (second, first) };
            return (Arc::clone(running), Arc::clone(other));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a counter of the site's first host has reached `count`.
pub async fn wait_counted(site: &TestSite, counter: &str, count: u64) {
    while site.hosts[0].host.metrics().counter(counter) < count {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Whether an engine's last run was closed before its end.
pub fn is_closed(engine: &SiteEngine) -> bool {
    engine.runs().last().is_some_and(|run| run.cancelled)
}
