//! The project's own interface before servers and engines whose answers have no end: a host holds a bounded part of them,
//! closes the connection and gives its caller a clear answer.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use rstest::rstest;
use std::sync::Arc;
use tealcleat::bench::{CallResult, Completion};
use tealcleat::engines::{HttpPool, MAX_ANSWER_BYTES};

mod common;
mod endless_common;

use common::{CALL_TIMEOUT, LocalFleet, assert_whole, wait_until};
use endless_common::{EndlessPart, EndlessServer, MAX_TAKEN};

const SERVICE: &str = "reader-app";

/// A fleet whose plain service consists of one server without end.
fn fleet_before_server(part: EndlessPart) -> (LocalFleet, Arc<EndlessServer>) {
    let mut fleet = LocalFleet::unconfigured();
    let server = fleet.runtime.block_on(EndlessServer::start(part, false));
    fleet.addresses.services.insert(SERVICE.to_owned(), vec![server.address]);
    configure(&fleet);
    (fleet, server)
}

/// A fleet all of whose engines of one stage answer calls of `path` without end.
fn fleet_before_engines(
    stage: &str,
    path: &'static str,
    part: EndlessPart,
) -> (LocalFleet, Vec<Arc<EndlessServer>>) {
    let mut fleet = LocalFleet::unconfigured();
    let mut servers = Vec::new();
    for (name, address) in &mut fleet.addresses.engines {
        if name.contains(stage) {
            let server = EndlessServer::start_before(part, path, *address);
            let server = fleet.runtime.block_on(server);
            *address = server.address;
            servers.push(server);
        }
    }
    assert!(!servers.is_empty(), "no engine of this stage: {:?}", fleet.addresses.engines);
    configure(&fleet);
    (fleet, servers)
}

fn configure(fleet: &LocalFleet) {
    let version = fleet.confirm(0, &fleet.deployment.intent(&fleet.addresses));
    fleet.wait_ready(version);
}

fn most_written(servers: &[Arc<EndlessServer>]) -> usize {
    servers.iter().map(|server| server.most_written()).max().unwrap_or_default()
}

/// A call that may be repeated.
fn get(fleet: &LocalFleet) -> (u16, Bytes) {
    let address = fleet.daemons[0].callers;
    fleet.runtime.block_on(async {
        let request = Request::get(format!("/s/{SERVICE}/chapters/1"))
            .header("host", address.to_string())
            .header("tealcleat-organisation", "hanbit")
            .header("tealcleat-class", "interactive")
            .body(Full::new(Bytes::new()));
        let mut sender = HttpPool::connect(address).await.expect("a connection");
        let response = sender.send_request(request.expect("a request")).await.expect("an answer");
        let status = response.status().as_u16();
        (status, response.into_body().collect().await.expect("a body").to_bytes())
    })
}

/// Guards against an answer of a plain server that is collected without a bound.
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
fn endless_answer_of_plain_server_ended(#[case] part: EndlessPart) {
    let (fleet, server) = fleet_before_server(part);
    assert_eq!(get(&fleet).0, 502, "it may have run");
    let (result, text) = fleet.book(0, "key", "{\"crew\":1}");
    assert!(!matches!(result, CallResult::Complete | CallResult::NotRun), "{result:?} {text}");
    fleet.runtime.block_on(server.wait_closed(2));
    assert_eq!(server.asked(), 2, "a call that may run once only is sent once");
    assert!(server.most_written() < MAX_TAKEN, "{} bytes were taken", server.most_written());
}

/// Guards against a bound that sound answers meet: one below what the deployments allow, or one that counts bytes that were
/// passed on.
#[rstest]
#[case::small(800)]
#[case::medium(400_000)]
#[case::largest(MAX_ANSWER_BYTES)]
fn sound_answer_of_plain_server_passes(#[case] length: usize) {
    let (fleet, _server) = fleet_before_server(EndlessPart::WholeBody(length));
    let (status, body) = get(&fleet);
    assert_eq!((status, body.len()), (200, length));
    let (result, text) = fleet.book(0, "key", "{\"crew\":1}");
    assert_eq!((result, text.len()), (CallResult::Complete, length));
}

