//! Limits of organisations: buckets, owners and what hosts tell them.

use rstest::rstest;
use std::time::Duration;
use tealcleat::keys::{IncarnationId, NameKey, OrgKey, TimePoint};
use tealcleat::limits::{
    LimitAsk, LimitBounds, LimitBucket, LimitLedger, LimitLoan, LimitMeter, LimitShare,
    OwnerChoice, SilentOwners, choose_owner,
};
use tealcleat::membership::MemberUpdate;
use tealcleat::organisations::{LimitUnit, OrgLimit};

const SHARE: LimitShare = LimitShare { rate: 1000.0, burst: 2000.0, first: 2000.0 };
const FIRST_HOST: IncarnationId = IncarnationId(1);
const SECOND_HOST: IncarnationId = IncarnationId(2);

/// A moment when hosts are no longer young.
fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + millis)
}

fn org() -> OrgKey {
    OrgKey::of("moonbook")
}

fn ask(used: i64, units: u32) -> LimitAsk {
    LimitAsk { sequence: 1, org: org(), used, units, seen_level: None }
}

#[test]
fn share_divides_over_domains() {
    let limit = OrgLimit { rate: 30_000.0, burst: 30_000.0, unit: LimitUnit::Requests };
    let bounds =
        LimitBounds { window: Duration::from_secs(8), over: 0.1, slack: 3000.0, domains: 3 };
    let share = LimitShare::of_domain(&limit, &bounds);
    assert_eq!((share.rate, share.burst), (10_000.0, 10_000.0));
    // Half of 0.1 x 9 x 30,000 + 3,000, over three domains.
    assert_eq!(share.first, 5000.0);
    let half = share.part(10, 20);
    assert_eq!((half.rate, half.burst, half.first), (5000.0, 5000.0, 2500.0));
    let alone = share.of_host(20);
    assert_eq!((alone.rate, alone.burst), (500.0, 0.0));
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
    let share = SHARE.of_host(10);
    let mut bucket = LimitBucket::new(at(0), 0.0);
    assert!(bucket.try_take(at(0), &share, 200.0));
    assert!(!bucket.try_take(at(1900), &share, 200.0));
    assert!(bucket.try_take(at(2000), &share, 200.0));
}

#[test]
fn ledger_grants_then_refuses_with_a_moment() {
    let mut ledger = LimitLedger::default();
    let first = ledger.receive(at(0), FIRST_HOST, &ask(1500, 1500), &SHARE);
    assert_eq!((first.refused_ms, first.level), (None, 500));
    let second = ledger.receive(at(0), SECOND_HOST, &ask(900, 900), &SHARE);
    assert_eq!((second.refused_ms, second.level), (Some(400), 500));
    // The refused host did not use them, and says so with its next question.
    let third = ledger.receive(at(400), SECOND_HOST, &ask(900, 900), &SHARE);
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
        level = ledger.receive(at(0), FIRST_HOST, &ask(*used, *units), &SHARE).level;
    }
    assert_eq!(level, expected);
}

#[rstest]
#[case::told(10_000, Some(300), 300)]
#[case::told_below_zero(10_000, Some(-500), -500)]
#[case::not_told(10_000, None, 1200)]
#[case::told_more_than_it_may(10_000, Some(2000), 1200)]
#[case::all_start_together(500, None, 300)]
fn new_owner_begins_where_the_last_one_was(
    #[case] age_ms: u64,
    #[case] seen_level: Option<i32>,
    #[case] expected: i32,
) {
    let share = LimitShare { first: 1200.0, ..SHARE };
    let mut ledger = LimitLedger::default();
    let ask = LimitAsk { seen_level, ..ask(700, 0) };
    let answer = ledger.receive(TimePoint::from_millis(age_ms), FIRST_HOST, &ask, &share);
    assert_eq!(answer.level, expected);
}

#[test]
fn loan_leaves_the_lender_before_it_arrives() {
    let (mut lender, mut borrower) = (LimitLedger::default(), LimitLedger::default());
    lender.receive(at(0), FIRST_HOST, &ask(0, 0), &SHARE);
    borrower.receive(at(0), SECOND_HOST, &ask(1800, 1800), &SHARE);
    let wanted = borrower.loan_wanted(at(0), org(), &SHARE).expect("it is short");
    assert_eq!(wanted.units, 1800);
    let loan = lender.lend(at(0), &wanted, &SHARE).expect("it has some");
    // A lender keeps half of its burst.
    assert_eq!(loan.units, 1000);
    assert_eq!(lender.receive(at(0), FIRST_HOST, &ask(0, 0), &SHARE).level, 1000);
    borrower.borrow(at(10), &loan, &SHARE);
    assert_eq!(borrower.receive(at(10), SECOND_HOST, &ask(1800, 0), &SHARE).level, 1210);
    assert_eq!(lender.lend(at(0), &wanted, &SHARE), None);
    // It asks again only after a pause.
    assert_eq!(borrower.loan_wanted(at(100), org(), &SHARE), None);
}

