//! Limits of organisations: buckets, owners and what hosts tell them.

use rstest::rstest;
use std::time::Duration;
use tealcleat::keys::{IncarnationId, NameKey, OrgKey, TimePoint};
use tealcleat::limits::{
    LimitBounds, LimitBucket, LimitLedger, LimitLoan, LimitMeter, LimitReply, LimitRequest,
    LimitShare, OwnerChoice, SilentOwners, choose_owner,
};
use tealcleat::membership::MemberUpdate;
use tealcleat::organisations::{LimitUnit, OrgLimit};

const SHARE: LimitShare = LimitShare { rate: 1000.0, burst: 2000.0, initial: 2000.0 };
const FIRST_HOST: IncarnationId = IncarnationId(1);
const SECOND_HOST: IncarnationId = IncarnationId(2);

/// A moment when hosts are no longer young.
fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + millis)
}

fn org() -> OrgKey {
    OrgKey::of("moonbook")
}

fn ask(used: i64, units: u32) -> LimitRequest {
    LimitRequest { sequence: 1, org: org(), used, units, seen_level: None }
}

#[test]
fn share_divides_over_domains() {
    let limit = OrgLimit { rate: 30_000.0, burst: 30_000.0, unit: LimitUnit::Requests };
    let bounds =
        LimitBounds { window: Duration::from_secs(8), over: 0.1, slack: 3000.0, domains: 3 };
    let share = LimitShare::for_domain(&limit, &bounds);
    // A third of each, with 0.65 of what the bounds tolerate: 0.065 more, and 1,950 units at one time.
    let close = |value: f64, expected: f64| assert!((value - expected).abs() < 1e-6, "{value}");
    close(share.rate, 10_650.0);
    close(share.burst, 11_300.0);
    // A tenth of 0.1 x 9 x 30,000 + 3,000, over three domains.
    close(share.initial, 1000.0);
    let half = share.scaled(10, 20);
    close(half.rate, 5325.0);
    close(half.burst, 5650.0);
    let alone = share.for_host(20);
    close(alone.rate, 532.5);
    close(alone.burst, 0.0);
    // Owners of all domains together, in the worst window, and new ones after a loss of all hosts.
    let window = 3.0 * share.rate.mul_add(8.0, share.burst + share.initial);
    assert!(window <= 0.1f64.mul_add(9.0 * 30_000.0, 9.0 * 30_000.0 + 3000.0));
}

#[test]
fn bucket_fills_up_to_its_burst() {
    let mut bucket = LimitBucket::new(at(0), 0.0);
    assert_eq!(bucket.level(at(500), &SHARE), 500.0);
    assert_eq!(bucket.level(at(9000), &SHARE), 2000.0);
    assert!(bucket.try_take(at(9000), &SHARE, 1500.0));
    assert!(!bucket.try_take(at(9000), &SHARE, 600.0));
    assert_eq!(bucket.wait_for(at(9000), &SHARE, 600.0), Duration::from_millis(100));
}

#[test]
fn bucket_lets_one_large_request_go_below_zero() {
    let mut bucket = LimitBucket::new(at(0), 2000.0);
    assert!(bucket.try_take(at(0), &SHARE, 5000.0));
    assert_eq!(bucket.level(at(0), &SHARE), -3000.0);
    assert!(!bucket.try_take(at(2900), &SHARE, 1.0));
    assert!(bucket.try_take(at(3100), &SHARE, 1.0));
}

#[test]
fn bucket_of_one_host_lets_one_request_at_a_time() {
    let share = SHARE.for_host(10);
    let mut bucket = LimitBucket::new(at(0), 0.0);
    assert!(bucket.try_take(at(0), &share, 200.0));
    assert!(!bucket.try_take(at(1900), &share, 200.0));
    assert!(bucket.try_take(at(2000), &share, 200.0));
}

#[test]
fn ledger_grants_then_refuses_with_a_moment() {
    let mut ledger = LimitLedger::default();
    let first = ledger.receive(at(0), FIRST_HOST, &ask(1500, 1500), &SHARE, true);
    assert_eq!((first.refused_ms, first.level), (None, 500));
    let second = ledger.receive(at(0), SECOND_HOST, &ask(900, 900), &SHARE, true);
    assert_eq!((second.refused_ms, second.level), (Some(400), 500));
    // The refused host did not use them, and says so with its next question.
    let third = ledger.receive(at(400), SECOND_HOST, &ask(900, 900), &SHARE, true);
    assert_eq!((third.refused_ms, third.level), (None, 0));
}

#[rstest]
#[case::answer_lost(&[(1000, 1000), (1000, 0)], 1000)]
#[case::question_lost(&[(0, 0), (600, 0)], 1400)]
#[case::doubled(&[(700, 700), (700, 0), (700, 0)], 1300)]
#[case::given_back(&[(1000, 1000), (0, 0)], 2000)]
#[case::crossed(&[(700, 700), (500, 0), (700, 0)], 1300)]
fn ledger_counts_each_unit_once(#[case] messages: &[(i64, u32)], #[case] expected: i32) {
    let mut ledger = LimitLedger::default();
    let mut level = 0;
    for (used, units) in messages {
        level = ledger.receive(at(0), FIRST_HOST, &ask(*used, *units), &SHARE, true).level;
    }
    assert_eq!(level, expected);
}

