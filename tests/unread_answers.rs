//! Callers that do not read their answers hold nothing beyond their time.

use std::sync::Arc;
use std::time::Duration;
use tealcleat::bench::site::TestSite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

mod endless_common;
mod site_common;

use endless_common::{EndlessPart, EndlessServer, site_with_engine};
use site_common::runtime;

/// Ends a test that hangs; no guarantee depends on it.
const LIMIT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Events that wait for the caller have more bytes than this.
const WAITING_BYTES: usize = 1_000_000;
/// More events than the buffers on the way to a caller hold.
const EVENTS: usize = 150;

/// Sends a request for a stream without reading its answer.
async fn send_unread(site: &TestSite) -> TcpStream {
    let mut stream = TcpStream::connect(site.hosts[0].callers).await.expect("it accepts");
    let request = "POST /stream/x HTTP/1.1\r\nhost: books.example\r\nx-request-id: r1\r\n\
                   x-deadline-ms: 1500\r\nx-token-count: 100,96\r\nx-model: m\r\n\
                   content-length: 6\r\n\r\nprompt";
    stream.write_all(request.as_bytes()).await.expect("it is read");
    stream
}

/// Guards against a stream that holds its server until its caller, who does not read, closes the connection.
#[test]
fn unread_stream_ends_at_its_deadline() {
    runtime().block_on(async {
        let server = EndlessServer::start(EndlessPart::LargeEvents(EVENTS), true).await;
        let site = site_with_engine(&server, "decode").await;
        let _unread = send_unread(&site).await;
        server.wait_asked(1).await;
        let closing = tokio::time::timeout(LIMIT, server.wait_closed(1));
        closing.await.expect("the run ends, and its server's memory is free");
    });
}

/// Guards against events that wait for a caller who does not read, and take up the budget of all answers.
#[test]
fn unread_events_given_up() {
    runtime().block_on(async {
        let server = EndlessServer::start(EndlessPart::LargeEvents(EVENTS), true).await;
        let mut site = site_with_engine(&server, "decode").await;
        site.hosts.clear();
        let stall = Duration::from_secs(1);
        site.add_host_with(|settings| settings.machine.answer_stall = stall).await.expect("a host");
        site.wait_ready().await;
        let _unread = send_unread(&site).await;
        server.wait_asked(1).await;
        let host = Arc::clone(&site.hosts[0].host);
        while host.answer_bytes().held() < WAITING_BYTES {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let releasing = async {
            while host.answer_bytes().held() > 0 {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(LIMIT, releasing).await.expect("the events are dropped");
        assert_eq!(host.rooms.callers.counts().closed, 1);
    });
}
