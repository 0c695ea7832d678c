//! Invalid requests of callers and the errors that they receive.

mod common;

use common::{LocalFleet, assert_whole};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use tealcleat::bench::http_call;

const GOOD: &str = r#"{"model":"inkmind","prompt":"a short recap","max_tokens":4}"#;
const ORG: (&str, &str) = ("tealcleat-organisation", "hanbit");
const CLASS: (&str, &str) = ("tealcleat-class", "interactive");

struct BadCall {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: String,
    status: u16,
    reason: &'static str,
    message: &'static str,
}

fn bad_call(
    name: &'static str,
    body: &str,
    status: u16,
    reason: &'static str,
    message: &'static str,
) -> BadCall {
    let headers = vec![(ORG.0, ORG.1.to_owned()), (CLASS.0, CLASS.1.to_owned())];
    let body = body.to_owned();
    BadCall {
        name,
        method: "POST",
        path: "/v1/completions",
        headers,
        body,
        status,
        reason,
        message,
    }
}

impl BadCall {
    fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.retain(|(known, _)| *known != name);
        if !value.is_empty() {
            self.headers.push((name, value.to_owned()));
        }
        self
    }

    fn to(self, method: &'static str, path: &'static str) -> Self {
        Self { method, path, ..self }
    }
}

fn bad_calls() -> Vec<BadCall> {
    let long = format!("{{\"model\":\"inkmind\",\"prompt\":\"{}\"}}", "w ".repeat(40_000));
    vec![
        bad_call(
            "json",
            "{",
            400,
            "invalid_json",
            "the body is not a completion request: EOF while parsing an object at line 1 column 1",
        ),
        bad_call(
            "field",
            r#"{"model":"inkmind"}"#,
            400,
            "invalid_field",
            "the body is not a completion request: missing field `prompt` at line 1 column 19",
        ),
        bad_call(
            "empty prompt",
            r#"{"model":"inkmind","prompt":" "}"#,
            400,
            "empty_prompt",
            "the prompt is empty",
        ),
        bad_call(
            "tokens",
            r#"{"model":"inkmind","prompt":"a","max_tokens":0}"#,
            400,
            "invalid_max_tokens",
            "max_tokens must be from 1 to 4096, not 0",
        ),
        bad_call(
            "model",
            r#"{"model":"nope","prompt":"a"}"#,
            404,
            "unknown_model",
            "model \"nope\" is not served",
        ),
        bad_call(
            "adapter",
            r#"{"model":"inkmind","prompt":"a","adapter":"x"}"#,
            404,
            "unknown_adapter",
            "model \"inkmind\" has no adapter \"x\"",
        ),
        bad_call("body limit", &long, 413, "body_too_large", "the body is longer than 65536 bytes"),
        bad_call(
            "no organisation",
            GOOD,
            400,
            "missing_header",
            "header tealcleat-organisation is missing",
        )
        .header(ORG.0, ""),
        bad_call(
            "organisation",
            GOOD,
            403,
            "unknown_organisation",
            "organisation \"other\" is not admitted",
        )
        .header(ORG.0, "other"),
        bad_call("class", GOOD, 400, "unknown_class", "class \"gold\" is not promised anything")
            .header(CLASS.0, "gold"),
        bad_call(
            "negative deadline",
            GOOD,
            400,
            "passed_deadline",
            "the deadline has passed: tealcleat-deadline-ms is -5",
        )
        .header("tealcleat-deadline-ms", "-5"),
        bad_call(
            "passed deadline",
            GOOD,
            400,
            "passed_deadline",
            "the deadline has passed: tealcleat-deadline-ms is 0",
        )
        .header("tealcleat-deadline-ms", "0"),
        bad_call(
            "deadline",
            GOOD,
            400,
            "invalid_deadline",
            "tealcleat-deadline-ms must be a whole number, not \"soon\"",
        )
        .header("tealcleat-deadline-ms", "soon"),
        bad_call("long key", GOOD, 400, "key_too_long", "idempotency-key is longer than 200 bytes")
            .header("idempotency-key", &"k".repeat(201)),
        bad_call("method", "", 405, "wrong_method", "use POST, not PUT")
            .to("PUT", "/v1/completions"),
        bad_call("path", "", 404, "unknown_path", "no route for \"/v2/none\"")
            .to("POST", "/v2/none"),
        bad_call("service", "", 404, "unknown_service", "service \"none\" is not routed")
            .to("POST", "/s/none/x"),
        bad_call(
            "missing key",
            "{}",
            400,
            "missing_key",
            "this call must not be repeated: send an idempotency-key or a ticket",
        )
        .to("POST", "/s/reader-app/comments"),
        bad_call("ticket", "{}", 400, "invalid_ticket", "\"t\" is not a ticket")
            .to("POST", "/s/reader-app/comments")
            .header("tealcleat-ticket", "t"),
    ]
}

#[test]
fn bad_input_gets_exact_error() {
    let fleet = LocalFleet::start();
    let address = fleet.daemons[0].callers;
    for call in bad_calls() {
        let url = format!("http://{address}{}", call.path);
        let headers: Vec<(&str, &str)> =
            call.headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
        let (status, text) = http_call(call.method, &url, &headers, &call.body).expect(call.name);
        let value: Value = serde_json::from_str(&text).expect(call.name);
        let error = &value["error"];
        assert_eq!(status, call.status, "{}: {text}", call.name);
        assert_eq!(error["reason"], call.reason, "{}", call.name);
        assert_eq!(error["message"], call.message, "{}", call.name);
        assert_eq!(error["outcome"], "not_run", "{}", call.name);
    }
    let raw = send_raw(address, b"nonsense\r\n\r\n");
    assert!(raw.starts_with("HTTP/1.1 400"), "{raw:?}");
    // Valid requests are still served.
    assert_whole(&fleet.complete(0, "after bad input"), "after bad input");
}

fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("it accepts");
    stream.write_all(bytes).expect("it reads");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn completion_without_streaming_is_whole() {
    let fleet = LocalFleet::start();
    let url = format!("http://{}/v1/completions", fleet.daemons[0].callers);
    let (status, text) = http_call("POST", &url, &[ORG, CLASS], GOOD).expect("an answer");
    let value: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(status, 200);
    assert_eq!(value["usage"]["completion_tokens"], 4);
}

#[test]
fn unconfigured_host_is_not_ready() {
    let fleet = LocalFleet::unconfigured();
    let address = fleet.daemons[0].callers;
    let (status, _) = http_call("GET", &format!("http://{address}/readyz"), &[], "").expect("it");
    assert_eq!(status, 503);
    let url = format!("http://{address}/v1/completions");
    let (status, text) = http_call("POST", &url, &[ORG, CLASS], GOOD).expect("an answer");
    assert_eq!(status, 503);
    assert!(text.contains("no_configuration") && text.contains("not_run"), "{text}");
}