#[rstest]
#[case::told(Some(300), false, 300)]
#[case::told_below_zero(Some(-500), true, -500)]
#[case::told_all(Some(2000), false, 2000)]
#[case::settled(None, true, 2000)]
#[case::hosts_came_or_went(None, false, 120)]
fn new_owner_begins_where_the_last_one_was(
    #[case] seen_level: Option<i32>,
    #[case] is_settled: bool,
    #[case] expected: i32,
) {
    let share = LimitShare { initial: 120.0, ..SHARE };
    let mut ledger = LimitLedger::default();
    let ask = LimitRequest { seen_level, ..ask(700, 0) };
    assert_eq!(ledger.receive(at(0), FIRST_HOST, &ask, &share, is_settled).level, expected);
}

/// The first host that asks a new owner saw its predecessor before the others used up what it had left.
#[rstest]
#[case::soon(200, 300)]
#[case::late(700, 2000)]
fn new_owner_learns_from_the_next_hosts(#[case] after_ms: u64, #[case] expected: i32) {
    let still = LimitShare { rate: 0.0, ..SHARE };
    let mut ledger = LimitLedger::default();
    let first = LimitRequest { seen_level: Some(2000), ..ask(0, 0) };
    ledger.receive(at(0), FIRST_HOST, &first, &still, false);
    let second = LimitRequest { seen_level: Some(300), ..ask(0, 0) };
    let answer = ledger.receive(at(after_ms), SECOND_HOST, &second, &still, false);
    assert_eq!(answer.level, expected);
}

#[test]
fn loan_leaves_the_lender_before_it_arrives() {
    let (mut lender, mut borrower) = (LimitLedger::default(), LimitLedger::default());
    lender.receive(at(0), FIRST_HOST, &ask(0, 0), &SHARE, true);
    borrower.receive(at(0), SECOND_HOST, &ask(1800, 1800), &SHARE, true);
    assert!(borrower.wants_loan(at(0), org(), &SHARE));
    let wanted = borrower.request_loans(at(0), org(), &SHARE, 1)[0];
    assert_eq!(wanted.units, 1800);
    let loan = lender.lend(at(0), &wanted, &SHARE).expect("it has some");
    // A lender keeps half of its burst.
    assert_eq!(loan.units, 1000);
    assert_eq!(lender.receive(at(0), FIRST_HOST, &ask(0, 0), &SHARE, true).level, 1000);
    borrower.accept_loan(at(10), &loan, &SHARE);
    assert_eq!(borrower.receive(at(10), SECOND_HOST, &ask(1800, 0), &SHARE, true).level, 1210);
    assert_eq!(lender.lend(at(0), &wanted, &SHARE), None);
    // It asks again only after a pause.
    assert!(!borrower.wants_loan(at(100), org(), &SHARE));
}

#[rstest]
#[case::late(900, &[1], 0)]
#[case::not_asked_for(10, &[9], 0)]
#[case::in_time(10, &[1], 500)]
#[case::doubled(10, &[1, 1], 500)]
#[case::of_two_domains(10, &[2, 1], 1000)]
fn loan_counts_once_when_asked_for(
    #[case] after_ms: u64,
    #[case] sequences: &[u32],
    #[case] gained: i32,
) {
    let mut ledger = LimitLedger::default();
    let still = LimitShare { rate: 0.0, ..SHARE };
    ledger.receive(at(0), FIRST_HOST, &ask(1800, 1800), &still, true);
    assert!(ledger.wants_loan(at(0), org(), &still));
    let wanted = ledger.request_loans(at(0), org(), &still, 2);
    assert_eq!(wanted.iter().map(|ask| ask.units).collect::<Vec<u32>>(), [900, 900]);
    for sequence in sequences {
        let loan = LimitLoan { sequence: *sequence, org: org(), units: 500 };
        ledger.accept_loan(at(after_ms), &loan, &still);
    }
    let level = ledger.receive(at(after_ms), FIRST_HOST, &ask(1800, 0), &still, true).level;
    assert_eq!(level, 200 + gained);
}

/// An organisation far beyond its limit: its second owner grants all that there is. When hosts have come and gone and the
/// first one is asked again, nothing has been saved up there meanwhile.
#[rstest]
#[case::others_owned_it(false, 400)]
#[case::its_own_all_the_time(true, 2_000)]
fn former_owner_begins_anew(#[case] is_owned: bool, #[case] expected: i32) {
    let share = LimitShare { initial: 400.0, ..SHARE };
    let mut ledger = LimitLedger::default();
    ledger.receive(at(0), FIRST_HOST, &ask(2_000, 2_000), &share, true);
    for millis in (250..=8_000).step_by(250) {
        ledger.retain(|_| is_owned || millis == 8_000);
    }
    let answer = ledger.receive(at(8_000), SECOND_HOST, &ask(0, 0), &share, false);
    assert_eq!(answer.level, expected);
}

