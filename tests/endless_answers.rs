//! Servers whose answers have no end, in a head, a body or an event: a host holds a bounded part of them, closes the
//! connection and gives its caller a clear answer.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tealcleat::Error;
use tealcleat::bench::site::{SitePlan, TestSite};
use tealcleat::engines::{AnswerProof, DialedConnection, HttpPool, MAX_ANSWER_BYTES, SendLimits};
use tealcleat::peers::PeerClient;
use tealcleat::server_paths::ConnectionPath;

mod endless_common;
mod site_common;

use endless_common::{EndlessPart, EndlessServer, MAX_TAKEN, site_with_engine, site_with_services};
use site_common::{call, call_first_host, runtime};

/// Ends a test that hangs. No guarantee depends on this value.
const LIMIT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Answers at once, of which four would fill the host's budget.
const MANY: usize = 24;

/// Guards against an answer without end that is collected until the caller's deadline, in a growing memory.
#[rstest]
#[case::status_line(EndlessPart::StatusLine)]
#[case::header_value(EndlessPart::HeaderValue)]
#[case::headers(EndlessPart::Headers)]
#[case::informational(EndlessPart::Informational)]
#[case::body_without_length(EndlessPart::BodyWithoutLength)]
#[case::body_with_length(EndlessPart::BodyWithLength)]
#[case::chunks(EndlessPart::Chunks)]
#[case::chunk_size(EndlessPart::ChunkSize)]
#[case::chunk_extension(EndlessPart::ChunkExtension)]
#[case::trailers(EndlessPart::Trailers)]
fn endless_answer_gets_502(#[case] part: EndlessPart) {
    runtime().block_on(async {
        let server = EndlessServer::start(part, false).await;
        let site = site_with_services(&[&server], 0).await;
        let reply = call_first_host(&site, &call("POST", "once", "r1")).await;
        assert_eq!(
            reply.status.as_u16(),
            502,
            "it may have run, and the caller's time is not over"
        );
        assert!(reply.header("x-server-stamp").is_empty() && reply.body.is_empty());
        server.wait_closed(1).await;
        assert_eq!(server.asked(), 1, "what must not be repeated is sent once");
        assert!(server.most_written() < MAX_TAKEN, "{} bytes were taken", server.most_written());
    });
}

/// Guards against a retryable request that is lost to one server's answer without end.
#[test]
fn endless_answer_repeated_elsewhere() {
    runtime().block_on(async {
        let server = EndlessServer::start(EndlessPart::BodyWithoutLength, false).await;
        let site = site_with_services(&[&server], 2).await;
        let mut place = 0;
        while server.asked() == 0 {
            let reply = call_first_host(&site, &call("GET", "safe", &format!("r{place}"))).await;
            assert_eq!(reply.status.as_u16(), 200, "r{place}");
            place += 1;
        }
        server.wait_closed(server.asked()).await;
        assert!(server.most_written() < MAX_TAKEN, "{} bytes were taken", server.most_written());
    });
}

/// Guards against a promise (503) that rests on bytes that are no answer.
#[test]
fn endless_refusal_promises_nothing() {
    runtime().block_on(async {
        let server = EndlessServer::start(EndlessPart::Refusal, false).await;
        let site = site_with_services(&[&server], 0).await;
        let reply = call_first_host(&site, &call("POST", "once", "r1")).await;
        assert_eq!(reply.status.as_u16(), 502);
        server.wait_closed(1).await;
        assert!(server.most_written() < MAX_TAKEN, "{} bytes were taken", server.most_written());
    });
}

/// The same at a decode server, which then must not be sent the request again either.
#[test]
fn endless_refusal_of_a_run_promises_nothing() {
    runtime().block_on(async {
        let server = EndlessServer::start(EndlessPart::Refusal, true).await;
        let site = site_with_engine(&server, "decode").await;
        let reply = call_first_host(&site, &call("POST", "stream", "r1")).await;
        assert_eq!((reply.status.as_u16(), server.asked()), (502, 1));
        server.wait_closed(1).await;
        assert!(server.most_written() < MAX_TAKEN, "{} bytes were taken", server.most_written());
    });
}

/// Guards against a first read whose answer has no end: the decode server reads the prompt instead.
#[rstest]
#[case::result(EndlessPart::BodyWithoutLength)]
#[case::refusal(EndlessPart::Refusal)]
#[case::informational(EndlessPart::Informational)]
fn endless_first_read_left_to_decode(#[case] part: EndlessPart) {
    runtime().block_on(async {
        let server = EndlessServer::start(part, false).await;
        let site = site_with_engine(&server, "prefill").await;
        let reply = call_first_host(&site, &call("POST", "stream", "r1")).await;
        assert_eq!((reply.status.as_u16(), reply.events().len()), (200, 8));
        server.wait_closed(1).await;
        assert!(server.most_written() < MAX_TAKEN, "{} bytes were taken", server.most_written());
    });
}

/// Guards against a hold whose answer has no end.
#[rstest]
#[case::body(EndlessPart::BodyWithoutLength)]
#[case::head(EndlessPart::HeaderValue)]
fn endless_hold_refused(#[case] part: EndlessPart) {
    runtime().block_on(async {
        let server = EndlessServer::start(part, false).await;
        let site = site_with_engine(&server, "decode").await;
        let reply = call_first_host(&site, &call("POST", "stream", "r1")).await;
        assert_eq!(reply.status.as_u16(), 503, "nothing was sent to run");
        server.wait_closed(server.asked()).await;
        assert!(server.most_written() < MAX_TAKEN, "{} bytes were taken", server.most_written());
    });
}