fn complete(fleet: &LocalFleet) -> Completion {
    fleet.complete(0, "a recap of chapters 1 to 40")
}

/// Guards against a stream of an engine whose line has no end, or whose tokens have none: each is held until the caller has
/// it, and all of them for an engine that goes on.
#[rstest]
#[case::line(EndlessPart::Line)]
#[case::large_tokens(EndlessPart::LargeTokens)]
#[case::tokens(EndlessPart::Tokens)]
#[case::repeated_line(EndlessPart::RepeatedLine)]
#[case::body(EndlessPart::BodyWithoutLength)]
#[case::header_value(EndlessPart::HeaderValue)]
#[case::informational(EndlessPart::Informational)]
fn endless_stream_of_engine_ended(#[case] part: EndlessPart) {
    let (fleet, servers) = fleet_before_engines("decode", "/v1/decode", part);
    let completion = complete(&fleet);
    assert_ne!(completion.result, CallResult::Complete);
    assert!(most_written(&servers) < MAX_TAKEN, "{} bytes were taken", most_written(&servers));
    for server in servers {
        fleet.runtime.block_on(server.wait_closed(server.asked()));
    }
}

/// Guards against a result of a read that has no end.
#[rstest]
#[case::body(EndlessPart::BodyWithoutLength)]
#[case::chunks(EndlessPart::Chunks)]
#[case::headers(EndlessPart::Headers)]
#[case::informational(EndlessPart::Informational)]
#[case::trailers(EndlessPart::Trailers)]
fn endless_result_of_read_ended(#[case] part: EndlessPart) {
    let (fleet, servers) = fleet_before_engines("prefill", "/v1/prefill", part);
    let completion = complete(&fleet);
    assert_ne!(completion.result, CallResult::Complete);
    assert!(most_written(&servers) < MAX_TAKEN, "{} bytes were taken", most_written(&servers));
    for server in servers {
        fleet.runtime.block_on(server.wait_closed(server.asked()));
    }
}

/// Guards against reports, cancellations and orders whose answers have no end: the engine is not used, others are.
#[rstest]
#[case::report("/v1/load?after=0")]
#[case::cancel("/v1/cancel")]
#[case::order("/v1/orders")]
fn endless_control_answer_ended(#[case] path: &'static str) {
    let mut fleet = LocalFleet::unconfigured();
    let name = fleet.addresses.engines.keys().find(|name| name.contains("decode"));
    let name = name.expect("a decode engine").clone();
    let address = fleet.addresses.engines[&name];
    let part = EndlessPart::BodyWithoutLength;
    let server = fleet.runtime.block_on(EndlessServer::start_before(part, path, address));
    fleet.addresses.engines.insert(name, server.address);
    fleet.confirm(0, &fleet.deployment.intent(&fleet.addresses));
    wait_until("a sound engine to serve", || complete(&fleet).result == CallResult::Complete);
    let prompt = "a recap of chapters 1 to 41";
    assert_whole(&fleet.complete(0, prompt), prompt);
    assert!(server.most_written() < MAX_TAKEN, "{} bytes were taken", server.most_written());
}

/// Guards against many answers at once that exceed the memory together.
#[test]
fn many_endless_answers_of_plain_server_bounded() {
    let (fleet, server) = fleet_before_server(EndlessPart::HalfBody(2 << 20));
    let address = fleet.daemons[0].callers;
    let caller = fleet.caller();
    let calls = (0..24).map(|number| {
        let key = format!("key-{number}");
        let caller = &caller;
        async move {
            let header = ("idempotency-key", key.as_str());
            caller.call_once(address, "hanbit", header, "{}", CALL_TIMEOUT).await.0
        }
    });
    let calls = futures_util::future::join_all(calls);
    let results = fleet.runtime.block_on(calls);
    assert!(results.iter().all(|result| *result != CallResult::Complete), "{results:?}");
    let answers = fleet.host(0).answer_bytes();
    assert!(answers.most_held() > 0 && answers.most_held() <= answers.capacity());
    assert_eq!(server.asked(), 24);
    wait_until("all to be dropped", || answers.held() == 0);
}