#[test]
fn lower_limit_drops_what_was_saved_up() {
    let mut ledger = LimitLedger::default();
    ledger.receive(at(0), FIRST_HOST, &ask(0, 0), &SHARE, true);
    let lower = LimitShare { rate: 10.0, burst: 20.0, initial: 20.0 };
    ledger.clamp_levels(at(0), |_| Some(lower));
    assert_eq!(ledger.receive(at(0), FIRST_HOST, &ask(0, 0), &lower, true).level, 20);
}

#[test]
fn meter_tells_sums_and_takes_refusals_back() {
    let mut meter = LimitMeter::default();
    let first = meter.request_units(at(0), org(), 100);
    assert_eq!((first.used, first.units, first.seen_level), (100, 100, None));
    let mut ledger = LimitLedger::default();
    let tight = LimitShare { rate: 0.0, burst: 150.0, initial: 150.0 };
    let answer = ledger.receive(at(0), FIRST_HOST, &first, &tight, true);
    meter.apply_reply(at(0), &answer, 100);
    let second = meter.request_units(at(0), org(), 80);
    assert_eq!((second.used, second.seen_level), (180, Some(50)));
    let answer = ledger.receive(at(0), FIRST_HOST, &second, &tight, true);
    assert!(answer.refused_ms.is_some());
    meter.apply_reply(at(0), &answer, 80);
    meter.release(at(0), org(), 100);
    assert!(meter.unsent(at(100)).is_empty());
    let told = meter.unsent(at(600));
    assert_eq!((told.len(), told[0].used, told[0].units), (1, 0, 0));
    assert!(meter.unsent(at(2000)).is_empty());
}

#[rstest]
#[case::plenty_left(Some(1500), &[(0, true), (10, false), (3100, true)])]
#[case::little_left(Some(900), &[(0, false), (3100, false)])]
#[case::never_heard(None, &[(0, false), (3100, false)])]
#[case::heard_long_ago(Some(1500), &[(9000, false)])]
fn meter_alone_follows_the_last_owner(#[case] level: Option<i32>, #[case] tries: &[(u64, bool)]) {
    let mut meter = LimitMeter::default();
    if let Some(level) = level {
        let ask = meter.request_units(at(0), org(), 0);
        let answer = LimitReply { sequence: ask.sequence, org: org(), refused_ms: None, level };
        meter.apply_reply(at(0), &answer, 0);
    }
    let mut used = 0;
    for (millis, expected) in tries {
        meter.request_units(at(*millis), org(), 300);
        assert_eq!(meter.use_without_owner(at(*millis), org(), 300, &SHARE, 10), *expected);
        used += if *expected { 300 } else { 0 };
    }
    assert_eq!(meter.request_units(at(9500), org(), 0).used, used);
}

fn host(incarnation: u64, domain: &str) -> MemberUpdate {
    let address = format!("127.0.0.1:{}", 7000 + incarnation).parse().expect("an address");
    MemberUpdate::started(IncarnationId(incarnation), address, NameKey::of(domain))
}

#[test]
fn owner_is_the_same_for_all_and_has_no_second() {
    let hosts: Vec<MemberUpdate> = (1..=5).map(|incarnation| host(incarnation, "a")).collect();
    let mut silent = SilentOwners::default();
    let choose = |own: &MemberUpdate, now: TimePoint, silent: &SilentOwners| {
        choose_owner(now, org(), own.incarnation, false, hosts.iter().copied(), silent)
    };
    let owner = hosts.iter().find(|own| choose(own, at(0), &silent) == OwnerChoice::Own);
    let owner = *owner.expect("one of them");
    for own in hosts.iter().filter(|own| **own != owner) {
        assert_eq!(choose(own, at(0), &silent), OwnerChoice::Other(owner));
    }
    // One that does not answer is asked again later, and nobody else meanwhile.
    let other = hosts.iter().find(|own| **own != owner).expect("four of them");
    silent.record(at(0), owner.incarnation);
    assert_eq!(choose(other, at(100), &silent), OwnerChoice::Unknown);
    assert_eq!(choose(other, at(600), &silent), OwnerChoice::Other(owner));
}

#[rstest]
#[case::nobody_met(true, OwnerChoice::Unknown)]
#[case::others_met_elsewhere(false, OwnerChoice::Own)]
fn lone_host_owns_once_it_has_met_others(#[case] is_alone: bool, #[case] expected: OwnerChoice) {
    let own = host(1, "a");
    let silent = SilentOwners::default();
    let hosts = std::iter::once(own);
    assert_eq!(choose_owner(at(0), org(), own.incarnation, is_alone, hosts, &silent), expected);
}