#[rstest]
#[case::late(900, 1, 0)]
#[case::not_asked_for(10, 9, 0)]
#[case::in_time(10, 1, 500)]
fn loan_counts_only_when_asked_for(
    #[case] after_ms: u64,
    #[case] sequence: u32,
    #[case] gained: i32,
) {
    let mut ledger = LimitLedger::default();
    let still = LimitShare { rate: 0.0, ..SHARE };
    ledger.receive(at(0), FIRST_HOST, &ask(1800, 1800), &still);
    ledger.loan_wanted(at(0), org(), &still).expect("it is short");
    let loan = LimitLoan { sequence, org: org(), units: 500 };
    ledger.borrow(at(after_ms), &loan, &still);
    let level = ledger.receive(at(after_ms), FIRST_HOST, &ask(1800, 0), &still).level;
    assert_eq!(level, 200 + gained);
}

#[test]
fn lower_limit_drops_what_was_saved_up() {
    let mut ledger = LimitLedger::default();
    ledger.receive(at(0), FIRST_HOST, &ask(0, 0), &SHARE);
    let lower = LimitShare { rate: 10.0, burst: 20.0, first: 20.0 };
    ledger.cut(at(0), |_| Some(lower));
    assert_eq!(ledger.receive(at(0), FIRST_HOST, &ask(0, 0), &lower).level, 20);
}

#[test]
fn meter_tells_sums_and_takes_refusals_back() {
    let mut meter = LimitMeter::default();
    let first = meter.ask(at(0), org(), 100);
    assert_eq!((first.used, first.units, first.seen_level), (100, 100, None));
    let mut ledger = LimitLedger::default();
    let tight = LimitShare { rate: 0.0, burst: 150.0, first: 150.0 };
    let answer = ledger.receive(at(0), FIRST_HOST, &first, &tight);
    meter.hear(at(0), &answer, 100);
    let second = meter.ask(at(0), org(), 80);
    assert_eq!((second.used, second.seen_level), (180, Some(50)));
    let answer = ledger.receive(at(0), FIRST_HOST, &second, &tight);
    assert!(answer.refused_ms.is_some());
    meter.hear(at(0), &answer, 80);
    meter.give_back(at(0), org(), 100);
    assert!(meter.untold(at(100)).is_empty());
    let told = meter.untold(at(600));
    assert_eq!((told.len(), told[0].used, told[0].units), (1, 0, 0));
    assert!(meter.untold(at(2000)).is_empty());
}

#[test]
fn meter_alone_uses_its_own_part() {
    let mut meter = LimitMeter::default();
    let share = SHARE.of_host(10);
    meter.ask(at(0), org(), 300);
    assert!(meter.use_alone(at(0), org(), 300, &share));
    meter.ask(at(10), org(), 300);
    assert!(!meter.use_alone(at(10), org(), 300, &share));
    assert_eq!(meter.untold(at(600))[0].used, 300);
}

fn host(incarnation: u64, domain: &str) -> MemberUpdate {
    let address = format!("127.0.0.1:{}", 7000 + incarnation).parse().expect("an address");
    MemberUpdate::started(IncarnationId(incarnation), address, NameKey::of(domain))
}

#[test]
fn owner_is_the_same_for_all_and_passes_on_silence() {
    let hosts: Vec<MemberUpdate> = (1..=5).map(|incarnation| host(incarnation, "a")).collect();
    let domain = NameKey::of("a");
    let mut silent = SilentOwners::default();
    let choose = |own: &MemberUpdate, silent: &SilentOwners| {
        let choice = choose_owner(at(0), org(), domain, *own, hosts.iter().copied(), silent);
        match choice {
            OwnerChoice::Own => own.incarnation,
            OwnerChoice::Other(owner) => owner.incarnation,
            OwnerChoice::Unknown => panic!("there are hosts"),
        }
    };
    let owner = choose(&hosts[0], &silent);
    assert!(hosts.iter().all(|own| choose(own, &silent) == owner));
    silent.note(at(0), owner);
    assert_ne!(choose(&hosts[0], &silent), owner);
}

#[rstest]
#[case::young(500, OwnerChoice::Unknown)]
#[case::old(5000, OwnerChoice::Own)]
fn lone_host_waits_before_it_owns(#[case] age_ms: u64, #[case] expected: OwnerChoice) {
    let own = host(1, "a");
    let now = TimePoint::from_millis(age_ms);
    let hosts = std::iter::once(own);
    let silent = SilentOwners::default();
    assert_eq!(choose_owner(now, org(), NameKey::of("a"), own, hosts, &silent), expected);
}
