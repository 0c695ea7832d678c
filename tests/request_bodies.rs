//! Many callers send large bodies at once: a host holds a bounded part of them, and tells the others when to come back.

use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tealcleat::bench::site::{SitePlan, TestSite, config};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

mod site_common;

use site_common::{call, call_first_host, runtime};

const LARGE_BYTES: usize = 3 << 20;
/// Large bodies at once: 90 MiB, most of a small host's memory.
const MANY: usize = 30;
/// Large bodies that the budget of 24 MiB can hold at a time.
const MOST_ADMITTED: usize = 8;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Sends a large request, all of it, and returns the head of the answer.
async fn send_large(site: &TestSite, id: &str, is_chunked: bool) -> String {
    let mut stream = TcpStream::connect(site.hosts[0].callers).await.expect("it accepts");
    let coding = if is_chunked {
        "transfer-encoding: chunked".to_owned()
    } else {
        format!("content-length: {LARGE_BYTES}")
    };
    let head = format!(
        "POST /once/x HTTP/1.1\r\nhost: books.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 4000\r\n{coding}\r\n\r\n"
    );
    let body = "a".repeat(LARGE_BYTES);
    let body = if is_chunked { format!("{LARGE_BYTES:x}\r\n{body}\r\n0\r\n\r\n") } else { body };
    stream.write_all((head + &body).as_bytes()).await.expect("all of it is read");
    let mut answer = Vec::new();
    let mut buffer = [0; 1024];
    while !answer.windows(4).any(|window| window == b"\r\n\r\n") {
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => answer.extend_from_slice(&buffer[..count]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against requests whose bodies exceed a host's memory together, while each is within its own limit.
#[rstest]
#[case::stated_length(false)]
#[case::chunked(true)]
fn large_requests_refused_beyond_the_bound(#[case] is_chunked: bool) {
    runtime().block_on(async {
        let plan = SitePlan { hosts: 0, ..SitePlan::default() };
        let mut site = TestSite::start(plan).await.expect("it starts");
        let mut larger = config(2);
        larger["limits"]["max_body_bytes"] = (4 << 20).into();
        site.set_config(2, &larger);
        site.add_host().await.expect("it starts");
        site.wait_ready().await;
        let site = Arc::new(site);
        for service in &site.services {
            service.stall_gate.stall();
        }
        let callers: Vec<_> = (0..MANY)
            .map(|place| {
                let site = Arc::clone(&site);
                tokio::spawn(
                    async move { send_large(&site, &format!("r{place}"), is_chunked).await },
                )
            })
            .collect();
        let reply = call_first_host(&site, &call("POST", "stream", "beside")).await;
        assert_eq!((reply.status.as_u16(), reply.events().len()), (200, 8));
        let mut refused = 0;
        for caller in callers {
            let head = caller.await.expect("it ends").to_ascii_lowercase();
            if head.starts_with("http/1.1 503") {
                let pause = head.lines().find_map(|line| line.strip_prefix("retry-after: "));
                let pause: f64 = pause.expect("a return time").parse().expect("seconds");
                assert!(pause > 0.0);
                refused += 1;
            } else {
                assert!(head.starts_with("http/1.1 504"), "{head}");
            }
        }
        assert!(refused >= MANY - MOST_ADMITTED, "{refused} of {MANY} refused");
        for service in &site.services {
            service.stall_gate.release();
        }
        // What the others held is free again.
        let mut place = 0;
        while !send_large(&site, &format!("after{place}"), is_chunked).await.contains(" 200 OK") {
            tokio::time::sleep(POLL_INTERVAL).await;
            place += 1;
        }
    });
}
