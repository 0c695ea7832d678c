//! What the owner of a server that has a limit grants to the hosts that request permits.

use rstest::rstest;
use tealcleat::keys::IncarnationId;
use tealcleat::server_limits::{
    CallRank, LimitObservation, PermitDecision, PermitPurpose, SendControl, SendHistory,
    SendLedger, ServerLimit,
};

mod limit_common;

use limit_common::{at, limit, server, update};

const URGENT: CallRank = CallRank::new(0, 0);
const USUAL: CallRank = CallRank::new(0, 3);
/// By this time an owner has learned what was sent; before, it grants nothing.
const LEARNED_MS: u64 = 1_000;

/// An owner of a server with a limit, and a host that requests permits from it.
struct TestOwner {
    ledger: SendLedger,
    host: SendControl,
    limit: ServerLimit,
}

impl TestOwner {
    fn new(text: &str) -> Self {
        let mut host = SendControl::default();
        let change = host.limits.apply_answer(at(0), at(0), server(), limit(text));
        assert!(change.is_some());
        Self { ledger: SendLedger::default(), host, limit: limit(text) }
    }

    /// Requests a permit, and records the send at the host if it is granted.
    fn request(&mut self, now: u64, rank: CallRank, purpose: PermitPurpose) -> PermitDecision {
        let request = self.host.permit_request(at(now), server(), rank, purpose);
        let decision = self.ledger.receive(at(now), IncarnationId(1), &request, self.limit);
        if purpose == PermitPurpose::Send && decision == PermitDecision::Granted {
            self.host.log.record(at(now), server());
        }
        decision
    }

    fn is_granted(&mut self, now: u64, rank: CallRank) -> bool {
        self.request(now, rank, PermitPurpose::Send) == PermitDecision::Granted
    }

    /// Number of permits granted, with one request each 20 ms.
    fn granted(&mut self, millis: std::ops::Range<u64>, rank: CallRank) -> usize {
        millis.step_by(20).filter(|now| self.is_granted(*now, rank)).count()
    }
}

#[test]
fn new_owner_learns_before_it_grants() {
    let mut owner = TestOwner::new("5");
    assert_eq!(owner.granted(0..800, USUAL), 0);
    assert!(owner.is_granted(LEARNED_MS, USUAL));
}

#[rstest]
#[case("0.3", 6)]
#[case("0.8", 16)]
#[case("3.3", 66)]
#[case("8", 160)]
fn owner_grants_what_the_limit_allows(#[case] text: &str, #[case] expected: usize) {
    let mut owner = TestOwner::new(text);
    owner.granted(0..LEARNED_MS, USUAL);
    let granted = owner.granted(LEARNED_MS..LEARNED_MS + 20_000, USUAL);
    assert!(granted.abs_diff(expected) <= 2, "{granted} of {expected}");
}

/// Requests that were sent before the limit was named count as soon as it is known.
#[test]
fn owner_counts_what_was_sent_before() {
    let mut owner = TestOwner::new("3.3");
    (0..20).for_each(|step| owner.host.log.record(at(step * 50), server()));
    owner.ledger = SendLedger::default();
    assert_eq!(owner.granted(1_000..1_020, USUAL), 0);
    // The window contains 20 requests; with 3.3 a second it may contain at most 20.5.
    assert_eq!(owner.granted(2_000..3_900, USUAL), 1);
    assert!(owner.granted(4_300..8_000, USUAL) >= 10);
}

/// A new owner learns from the reports of the hosts what was sent before.
#[test]
fn new_owner_counts_what_hosts_sent() {
    let mut owner = TestOwner::new("8");
    let before = owner.granted(0..4_000, USUAL);
    owner.ledger = SendLedger::default();
    let after = owner.granted(4_000..5_000, USUAL);
    // Four seconds of the limit, with its tolerance and the five requests of slack.
    assert!(before + after <= 53, "{before} and {after}");
    assert!(after <= 8, "{after} within a second");
}

/// While an owner is suspended, another host may grant permits that the owner does not know of.
#[test]
fn owner_that_was_suspended_learns_again() {
    let mut owner = TestOwner::new("5");
    for now in (0..3_000).step_by(200) {
        owner.ledger.retain(at(now), |_| true);
        owner.granted(now..now + 200, USUAL);
    }
    assert!(owner.is_granted(3_200, USUAL));
    owner.ledger.retain(at(8_000), |_| true);
    assert!(!owner.is_granted(8_010, USUAL));
    assert!(owner.is_granted(9_000, USUAL));
}

#[test]
fn repeated_request_granted_once() {
    let mut owner = TestOwner::new("5");
    owner.granted(0..LEARNED_MS, USUAL);
    let request = owner.host.permit_request(at(5_000), server(), USUAL, PermitPurpose::Send);
    let decide = |owner: &mut TestOwner| {
        owner.ledger.receive(at(5_000), IncarnationId(1), &request, limit("5"))
    };
    assert_eq!(decide(&mut owner), PermitDecision::Granted);
    assert_eq!(decide(&mut owner), PermitDecision::Granted);
    // The bucket contained two and a quarter permits. One is left, since the repeated request took none.
    assert!(owner.is_granted(5_000, USUAL));
    assert!(!owner.is_granted(5_000, USUAL));
}

