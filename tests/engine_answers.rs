//! Backend servers of the project's own interface that send an answer twice, the second time late.
//!
//! On the users' platform, a stream was generated from another caller's prompt, because a server sent an answer twice
//! and the copy was accepted as the answer to the next call on its connection. Model engines and plain services of the
//! project's own interface are called on reused connections, too, and their answers did not identify their calls. In
//! these tests an answer shows the prompt, path, fencing token or number that it belongs to.

mod common;
mod engine_common;

use common::{CALL_TIMEOUT, LocalFleet};
use engine_common::{LinkedEngines, MAX_TOKENS, MODEL, prefill_call, read_all, runtime};
use std::time::Duration;
use tealcleat::bench::site::{DuplicateLink, DuplicatePlan};
use tealcleat::bench::{answer_tokens, http_call, prompt_hash};
use tealcleat::engines::{ResumeCall, StreamEvent};
use tealcleat::intents::ServerRole;
use tealcleat::orders::ServerOrder;

fn order(fence: u64) -> ServerOrder {
    let models = vec![format!("{MODEL}@1")];
    ServerOrder { fence, role: ServerRole::Decode, models, draining: false }
}

fn once(request_contains: &'static str) -> DuplicatePlan {
    DuplicatePlan { request_contains, times: 1 }
}

fn tokens(events: &[StreamEvent]) -> Vec<String> {
    let text = |event: &StreamEvent| match event {
        StreamEvent::Token { text, .. } => Some(text.clone()),
        _ => None,
    };
    events.iter().filter_map(text).collect()
}

/// A fleet whose prefill engines and plain service are reached over links that can duplicate answers.
struct LinkedFleet {
    fleet: LocalFleet,
    prefills: Vec<DuplicateLink>,
    service: DuplicateLink,
}

impl LinkedFleet {
    fn start() -> Self {
        let mut fleet = LocalFleet::unconfigured();
        let mut prefills = Vec::new();
        let service = fleet.addresses.services.values().next().expect("a service")[0];
        let service = fleet.runtime.block_on(DuplicateLink::start(service)).expect("a link");
        for servers in fleet.addresses.services.values_mut() {
            *servers = vec![service.address];
        }
        for (name, address) in &mut fleet.addresses.engines {
            if name.contains("prefill") {
                let link = fleet.runtime.block_on(fleet.set.link(name)).expect("a link");
                *address = link.address;
                prefills.push(link);
            }
        }
        let intent = fleet.deployment.intent(&fleet.addresses);
        let version = fleet.confirm(0, &intent);
        fleet.wait_ready(version);
        Self { fleet, prefills, service }
    }

    /// Returns the number of answers to the first host that belonged to another call.
    fn answers_of_others(&self) -> u64 {
        let metrics = self.fleet.host(0).metrics_text();
        let mut lines = metrics.lines();
        let count = lines.find_map(|line| line.strip_prefix("tealcleat_answers_of_others_total "));
        count.expect("a counter").parse().expect("a number")
    }

    /// Returns the first tokens of a stream, after which its caller disconnects.
    fn first_tokens(&self, prompt: &str) -> Vec<String> {
        let caller = self.fleet.caller();
        let address = self.fleet.daemons[0].callers;
        let completion =
            caller.complete(address, "hanbit", prompt, CALL_TIMEOUT, Some(FIRST_TOKENS));
        let seen = self.fleet.runtime.block_on(completion);
        assert_eq!(seen.status, 200, "{prompt}: {seen:?}");
        seen.tokens
    }
}

/// Enough tokens to distinguish the answers to different prompts.
const FIRST_TOKENS: usize = 3;

#[test]
fn stream_uses_its_own_prompt_after_duplicate_prefill_answer() {
    let linked = LinkedFleet::start();
    for link in &linked.prefills {
        link.duplicate(once("post /v1/prefill"));
    }
    for number in 0..16 {
        let prompt = format!("prompt number {number}");
        let own = answer_tokens(prompt_hash(&prompt), MAX_TOKENS);
        assert_eq!(linked.first_tokens(&prompt), own[..FIRST_TOKENS], "{prompt}");
    }
    assert!(linked.prefills.iter().any(|link| link.remaining() == 0), "nothing was answered twice");
    assert!(linked.answers_of_others() > 0, "no copy arrived for another call");
    linked.fleet.wait_empty();
}

#[test]
fn plain_answer_is_its_own_after_duplicate_answer() {
    let linked = LinkedFleet::start();
    let (fleet, service) = (&linked.fleet, fleet_service(&linked.fleet));
    linked.service.duplicate(once("get /page"));
    let headers = [("tealcleat-organisation", "hanbit"), ("tealcleat-class", "interactive")];
    for number in 0..4 {
        let path = format!("/page/{number}");
        let url = format!("http://{}/s/{service}{path}", fleet.daemons[0].callers);
        let (status, text) = http_call("GET", &url, &headers, "").expect("an answer");
        assert_eq!(status, 200, "{text}");
        let answer: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        assert_eq!(answer["path"], path);
    }
    assert_eq!(linked.service.remaining(), 0, "nothing was answered twice");
}

