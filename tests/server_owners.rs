//! What the owner of a server that has a limit grants to the hosts that ask it.

use rstest::rstest;
use tealcleat::keys::IncarnationId;
use tealcleat::server_limits::{
    CallRank, LimitObservation, PermitDecision, PermitPurpose, SendControl, SendHistory,
    SendLedger, ServerLimit,
};

mod limit_common;

use limit_common::{at, limit, news, server};

const URGENT: CallRank = CallRank::new(0, 0);
const USUAL: CallRank = CallRank::new(0, 3);
/// Owners grant nothing before they could hear what was sent.
const LEARNED_MS: u64 = 1_000;

/// An owner that knows of a limit, and hosts that ask it.
struct AskedOwner {
    desk: SendLedger,
    host: SendControl,
    limit: ServerLimit,
}

impl AskedOwner {
    fn new(text: &str) -> Self {
        let mut host = SendControl::default();
        let change = host.limits.apply_answer(at(0), at(0), server(), limit(text));
        assert!(change.is_some());
        Self { desk: SendLedger::default(), host, limit: limit(text) }
    }

    /// The decision on a question, which the host adopts.
    fn ask(&mut self, now: u64, rank: CallRank, purpose: PermitPurpose) -> PermitDecision {
        let ask = self.host.permit_request(at(now), server(), rank, purpose);
        let decision = self.desk.receive(at(now), IncarnationId(1), &ask, self.limit);
        if purpose == PermitPurpose::Send && decision == PermitDecision::Granted {
            self.host.log.record(at(now), server());
        }
        decision
    }

    fn is_granted(&mut self, now: u64, rank: CallRank) -> bool {
        self.ask(now, rank, PermitPurpose::Send) == PermitDecision::Granted
    }

    /// Requests granted of those asked for each 20 ms.
    fn granted(&mut self, millis: std::ops::Range<u64>, rank: CallRank) -> usize {
        millis.step_by(20).filter(|now| self.is_granted(*now, rank)).count()
    }
}

#[test]
fn new_owner_learns_before_it_grants() {
    let mut owner = AskedOwner::new("5");
    assert_eq!(owner.granted(0..800, USUAL), 0);
    assert!(owner.is_granted(LEARNED_MS, USUAL));
}

#[rstest]
#[case("0.3", 6)]
#[case("0.8", 16)]
#[case("3.3", 66)]
#[case("8", 160)]
fn owner_grants_what_the_limit_allows(#[case] text: &str, #[case] expected: usize) {
    let mut owner = AskedOwner::new(text);
    owner.granted(0..LEARNED_MS, USUAL);
    let granted = owner.granted(LEARNED_MS..LEARNED_MS + 20_000, USUAL);
    assert!(granted.abs_diff(expected) <= 2, "{granted} of {expected}");
}

/// What was sent before the limit was named counts from its first moment.
#[test]
fn owner_counts_what_was_sent_before() {
    let mut owner = AskedOwner::new("3.3");
    (0..20).for_each(|place| owner.host.log.record(at(place * 50), server()));
    owner.desk = SendLedger::default();
    assert_eq!(owner.granted(1_000..1_020, USUAL), 0);
    // 20 in the window; with 3.3 a second 20.5 are the most that it may hold.
    assert_eq!(owner.granted(2_000..3_900, USUAL), 1);
    assert!(owner.granted(4_300..8_000, USUAL) >= 10);
}

/// An owner that knows nothing of the limit's past hears it from those that sent.
#[test]
fn new_owner_goes_on_from_what_hosts_sent() {
    let mut owner = AskedOwner::new("8");
    let before = owner.granted(0..4_000, USUAL);
    owner.desk = SendLedger::default();
    let after = owner.granted(4_000..5_000, USUAL);
    // Four seconds of the limit, its tolerance and the five requests of slack.
    assert!(before + after <= 53, "{before} and {after}");
    assert!(after <= 8, "{after} within a second");
}

/// Another host has granted meanwhile what this one does not know of.
#[test]
fn owner_that_was_suspended_learns_again() {
    let mut owner = AskedOwner::new("5");
    for now in (0..3_000).step_by(200) {
        owner.desk.retain(at(now), |_| true);
        owner.granted(now..now + 200, USUAL);
    }
    assert!(owner.is_granted(3_200, USUAL));
    owner.desk.retain(at(8_000), |_| true);
    assert!(!owner.is_granted(8_010, USUAL));
    assert!(owner.is_granted(9_000, USUAL));
}

