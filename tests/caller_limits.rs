//! Callers inside the limits that the pages name meet none of the bounds on connections, heads, bodies and answers.

use rstest::rstest;
use std::time::Duration;
use tealcleat::bench::site::{SiteConnection, SitePlan, TestSite, config};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

mod site_common;

use site_common::{call, runtime};

/// The largest body and head that the deployments allow.
const LARGEST_BODY: usize = 4 << 20;
const LARGEST_HEAD: usize = 16 << 10;
/// Room that the other fields of a head with one large field take.
const OTHER_FIELDS: usize = 300;
/// Callers that keep connections at one host; a host of the deployments has some dozens.
const KEPT_CONNECTIONS: usize = 400;
const REQUESTS_AHEAD: usize = 60;

/// Starts a site whose configuration allows the largest bodies and lets connections rest for `idle_ms`.
async fn start_site(idle_ms: u64) -> TestSite {
    let site = TestSite::start(SitePlan::default()).await.expect("it starts");
    let mut larger = config(2);
    larger["limits"]["max_body_bytes"] = LARGEST_BODY.into();
    larger["limits"]["idle_timeout_ms"] = idle_ms.into();
    larger["limits"]["header_timeout_ms"] = idle_ms.into();
    site.set_config(2, &larger);
    while site.hosts[0].host.routes().version() < 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    site
}

fn head(method: &str, id: &str, fields: &str) -> String {
    format!(
        "{method} /safe/x HTTP/1.1\r\nhost: books.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 15000\r\n{fields}\r\n"
    )
}

/// Reads one answer with a stated length, and returns its status line and body.
async fn read_answer(stream: &mut TcpStream) -> (String, Vec<u8>) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("an answer"));
    }
    let head = String::from_utf8(head).expect("text").to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.expect("a length").parse().expect("a number")];
    stream.read_exact(&mut body).await.expect("a whole body");
    (head.lines().next().expect("a status").to_owned(), body)
}

#[derive(Debug, Clone, Copy)]
enum BodySending {
    Whole,
    Chunks,
    SmallPieces,
}

#[rstest]
#[case::whole(BodySending::Whole)]
#[case::chunks(BodySending::Chunks)]
#[case::small_pieces(BodySending::SmallPieces)]
fn largest_body_served(#[case] sending: BodySending) {
    runtime().block_on(async {
        let site = start_site(15_000).await;
        let mut stream = TcpStream::connect(site.hosts[0].callers).await.expect("it accepts");
        let body = "a".repeat(LARGEST_BODY);
        let length = format!("content-length: {LARGEST_BODY}\r\n");
        match sending {
            BodySending::Whole => {
                let all = head("POST", "r1", &length) + &body;
                stream.write_all(all.as_bytes()).await.expect("it is read");
            }
            BodySending::Chunks => {
                let head = head("POST", "r1", "transfer-encoding: chunked\r\n");
                stream.write_all(head.as_bytes()).await.expect("it is read");
                for piece in body.as_bytes().chunks(1000) {
                    let size = format!("{:x}\r\n", piece.len());
                    let chunk = [size.as_bytes(), piece, b"\r\n"].concat();
                    stream.write_all(&chunk).await.expect("it is read");
                }
                stream.write_all(b"0\r\n\r\n").await.expect("it is read");
            }
            BodySending::SmallPieces => {
                stream.write_all(head("POST", "r1", &length).as_bytes()).await.expect("it is read");
                for piece in body.as_bytes().chunks(1 << 10) {
                    stream.write_all(piece).await.expect("it is read");
                }
            }
        }
        assert_eq!(read_answer(&mut stream).await.0, "http/1.1 200 ok");
        assert_eq!(site.hosts[0].host.request_bodies.held(), 0);
    });
}

#[test]
fn largest_head_served() {
    runtime().block_on(async {
        let site = start_site(15_000).await;
        let field = format!("x-pad: {}\r\n", "a".repeat(LARGEST_HEAD - OTHER_FIELDS));
        let mut stream = TcpStream::connect(site.hosts[0].callers).await.expect("it accepts");
        stream.write_all(head("GET", "r1", &field).as_bytes()).await.expect("it is read");
        assert_eq!(read_answer(&mut stream).await.0, "http/1.1 200 ok");
    });
}

/// The pages' callers take up connections that rested for up to four fifths of the limit.
#[test]
fn resting_connection_served_again() {
    const IDLE_MS: u64 = 2000;
    runtime().block_on(async {
        let site = start_site(IDLE_MS).await;
        let mut connection = SiteConnection::open(site.hosts[0].callers).await.expect("it accepts");
        for round in 0..2 {
            let request = call("GET", "safe", &format!("r{round}"));
            assert_eq!(connection.call(&request).await.expect("an answer").status, 200);
            tokio::time::sleep(Duration::from_millis(IDLE_MS * 4 / 5)).await;
        }
        assert_eq!(connection.call(&call("GET", "safe", "last")).await.expect("one").status, 200);
    });
}

#[test]
fn kept_connections_stay_open() {
    runtime().block_on(async {
        let site = start_site(15_000).await;
        let mut connections = Vec::new();
        for _ in 0..KEPT_CONNECTIONS {
            let connection = SiteConnection::open(site.hosts[0].callers).await;
            connections.push(connection.expect("it accepts"));
        }
        for round in 0..2 {
            for (index, connection) in connections.iter_mut().enumerate() {
                let request = call("GET", "safe", &format!("r{round}-{index}"));
                assert_eq!(connection.call(&request).await.expect("an answer").status, 200);
            }
        }
        assert!(connections.iter().all(SiteConnection::is_open));
        let counts = site.hosts[0].host.rooms.callers.counts();
        assert_eq!((counts.open, counts.closed, counts.refused), (KEPT_CONNECTIONS, 0, 0));
    });
}

/// Requests that are sent ahead are answered, in their order, if the answers are read.
#[test]
fn requests_ahead_answered_in_order() {
    runtime().block_on(async {
        let site = start_site(15_000).await;
        let mut stream = TcpStream::connect(site.hosts[0].callers).await.expect("it accepts");
        let all: String =
            (0..REQUESTS_AHEAD).map(|index| head("GET", &format!("r{index}"), "")).collect();
        stream.write_all(all.as_bytes()).await.expect("they are read");
        for index in 0..REQUESTS_AHEAD {
            let (status, body) = read_answer(&mut stream).await;
            let body = String::from_utf8(body).expect("text");
            assert_eq!(status, "http/1.1 200 ok");
            assert!(body.ends_with(&format!(" r{index}")), "{index}: {body}");
        }
    });
}

/// A body that is half sent when its caller's time is over is refused as not run, and gives back its room.
#[test]
fn half_body_refused_in_time() {
    runtime().block_on(async {
        let site = start_site(15_000).await;
        let mut stream = TcpStream::connect(site.hosts[0].callers).await.expect("it accepts");
        let part = format!(
            "POST /once/x HTTP/1.1\r\nhost: books.example\r\nx-request-id: r1\r\n\
             x-deadline-ms: 300\r\ncontent-length: {LARGEST_BODY}\r\n\r\n{}",
            "a".repeat(LARGEST_BODY / 2)
        );
        stream.write_all(part.as_bytes()).await.expect("it is read");
        let (status, body) = read_answer(&mut stream).await;
        assert_eq!(status, "http/1.1 503 service unavailable", "{body:?}");
        while site.hosts[0].host.request_bodies.held() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert!(site.services.iter().all(|service| service.runs().is_empty()), "it did not run");
    });
}