fn fleet_service(fleet: &LocalFleet) -> String {
    fleet.addresses.services.keys().next().expect("a service").clone()
}

#[test]
fn decode_stream_is_its_own_after_duplicate_answer() {
    runtime().block_on(async {
        let engines = LinkedEngines::start().await;
        engines.decode.duplicate(once("post /v1/decode"));
        let mut streamed = 0;
        for number in 0..4 {
            let prompt = format!("prompt number {number}");
            let own = answer_tokens(prompt_hash(&prompt), MAX_TOKENS);
            // A call that receives the answer to another call fails; it never returns another call's stream.
            let Ok(mut lines) = engines.stream(&prompt).await else { continue };
            let (events, ended) = read_all(&mut lines).await;
            assert_eq!(tokens(&events), own, "{prompt}");
            assert!(ended.is_ok(), "{ended:?}");
            streamed += 1;
        }
        assert_eq!(engines.decode.remaining(), 0, "nothing was answered twice");
        assert_eq!(streamed, 3, "only the call that met another one's answer fails");
    });
}

#[test]
fn resumed_stream_is_its_own_after_duplicate_answer() {
    runtime().block_on(async {
        let engines = LinkedEngines::start().await;
        let prompts: Vec<String> = (0..4).map(|number| format!("prompt number {number}")).collect();
        for prompt in &prompts {
            // The reader disconnects at once; the engine continues the stream.
            drop(engines.stream(prompt).await.expect("a stream"));
        }
        engines.decode.duplicate(once("post /v1/resume"));
        let mut resumed = 0;
        for prompt in &prompts {
            let own = answer_tokens(prompt_hash(prompt), MAX_TOKENS);
            let call = ResumeCall { attempt: prefill_call(prompt).attempt, next_index: 4 };
            let address = engines.decode.address;
            let Ok(mut lines) = engines.client.resume(address, &call).await else { continue };
            let (events, ended) = read_all(&mut lines).await;
            assert_eq!(tokens(&events), own[4..], "{prompt}");
            assert!(ended.is_ok(), "{ended:?}");
            resumed += 1;
        }
        assert_eq!(engines.decode.remaining(), 0, "nothing was answered twice");
        assert_eq!(resumed, 3, "only the call that met another one's answer fails");
    });
}

#[test]
fn order_with_stale_fence_is_refused_after_duplicate_answer() {
    runtime().block_on(async {
        let engines = LinkedEngines::start().await;
        let address = engines.decode.address;
        engines.decode.duplicate(once("post /v1/orders"));
        engines.client.order(address, &order(5)).await.expect("the first order is accepted");
        for fence in [3, 4] {
            let result = engines.client.order(address, &order(fence)).await;
            assert!(result.is_err(), "fence {fence} is lower than 5: {result:?}");
        }
        engines.client.order(address, &order(6)).await.expect("the newest order is accepted");
        assert_eq!(engines.decode.remaining(), 0, "nothing was answered twice");
    });
}

#[test]
fn cancel_reports_whether_attempt_was_held_after_duplicate_answer() {
    runtime().block_on(async {
        let engines = LinkedEngines::start().await;
        let address = engines.decode.address;
        let _stream = engines.stream("a stream that is cancelled").await.expect("a stream");
        let held = prefill_call("a stream that is cancelled").attempt;
        engines.decode.duplicate(once("post /v1/cancel"));
        assert!(engines.client.cancel(address, held).await.expect("an answer").held);
        let other = engines.client.cancel(address, "never held".to_owned()).await;
        assert!(
            !other.is_ok_and(|done| done.held),
            "the answer to another cancel call was accepted"
        );
        let again = engines.client.cancel(address, "never held".to_owned()).await;
        assert!(!again.expect("an answer").held);
        assert_eq!(engines.decode.remaining(), 0, "nothing was answered twice");
    });
}

#[test]
fn load_report_matches_its_request_after_duplicate_answer() {
    runtime().block_on(async {
        let engines = LinkedEngines::start().await;
        let address = engines.decode.address;
        // The first snapshot exists once the engine reports events after a given sequence number.
        while engines.client.load(address, 1).await.expect("a report").cache.next != 1 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        engines.decode.duplicate(once("get /v1/load"));
        let mut reported = 0;
        for after in [5, 6, 7, 8] {
            let Ok(load) = engines.client.load(address, after).await else { continue };
            assert_eq!(load.cache.next, after);
            reported += 1;
        }
        assert_eq!(engines.decode.remaining(), 0, "nothing was answered twice");
        assert_eq!(reported, 3, "only the call that met another one's answer fails");
    });
}