/// Guards against an event without end, before the answer has begun and after it has.
#[rstest]
#[case::first(EndlessPart::FirstEvent, 502)]
#[case::second(EndlessPart::SecondEvent, 200)]
fn endless_event_cuts_its_stream(#[case] part: EndlessPart, #[case] status: u16) {
    runtime().block_on(async {
        let server = EndlessServer::start(part, true).await;
        let site = site_with_engine(&server, "decode").await;
        let reply = call_first_host(&site, &call("POST", "stream", "r1")).await;
        assert_eq!(reply.status.as_u16(), status);
        assert_eq!(reply.complete, status != 200, "what has begun never looks complete");
        server.wait_closed(1).await;
        assert!(server.most_written() < MAX_TAKEN, "{} bytes were taken", server.most_written());
    });
}

/// Guards against a store whose answers have no end.
#[rstest]
#[case::body(EndlessPart::BodyWithoutLength)]
#[case::informational(EndlessPart::Informational)]
fn endless_store_answer_given_up(#[case] part: EndlessPart) {
    runtime().block_on(async {
        let server = EndlessServer::start(part, false).await;
        // A host without others to learn from asks the store itself.
        let plan = SitePlan { hosts: 0, ..SitePlan::default() };
        let mut site = TestSite::start(plan).await.expect("it starts");
        site.add_host_with(|settings| settings.store = server.address).await.expect("it starts");
        server.wait_closed(2).await;
        assert!(server.most_written() < MAX_TAKEN, "{} bytes were taken", server.most_written());
    });
}

/// Sound answers up to the bound pass unchanged.
#[rstest]
#[case::small(800)]
#[case::large(3 << 20)]
#[case::largest(MAX_ANSWER_BYTES)]
fn sound_answer_up_to_the_bound_passes(#[case] length: usize) {
    runtime().block_on(async {
        let server = EndlessServer::start(EndlessPart::WholeBody(length), false).await;
        let site = site_with_services(&[&server], 0).await;
        let reply = call_first_host(&site, &call("POST", "once", "r1")).await;
        assert_eq!((reply.status.as_u16(), reply.complete), (200, true));
        assert_eq!(reply.body.len(), length);
    });
}

/// Guards against a bound for each answer that many answers at once exceed together, and against one for all of them that
/// leaves no room for small ones.
#[test]
fn many_endless_answers_leave_room_for_sound_ones() {
    runtime().block_on(async {
        // They stand still once half of their bytes were taken, and so occupy what they were given.
        let server = EndlessServer::start(EndlessPart::HalfBody(2 << 20), false).await;
        let site = Arc::new(site_with_services(&[&server], 0).await);
        let callers: Vec<_> = (0..MANY)
            .map(|place| {
                let site = Arc::clone(&site);
                tokio::spawn(async move {
                    let once = call("POST", "once", &format!("r{place}"));
                    call_first_host(&site, &once).await.status.as_u16()
                })
            })
            .collect();
        server.wait_asked(MANY).await;
        let answers = site.hosts[0].host.answer_bytes();
        while answers.most_held() < answers.capacity() / 2 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let reply = call_first_host(&site, &call("POST", "stream", "beside")).await;
        assert_eq!((reply.status.as_u16(), reply.events().len()), (200, 8));
        for caller in callers {
            let status = caller.await.expect("it ends");
            assert!([502, 504].contains(&status), "{status}");
        }
        assert!(answers.most_held() <= answers.capacity());
        while answers.held() > 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
}

/// Guards against bounds that hold on a host's own path only: the same answers through another host's tunnel.
#[rstest]
#[case::body(EndlessPart::BodyWithoutLength)]
#[case::header(EndlessPart::HeaderValue)]
#[case::informational(EndlessPart::Informational)]
#[case::chunk_size(EndlessPart::ChunkSize)]
fn endless_answer_through_a_tunnel_ended(#[case] part: EndlessPart) {
    runtime().block_on(async {
        let server = EndlessServer::start(part, false).await;
        let site = site_with_services(&[&server], 0).await;
        let (client, pool) = (PeerClient::new("a-shared-key-of-tests"), HttpPool::default());
        let helper = site.hosts[0].peers;
        let dial = async || {
            let opened = client.open_tunnel(helper, server.address, false, LIMIT).await?;
            let stream = opened.expect("the host forwards");
            DialedConnection::start(stream, ConnectionPath::Tunnel(helper)).await
        };
        let request = Request::post("/").header("x-request-id", "r1").body(Full::new(Bytes::new()));
        let request = request.expect("a request");
        let (proof, limits) = (AnswerProof::Id("x-request-id"), SendLimits::default());
        let ended = match pool.send_through(dial, server.address, request, proof, limits).await {
            Ok(answer) => answer.into_body().read_all().await.map(drop),
            Err(error) => Err(error),
        };
        assert!(matches!(ended, Err(Error::TooLong { .. })), "{ended:?}");
        assert!(pool.answers().held() == 0 && pool.warm_addresses().is_empty());
        server.wait_closed(1).await;
    });
}
