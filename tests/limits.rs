//! Limits of organisations: token buckets, owners, and the messages between hosts and owners.

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

/// A time at which hosts have been running for a while.
fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + millis)
}

fn org() -> OrgKey {
    OrgKey::of("moonbook")
}

fn request(used: i64, units: u32) -> LimitRequest {
    LimitRequest { sequence: 1, org: org(), used, units, seen_level: None }
}

#[test]
fn share_divides_over_domains() {
    let limit = OrgLimit { rate: 30_000.0, burst: 30_000.0, unit: LimitUnit::Requests };
    let bounds =
        LimitBounds { window: Duration::from_secs(8), over: 0.1, slack: 3000.0, domains: 3 };
    let share = LimitShare::for_domain(&limit, &bounds);
    // One third of the rate and burst, with 0.65 of the tolerance: a factor of 0.065 more, plus 1,950 units of burst.
    let close = |value: f64, expected: f64| assert!((value - expected).abs() < 1e-6, "{value}");
    close(share.rate, 10_650.0);
    close(share.burst, 11_300.0);
    // One tenth of 0.1 x 9 x 30,000 + 3,000, divided by three domains.
    close(share.initial, 1000.0);
    let half = share.scaled(10, 20);
    close(half.rate, 5325.0);
    close(half.burst, 5650.0);
    let alone = share.for_host(20);
    close(alone.rate, 532.5);
    close(alone.burst, 0.0);
    // The worst window of the owners of all domains together, including new owners after a loss of all hosts.
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
fn bucket_level_negative_after_one_large_request() {
    let mut bucket = LimitBucket::new(at(0), 2000.0);
    assert!(bucket.try_take(at(0), &SHARE, 5000.0));
    assert_eq!(bucket.level(at(0), &SHARE), -3000.0);
    assert!(!bucket.try_take(at(2900), &SHARE, 1.0));
    assert!(bucket.try_take(at(3100), &SHARE, 1.0));
}

#[test]
fn bucket_of_one_host_allows_one_request_at_a_time() {
    let share = SHARE.for_host(10);
    let mut bucket = LimitBucket::new(at(0), 0.0);
    assert!(bucket.try_take(at(0), &share, 200.0));
    assert!(!bucket.try_take(at(1900), &share, 200.0));
    assert!(bucket.try_take(at(2000), &share, 200.0));
}

#[test]
fn ledger_refuses_with_a_wait() {
    let mut ledger = LimitLedger::default();
    let first = ledger.receive(at(0), FIRST_HOST, &request(1500, 1500), &SHARE, true);
    assert_eq!((first.refused_ms, first.level), (None, 500));
    let second = ledger.receive(at(0), SECOND_HOST, &request(900, 900), &SHARE, true);
    assert_eq!((second.refused_ms, second.level), (Some(400), 500));
    // The refused host did not use the units, and reports that with its next request.
    let third = ledger.receive(at(400), SECOND_HOST, &request(900, 900), &SHARE, true);
    assert_eq!((third.refused_ms, third.level), (None, 0));
}

#[rstest]
#[case::reply_lost(&[(1000, 1000), (1000, 0)], 1000)]
#[case::request_lost(&[(0, 0), (600, 0)], 1400)]
#[case::duplicated(&[(700, 700), (700, 0), (700, 0)], 1300)]
#[case::released(&[(1000, 1000), (0, 0)], 2000)]
#[case::reordered(&[(700, 700), (500, 0), (700, 0)], 1300)]
fn ledger_counts_each_unit_once(#[case] messages: &[(i64, u32)], #[case] expected: i32) {
    let mut ledger = LimitLedger::default();
    let mut level = 0;
    for (used, units) in messages {
        level = ledger.receive(at(0), FIRST_HOST, &request(*used, *units), &SHARE, true).level;
    }
    assert_eq!(level, expected);
}

#[rstest]
#[case::reported(Some(300), false, 300)]
#[case::reported_negative(Some(-500), true, -500)]
#[case::reported_full(Some(2000), false, 2000)]
#[case::settled(None, true, 2000)]
#[case::hosts_changed(None, false, 120)]
fn new_owner_continues_from_the_last_level(
    #[case] seen_level: Option<i32>,
    #[case] is_settled: bool,
    #[case] expected: i32,
) {
    let share = LimitShare { initial: 120.0, ..SHARE };
    let mut ledger = LimitLedger::default();
    let request = LimitRequest { seen_level, ..request(700, 0) };
    assert_eq!(ledger.receive(at(0), FIRST_HOST, &request, &share, is_settled).level, expected);
}

/// The first host that sends a request to a new owner may have seen a level of the previous owner that other hosts then
/// used up.
#[rstest]
#[case::soon(200, 300)]
#[case::late(700, 2000)]
fn new_owner_adopts_lower_levels_of_other_hosts(#[case] after_ms: u64, #[case] expected: i32) {
    let no_refill = LimitShare { rate: 0.0, ..SHARE };
    let mut ledger = LimitLedger::default();
    let first = LimitRequest { seen_level: Some(2000), ..request(0, 0) };
    ledger.receive(at(0), FIRST_HOST, &first, &no_refill, false);
    let second = LimitRequest { seen_level: Some(300), ..request(0, 0) };
    let answer = ledger.receive(at(after_ms), SECOND_HOST, &second, &no_refill, false);
    assert_eq!(answer.level, expected);
}

#[test]
fn loan_leaves_the_lender_before_it_arrives() {
    let (mut lender, mut borrower) = (LimitLedger::default(), LimitLedger::default());
    lender.receive(at(0), FIRST_HOST, &request(0, 0), &SHARE, true);
    borrower.receive(at(0), SECOND_HOST, &request(1800, 1800), &SHARE, true);
    assert!(borrower.wants_loan(at(0), org(), &SHARE));
    let loan_request = borrower.request_loans(at(0), org(), &SHARE, 1)[0];
    assert_eq!(loan_request.units, 1800);
    let loan = lender.lend(at(0), &loan_request, &SHARE).expect("the lender has spare units");
    // A lender keeps half of its burst.
    assert_eq!(loan.units, 1000);
    assert_eq!(lender.receive(at(0), FIRST_HOST, &request(0, 0), &SHARE, true).level, 1000);
    borrower.accept_loan(at(10), &loan, &SHARE);
    assert_eq!(borrower.receive(at(10), SECOND_HOST, &request(1800, 0), &SHARE, true).level, 1210);
    assert_eq!(lender.lend(at(0), &loan_request, &SHARE), None);
    // It sends the next loan request only after a pause.
    assert!(!borrower.wants_loan(at(100), org(), &SHARE));
}

#[rstest]
#[case::late(900, &[1], 0)]
#[case::not_requested(10, &[9], 0)]
#[case::in_time(10, &[1], 500)]
#[case::duplicated(10, &[1, 1], 500)]
#[case::of_two_domains(10, &[2, 1], 1000)]
fn loan_counts_once_when_requested(
    #[case] after_ms: u64,
    #[case] sequences: &[u32],
    #[case] gained: i32,
) {
    let mut ledger = LimitLedger::default();
    let no_refill = LimitShare { rate: 0.0, ..SHARE };
    ledger.receive(at(0), FIRST_HOST, &request(1800, 1800), &no_refill, true);
    assert!(ledger.wants_loan(at(0), org(), &no_refill));
    let loan_request = ledger.request_loans(at(0), org(), &no_refill, 2);
    assert_eq!(loan_request.iter().map(|request| request.units).collect::<Vec<u32>>(), [900, 900]);
    for sequence in sequences {
        let loan = LimitLoan { sequence: *sequence, org: org(), units: 500 };
        ledger.accept_loan(at(after_ms), &loan, &no_refill);
    }
    let level = ledger.receive(at(after_ms), FIRST_HOST, &request(1800, 0), &no_refill, true).level;
    assert_eq!(level, 200 + gained);
}

/// Guards against units that are granted twice: while a second owner grants the whole share of an organisation that is far
/// beyond its limit, nothing may accumulate at the first owner, which later becomes the owner again.
#[rstest]
#[case::owned_by_another(false, 400)]
#[case::owned_all_the_time(true, 2_000)]
fn former_owner_starts_over(#[case] is_owned: bool, #[case] expected: i32) {
    let share = LimitShare { initial: 400.0, ..SHARE };
    let mut ledger = LimitLedger::default();
    ledger.receive(at(0), FIRST_HOST, &request(2_000, 2_000), &share, true);
    for millis in (250..=8_000).step_by(250) {
        ledger.retain(|_| is_owned || millis == 8_000);
    }
    let answer = ledger.receive(at(8_000), SECOND_HOST, &request(0, 0), &share, false);
    assert_eq!(answer.level, expected);
}

#[test]
fn lower_limit_cuts_the_level() {
    let mut ledger = LimitLedger::default();
    ledger.receive(at(0), FIRST_HOST, &request(0, 0), &SHARE, true);
    let lower = LimitShare { rate: 10.0, burst: 20.0, initial: 20.0 };
    ledger.clamp_levels(at(0), |_| Some(lower));
    assert_eq!(ledger.receive(at(0), FIRST_HOST, &request(0, 0), &lower, true).level, 20);
}

#[test]
fn meter_reports_totals_without_refused_units() {
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
    let reports = meter.unsent(at(600));
    assert_eq!((reports.len(), reports[0].used, reports[0].units), (1, 0, 0));
    assert!(meter.unsent(at(2000)).is_empty());
}

#[rstest]
#[case::plenty_left(Some(1500), &[(0, true), (10, false), (3100, true)])]
#[case::little_left(Some(900), &[(0, false), (3100, false)])]
#[case::no_level_known(None, &[(0, false), (3100, false)])]
#[case::level_outdated(Some(1500), &[(9000, false)])]
fn meter_without_owner_follows_the_last_level(
    #[case] level: Option<i32>,
    #[case] tries: &[(u64, bool)],
) {
    let mut meter = LimitMeter::default();
    if let Some(level) = level {
        let request = meter.request_units(at(0), org(), 0);
        let answer = LimitReply { sequence: request.sequence, org: org(), refused_ms: None, level };
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
fn owner_same_for_all_hosts() {
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
    // An owner that does not answer gets requests again later, and no other host replaces it in the meantime.
    let other = hosts.iter().find(|own| **own != owner).expect("four of them");
    silent.record(at(0), owner.incarnation);
    assert_eq!(choose(other, at(100), &silent), OwnerChoice::Unknown);
    assert_eq!(choose(other, at(600), &silent), OwnerChoice::Other(owner));
}

#[rstest]
#[case::no_host_contacted(true, OwnerChoice::Unknown)]
#[case::hosts_of_other_domains_contacted(false, OwnerChoice::Own)]
fn lone_host_owns_after_contact_with_others(#[case] is_alone: bool, #[case] expected: OwnerChoice) {
    let own = host(1, "a");
    let silent = SilentOwners::default();
    let hosts = std::iter::once(own);
    assert_eq!(choose_owner(at(0), org(), own.incarnation, is_alone, hosts, &silent), expected);
}
