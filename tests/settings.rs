//! Tests that reading settings and intents reports all findings with their locations, and that the examples are
//! valid.

use rstest::rstest;
use tealcleat::Error;
use tealcleat::settings::{SourceText, check_text};

const VALID_HOST: &str = r#"{
  // a comment
  "kind": "host", "host": "gasan-1", "domain": "gasan",
  "callers_listen": "127.0.0.1:7001", "peers_listen": "127.0.0.1:7002",
  "operators_listen": "127.0.0.1:7003", "platform": "127.0.0.1:7000",
  "shared_key": "0123456789abcdef", "operator_key": "fedcba9876543210",
}"#;

fn finding_lines(text: &str) -> Vec<String> {
    let source = SourceText { name: "f".to_owned(), text: text.to_owned() };
    match check_text(&source) {
        Ok(_) => Vec::new(),
        Err(Error::Settings(findings)) => findings.lines(),
        Err(other) => panic!("{other}"),
    }
}

#[test]
fn check_text_accepts_host_settings() {
    assert_eq!(finding_lines(VALID_HOST), Vec::<String>::new());
}

#[rstest]
#[case::syntax("{\"kind\": }", &["f:1:10: Unexpected close brace"])]
#[case::not_an_object("[1]", &["f:1:1: the text must be one JSON object"])]
#[case::unknown_key(&VALID_HOST.replace("\"host\":", "\"hots\":"), &[
    "f:1:1: host is missing",
    "f:3:19: unknown key \"hots\"; did you mean \"host\"?",
])]
#[case::invalid_address(&VALID_HOST.replace("127.0.0.1:7001", "here"), &[
    "f:4:21: callers_listen must be an IP address with port, not \"here\"",
])]
#[case::short_key(&VALID_HOST.replace("0123456789abcdef", "short"), &[
    "f:6:17: shared_key must have at least 16 characters",
])]
#[case::same_keys(&VALID_HOST.replace("fedcba9876543210", "0123456789abcdef"), &[
    "f:6:53: operator_key must differ from shared_key",
])]
#[case::same_ports(&VALID_HOST.replace("7003", "7001"), &[
    "f:5:23: operators_listen must differ from callers_listen",
])]
#[case::duplicate_key(&VALID_HOST.replace("\"domain\": \"gasan\"", "\"domain\": \"a\", \"domain\": \"b\""), &[
    "f:3:53: domain is given more than once",
])]
#[case::several_findings(&VALID_HOST.replace("}", "\"policy\": \"best\", \"drain_limit_ms\": -1, \"log_level\": 3}"), &[
    "f:7:11: policy must be one of round-robin, random, least-load, best-of-two, best-of-two-refuse, no-reservation, reserve",
    "f:7:37: drain_limit_ms must be a whole number from 0 to 600000",
    "f:7:54: log_level must be a string",
    "f:7:54: log_level must be error, warn, info or debug",
])]
#[case::intent("{\"kind\":\"intent\",\"operator\":\"\",\"join\":[{\"name\":\"a\",\"role\":\"both\"}],\"classes\":[1]}", &[
    "f:1:29: operator must not be empty",
    "f:1:40: domain is missing",
    "f:1:40: address is missing",
    "f:1:59: role must be \"prefill\" or \"decode\", not \"both\"",
    "f:1:79: classes must hold only objects",
])]
fn check_text_reports_host_and_intent_findings(#[case] text: &str, #[case] expected: &[&str]) {
    assert_eq!(finding_lines(text), expected);
}

#[test]
fn check_text_accepts_examples() {
    let mut checked = 0;
    for folder in ["panelbridge", "halvorsen"] {
        let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("examples").join(folder);
        for entry in std::fs::read_dir(path).expect("the example folder exists") {
            let source = SourceText::read(&entry.expect("readable").path()).expect("readable");
            check_text(&source).unwrap_or_else(|error| panic!("{error}"));
            checked += 1;
        }
    }
    assert!(checked >= 4, "{checked} examples");
}

const VALID_GATEWAY: &str = r#"{
  "kind": "gateway", "host": "gasan-1", "domain": "gasan",
  "callers_listen": "127.0.0.1:7001", "ready_listen": "127.0.0.1:7002",
  "peers_listen": "127.0.0.1:7003", "metrics_listen": "127.0.0.1:7004",
  "store": "127.0.0.1:7000", "seeds": ["127.0.0.1:7005"],
  "shared_key": "0123456789abcdef", "grace_s": 8, "retry_ratio": 0.2, "retry_slack": null,
}"#;

#[test]
fn check_text_accepts_gateway_settings() {
    assert_eq!(finding_lines(VALID_GATEWAY), Vec::<String>::new());
}

#[rstest]
#[case::negative_ratio(&VALID_GATEWAY.replace("0.2", "-1"), &[
    "f:6:66: retry_ratio must be a number from 0 to 10",
])]
#[case::text_for_number(&VALID_GATEWAY.replace("\"grace_s\": 8", "\"grace_s\": \"8\""), &[
    "f:6:48: grace_s must be a number from 0 to 600",
])]
#[case::same_ports(&VALID_GATEWAY.replace("7002", "7001"), &[
    "f:3:55: ready_listen must differ from callers_listen",
])]
#[case::unknown_key(&VALID_GATEWAY.replace("\"store\":", "\"stores\":"), &[
    "f:1:1: store is missing",
    "f:5:3: unknown key \"stores\"; did you mean \"store\"?",
])]
#[case::port_without_address(&VALID_GATEWAY.replace("\"store\"", "\"peers_advertise\": \"7003\", \"store\""), &[
    "f:5:22: peers_advertise must be an IP address with port, not \"7003\"",
])]
#[case::short_key(&VALID_GATEWAY.replace("0123456789abcdef", "short"), &[
    "f:6:17: shared_key must have at least 16 characters",
])]
fn check_text_reports_gateway_findings(#[case] text: &str, #[case] expected: &[&str]) {
    assert_eq!(finding_lines(text), expected);
}
