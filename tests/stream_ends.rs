//! A stream that ends early never looks complete to its caller.

use std::net::SocketAddr;
use tealcleat::bench::site::{EngineFault, SitePlan, TestSite};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Runtime;

mod site_common;

use site_common::runtime;

const REQUEST: &str = "POST /stream/x HTTP/1.1\r\nhost: books.example\r\nx-request-id: r1\r\n\
    x-deadline-ms: 15000\r\nx-token-count: 100,96\r\ncontent-length: 6\r\n\r\nprompt";
const LAST_CHUNK: &str = "0\r\n\r\n";

/// Sends a request and reads its answer up to the event number 1.
async fn open_stream(address: SocketAddr) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(REQUEST.as_bytes()).await.expect("it is sent");
    let mut text = String::new();
    let mut buffer = [0; 4096];
    while !text.contains("id: 1\n") {
        let read = stream.read(&mut buffer).await.expect("an answer");
        assert!(read > 0, "it ended early: {text}");
        text.push_str(&String::from_utf8_lossy(&buffer[..read]));
    }
    (stream, text)
}

/// The tasks of a daemon end in any order on shutdown. The task that relays events may end while the task that writes
/// to the caller still runs; the closed channel between them was once taken for the regular end of the stream.
#[test]
fn stream_cut_by_daemon_shutdown_not_complete() {
    let outside = runtime();
    for round in 0..5 {
        let daemon = Runtime::new().expect("a runtime");
        let plan = SitePlan { hosts: 0, ..SitePlan::default() };
        let mut site = outside.block_on(TestSite::start(plan)).expect("a site");
        for engine in &site.decodes {
            engine.set_fault(EngineFault::StallAfter(2));
        }
        daemon.block_on(site.add_host()).expect("a host");
        outside.block_on(site.wait_ready());
        let (mut stream, mut text) = outside.block_on(open_stream(site.hosts[0].callers));
        daemon.shutdown_background();
        // The connection may end with a reset or a close.
        drop(outside.block_on(stream.read_to_string(&mut text)));
        assert!(!text.ends_with(LAST_CHUNK), "round {round}: {text}");
    }
}
