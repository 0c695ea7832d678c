//! Answers that end before they are complete.
//!
//! These tests guard against truncated answers that reach the callers of model services as complete ones. The task that
//! generates an answer may end early, by a panic or a stop, and the end of its channel was written to the caller as the
//! end of the answer. An engine's stream may end within a line or before its last event, and its reader accepted that
//! as the end. Both protocols have an explicit end, which never arrives in these tests.

mod common;
mod engine_common;

use bytes::Bytes;
use common::LocalFleet;
use engine_common::{DECODE, LinkedEngines, read_all, runtime};
use http_body_util::BodyExt;
use std::net::SocketAddr;
use tealcleat::bench::{FaultCommand, FaultKind, StandinSet, http_call};
use tealcleat::callers::AnswerBody;
use tealcleat::engines::{EngineClient, ResumeCall, StreamEvent};
use tealcleat::held_bytes::ByteBudget;
use tealcleat::host::{AnswerBytes, AnswerPart};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

fn cut_streams(set: &StandinSet) {
    let target = DECODE.to_owned();
    assert!(set.switch_fault(&FaultCommand { target, fault: FaultKind::CutStreams, on: true }));
}

#[test]
fn cut_stream_is_an_error() {
    runtime().block_on(async {
        let engines = LinkedEngines::start().await;
        let mut lines = engines.stream("a stream that is cut").await.expect("a stream");
        let first = lines.next().await.expect("an event");
        assert_eq!(first, Some(StreamEvent::Imported));
        cut_streams(&engines.set);
        let (events, ended) = read_all(&mut lines).await;
        assert!(!events.iter().any(|event| matches!(event, StreamEvent::Done { .. })));
        assert!(ended.is_err(), "a stream without its last event ended without an error");
    });
}

/// Starts a server that answers each call with the text that `answer` returns and closes the connection.
async fn server_answering(answer: impl Fn(String) -> String + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let read = stream.read(&mut request).await.expect("a request");
            let request = String::from_utf8_lossy(&request[..read]).into_owned();
            stream.write_all(answer(request).as_bytes()).await.expect("the answer is sent");
        }
    });
    address
}

/// Starts an engine that answers every call with `body` as a complete answer.
async fn engine_answering(body: &'static str) -> SocketAddr {
    server_answering(move |request| {
        // Like every engine with this interface, it repeats the id of the call.
        let id = request.lines().find(|line| line.starts_with("tealcleat-call:"));
        let id = id.map_or(String::new(), |line| format!("{line}\r\n"));
        let length = body.len();
        format!("HTTP/1.1 200 OK\r\n{id}content-length: {length}\r\n\r\n{body}")
    })
    .await
}

#[test]
fn stream_that_ends_within_a_line_is_an_error() {
    runtime().block_on(async {
        let address = engine_answering("\"imported\"\n{\"token\":{\"index\":0,").await;
        let call = ResumeCall { attempt: "a".to_owned(), next_index: 0 };
        let resumed = EngineClient::default().resume(address, &call).await;
        let (events, ended) = read_all(&mut resumed.expect("a stream")).await;
        assert_eq!(events, [StreamEvent::Imported]);
        assert!(ended.is_err(), "half a line was accepted as the end");
    });
}

#[test]
fn stream_that_ends_without_its_last_event_is_an_error() {
    runtime().block_on(async {
        let address = engine_answering("\"imported\"\n").await;
        let call = ResumeCall { attempt: "a".to_owned(), next_index: 0 };
        let resumed = EngineClient::default().resume(address, &call).await;
        let (events, ended) = read_all(&mut resumed.expect("a stream")).await;
        assert_eq!(events, [StreamEvent::Imported]);
        assert!(ended.is_err(), "a stream without its last event ended without an error");
    });
}

fn token(text: &str) -> AnswerPart {
    let bytes = AnswerBytes::new(&ByteBudget::new(1 << 20));
    AnswerPart::Token(bytes.admit(text.to_owned()).expect("room"))
}

/// Returns the body of an answer that consists of a first token and `parts`, after which its task ends; `None` if the
/// body ends with an error.
async fn body_of(parts: Vec<AnswerPart>) -> Option<Bytes> {
    let (sink, receiver) = tokio::sync::mpsc::unbounded_channel();
    for part in parts {
        sink.send(part).expect("the receiver is open");
    }
    drop(sink);
    let first = token("first");
    let body = AnswerBody::new("r-1".to_owned(), first, receiver);
    body.collect().await.ok().map(|collected| collected.to_bytes())
}

#[test]
fn answer_whose_task_ended_early_is_an_error() {
    runtime().block_on(async {
        let truncated = body_of(vec![token("second")]).await;
        assert_eq!(truncated, None, "an answer without its end looks complete");
        let complete = body_of(vec![AnswerPart::Done("stop".to_owned())]).await.expect("an end");
        assert!(complete.ends_with(b"data: [DONE]\n\n"));
    });
}

/// Starts a fleet whose plain service ends its answers by closing the connection; returns it with the service's name.
fn fleet_with_service(body: &'static str) -> (LocalFleet, String) {
    let mut fleet = LocalFleet::unconfigured();
    let answer = move |_request| format!("HTTP/1.1 200 OK\r\n\r\n{body}");
    let address = fleet.runtime.block_on(server_answering(answer));
    let name = fleet.addresses.services.keys().next().expect("a service").clone();
    fleet.addresses.services.insert(name.clone(), vec![address]);
    let intent = fleet.deployment.intent(&fleet.addresses);
    let version = fleet.confirm(0, &intent);
    fleet.wait_ready(version);
    (fleet, name)
}

/// Calls the service with a request that may be retried and with one that may not.
fn call_both_ways(fleet: &LocalFleet, service: &str) -> [(u16, String); 2] {
    let headers = [
        ("tealcleat-organisation", "hanbit"),
        ("tealcleat-class", "interactive"),
        ("idempotency-key", "k"),
    ];
    let base = format!("http://{}/s/{service}", fleet.daemons[0].callers);
    let retryable = http_call("GET", &format!("{base}/page"), &headers, "");
    let only_once = http_call("POST", &format!("{base}/comments"), &headers, "{}");
    [retryable.expect("an answer"), only_once.expect("an answer")]
}

#[test]
fn plain_answer_cut_with_its_connection_is_reported_as_unknown() {
    let (fleet, service) = fleet_with_service("{\"path\":\"/pa");
    for (status, text) in call_both_ways(&fleet, &service) {
        assert_eq!(status, 502, "{text}");
        let error: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        assert_eq!(error["error"]["outcome"], "unknown", "{text}");
    }
}

#[test]
fn plain_answer_that_ends_with_its_connection_is_complete_if_its_contents_are() {
    let complete = "{\"path\":\"/page\"}";
    let (fleet, service) = fleet_with_service(complete);
    for (status, text) in call_both_ways(&fleet, &service) {
        assert_eq!((status, text.as_str()), (200, complete));
    }
}