#[test]
fn question_asked_twice_is_granted_once() {
    let mut owner = AskedOwner::new("5");
    owner.granted(0..LEARNED_MS, USUAL);
    let ask = owner.host.permit_request(at(5_000), server(), USUAL, PermitPurpose::Send);
    let decide =
        |owner: &mut AskedOwner| owner.desk.receive(at(5_000), IncarnationId(1), &ask, limit("5"));
    assert_eq!(decide(&mut owner), PermitDecision::Granted);
    assert_eq!(decide(&mut owner), PermitDecision::Granted);
    // The bucket held two and a quarter: one is left, since none was taken twice.
    assert!(owner.is_granted(5_000, USUAL));
    assert!(!owner.is_granted(5_000, USUAL));
}

#[test]
fn request_that_did_not_go_is_given_back() {
    let mut owner = AskedOwner::new("1");
    owner.granted(0..LEARNED_MS, USUAL);
    assert!(owner.is_granted(2_000, USUAL));
    assert!(!owner.is_granted(2_010, USUAL));
    owner.host.log.undo(at(2_000), server());
    owner.ask(2_020, USUAL, PermitPurpose::Release);
    assert!(owner.is_granted(2_030, USUAL));
}

#[test]
fn lowered_limit_holds_at_once() {
    let mut owner = AskedOwner::new("8");
    owner.granted(0..8_000, USUAL);
    owner.limit = limit("1");
    let granted = owner.granted(8_000..16_000, USUAL);
    assert!(granted <= 8, "{granted}");
}

/// Urgent requests go first; the others keep a quarter.
#[test]
fn scarce_requests_go_by_rank() {
    let mut owner = AskedOwner::new("4");
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

/// Callers that are refused together are told to come back one after the other.
#[test]
fn callers_come_back_as_the_limit_lets_them_in() {
    let mut owner = AskedOwner::new("2");
    owner.granted(0..LEARNED_MS + 1_000, USUAL);
    let waits: Vec<u32> = (0..4)
        .map(|_| match owner.ask(2_000, USUAL, PermitPurpose::RetryAfter) {
            PermitDecision::Refused { wait_ms } => wait_ms,
            PermitDecision::Granted => panic!("a caller that comes back is told when"),
        })
        .collect();
    assert!(waits[0] <= 500, "{waits:?}");
    assert!(waits.windows(2).all(|pair| pair[1] - pair[0] == 500), "{waits:?}");
    let last = (0..60).map(|_| owner.ask(2_000, USUAL, PermitPurpose::RetryAfter)).last();
    assert_eq!(last, Some(PermitDecision::Refused { wait_ms: 10_000 }));
}

#[test]
fn host_that_is_not_the_owner_grants_nothing() {
    let mut asking = AskedOwner::new("5").host;
    let ask = asking.permit_request(at(5_000), server(), USUAL, PermitPurpose::Send);
    let mut other = SendControl::default();
    let (reply, change) = other.receive(at(5_000), IncarnationId(1), &ask, false);
    assert!(matches!(reply.decision, PermitDecision::Refused { .. }));
    assert!(change.is_some(), "it learns of the limit");
    assert!(!asking.apply_reply(at(5_001), &ask, Some(&reply)));
    assert!(!asking.is_open(at(5_050), server(), USUAL));
    assert!(asking.is_open(at(5_150), server(), USUAL));
}

#[test]
fn refusal_of_a_usual_request_leaves_the_server_open_for_urgent_ones() {
    let mut asking = AskedOwner::new("5").host;
    let ask = asking.permit_request(at(5_000), server(), USUAL, PermitPurpose::Send);
    assert!(!asking.apply_reply(at(5_000), &ask, None));
    assert!(!asking.is_open(at(5_001), server(), USUAL));
    assert!(asking.is_open(at(5_001), server(), URGENT));
}

/// Whoever asks a host that knows of the end of a limit may send, and learns of it.
#[test]
fn taken_back_limit_is_granted_by_whoever_knows() {
    let mut asking = AskedOwner::new("5").host;
    let mut other = SendControl::default();
    let told = news(1, Some("5"));
    for place in 0..8 {
        other.apply_observation(at(place), &LimitObservation { update: told, is_named: false });
    }
    let ask = asking.permit_request(at(10), server(), USUAL, PermitPurpose::Send);
    let (reply, _) = other.receive(at(10), IncarnationId(1), &ask, false);
    assert_eq!(reply.decision, PermitDecision::Granted);
    assert!(asking.apply_reply(at(11), &ask, Some(&reply)));
    assert_eq!(asking.limits.limit(server()), None);
}

#[test]
fn trail_of_a_busy_server_is_bounded() {
    let mut host = AskedOwner::new("5").host;
    (0..200_000).for_each(|place| host.log.record(at(place / 20), server()));
    let SendHistory(points) = host.log.history(at(10_000), server());
    assert!(points.len() <= 100, "{} points", points.len());
    let sent: u32 = points.iter().map(|point| u32::from(point.count)).sum();
    assert!(sent.abs_diff(100_000) <= 1_000, "{sent}");
}