#[test]
fn unsent_request_releases_its_permit() {
    let mut owner = TestOwner::new("1");
    owner.granted(0..LEARNED_MS, USUAL);
    assert!(owner.is_granted(2_000, USUAL));
    assert!(!owner.is_granted(2_010, USUAL));
    owner.host.log.undo(at(2_000), server());
    owner.request(2_020, USUAL, PermitPurpose::Release);
    assert!(owner.is_granted(2_030, USUAL));
}

#[test]
fn lowered_limit_applies_at_once() {
    let mut owner = TestOwner::new("8");
    owner.granted(0..8_000, USUAL);
    owner.limit = limit("1");
    let granted = owner.granted(8_000..16_000, USUAL);
    assert!(granted <= 8, "{granted}");
}

/// Urgent requests take precedence; the others keep a quarter of the limit.
#[test]
fn scarce_permits_granted_by_rank() {
    let mut owner = TestOwner::new("4");
    owner.granted(0..LEARNED_MS, USUAL);
    let (mut urgent, mut usual) = (0, 0);
    for now in (LEARNED_MS..LEARNED_MS + 20_000).step_by(20) {
        usual += usize::from(owner.is_granted(now, USUAL));
        urgent += usize::from(owner.is_granted(now + 10, URGENT));
    }
    assert!(usual >= 16, "{usual} usual ones");
    assert!(urgent >= 3 * usual - 6, "{urgent} urgent ones, {usual} usual ones");
    assert!(urgent + usual >= 76, "{urgent} and {usual}");
}

/// Callers that are refused at the same time are told to retry one after the other.
#[test]
fn callers_retry_at_the_rate_of_the_limit() {
    let mut owner = TestOwner::new("2");
    owner.granted(0..LEARNED_MS + 1_000, USUAL);
    let waits: Vec<u32> = (0..4)
        .map(|_| match owner.request(2_000, USUAL, PermitPurpose::RetryAfter) {
            PermitDecision::Refused { wait_ms } => wait_ms,
            PermitDecision::Granted => panic!("a refused caller is told when to retry"),
        })
        .collect();
    assert!(waits[0] <= 500, "{waits:?}");
    assert!(waits.windows(2).all(|pair| pair[1] - pair[0] == 500), "{waits:?}");
    let last = (0..60).map(|_| owner.request(2_000, USUAL, PermitPurpose::RetryAfter)).last();
    assert_eq!(last, Some(PermitDecision::Refused { wait_ms: 10_000 }));
}

#[test]
fn host_other_than_the_owner_grants_nothing() {
    let mut host = TestOwner::new("5").host;
    let request = host.permit_request(at(5_000), server(), USUAL, PermitPurpose::Send);
    let mut other_host = SendControl::default();
    let (reply, change) = other_host.receive(at(5_000), IncarnationId(1), &request, false);
    assert!(matches!(reply.decision, PermitDecision::Refused { .. }));
    assert!(change.is_some(), "it learns of the limit");
    assert!(!host.apply_reply(at(5_001), &request, Some(&reply)));
    assert!(!host.is_open(at(5_050), server(), USUAL));
    assert!(host.is_open(at(5_150), server(), USUAL));
}

#[test]
fn refusal_of_a_usual_request_leaves_the_server_open_for_urgent_ones() {
    let mut host = TestOwner::new("5").host;
    let request = host.permit_request(at(5_000), server(), USUAL, PermitPurpose::Send);
    assert!(!host.apply_reply(at(5_000), &request, None));
    assert!(!host.is_open(at(5_001), server(), USUAL));
    assert!(host.is_open(at(5_001), server(), URGENT));
}

/// A host that requests a permit from one that knows that the limit was withdrawn may send, and learns of the withdrawal.
#[test]
fn withdrawn_limit_granted_by_host_that_knows() {
    let mut host = TestOwner::new("5").host;
    let mut other_host = SendControl::default();
    let known = update(1, Some("5"));
    for step in 0..8 {
        other_host
            .apply_observation(at(step), &LimitObservation { update: known, is_named: false });
    }
    let request = host.permit_request(at(10), server(), USUAL, PermitPurpose::Send);
    let (reply, _) = other_host.receive(at(10), IncarnationId(1), &request, false);
    assert_eq!(reply.decision, PermitDecision::Granted);
    assert!(host.apply_reply(at(11), &request, Some(&reply)));
    assert_eq!(host.limits.limit(server()), None);
}

#[test]
fn history_of_a_busy_server_bounded() {
    let mut host = TestOwner::new("5").host;
    (0..200_000).for_each(|step| host.log.record(at(step / 20), server()));
    let SendHistory(points) = host.log.history(at(10_000), server());
    assert!(points.len() <= 100, "{} points", points.len());
    let sent: u32 = points.iter().map(|point| u32::from(point.count)).sum();
    assert!(sent.abs_diff(100_000) <= 1_000, "{sent}");
}
