//! Units that accumulate at an owner are valid only if it has been the owner without interruption.

use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tealcleat::keys::{IncarnationId, NameKey, OrgKey, TimePoint};
use tealcleat::limits::{
    LimitLedger, LimitRequest, LimitShare, OwnerChoice, OwnerTerm, SilentOwners, choose_owner,
    has_owned,
};
use tealcleat::membership::{MemberState, MemberTable, MemberUpdate};
use tealcleat::retries::{RetryBounds, RetryPools, RetryRequest, RetryShare};

const SHARE: LimitShare = LimitShare { rate: 1000.0, burst: 2000.0, initial: 400.0 };
const OTHER_HOST: IncarnationId = IncarnationId(77);
const SERVICE: NameKey = NameKey(1);
/// Interval at which an owner checks its ownership.
const CHECK_MS: usize = 250;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

fn org() -> OrgKey {
    OrgKey::of("moonbook")
}

fn request(units: u32) -> LimitRequest {
    LimitRequest { sequence: 1, org: org(), used: i64::from(units), units, seen_level: None }
}

/// An owner that granted its whole burst, and has checked its ownership for two seconds since then.
fn busy_ledger() -> LimitLedger {
    let mut ledger = LimitLedger::default();
    ledger.check_ownership(at(0), |_| true);
    ledger.receive(at(0), OTHER_HOST, &request(2000), &SHARE, true);
    for millis in (250..=2000).step_by(CHECK_MS) {
        ledger.check_ownership(at(millis), |_| true);
    }
    ledger
}

/// Guards against an owner that resumes from a suspension with full accounts while another one granted the same units.
#[rstest]
#[case::request_before_check(false)]
#[case::check_before_request(true)]
fn suspended_owner_of_limits_starts_over(#[case] checks_first: bool) {
    let mut ledger = busy_ledger();
    if checks_first {
        ledger.check_ownership(at(9000), |_| true);
    }
    let answer = ledger.receive(at(9010), OTHER_HOST, &request(0), &SHARE, false);
    assert_eq!(answer.level, 400);
    let used = ledger.receive(at(9010), OTHER_HOST, &request(400), &SHARE, false);
    assert_eq!((used.refused_ms, used.level), (None, 0), "it starts over only once");
    let report = LimitRequest { units: 0, ..request(400) };
    assert_eq!(ledger.receive(at(9010), OTHER_HOST, &report, &SHARE, false).level, 0);
    assert!(!ledger.term().lasts_for(at(9010), Duration::from_secs(8)));
}

#[test]
fn owner_of_limits_keeps_its_level() {
    let mut ledger = busy_ledger();
    assert!(ledger.term().lasts_for(at(2000), Duration::from_secs(8)));
    assert_eq!(ledger.receive(at(2000), OTHER_HOST, &request(0), &SHARE, false).level, 2000);
}

fn retry_share() -> RetryShare {
    let bounds =
        RetryBounds { ratio: 0.2, slack: 80.0, window: Duration::from_secs(10), domains: 1 };
    RetryShare::for_domain(&bounds, 4, 4)
}

fn granted(pools: &mut RetryPools, now: TimePoint) -> usize {
    let request = |sequence| RetryRequest { sequence, service: SERVICE, count: 1 };
    (0..100)
        .filter(|sequence| pools.receive(now, &request(*sequence), &retry_share(), false))
        .count()
}

/// Guards against retry pools that refill while another host grants from them, or while their owner is suspended.
#[rstest]
#[case::owned_all_the_time(true, CHECK_MS, 20)]
#[case::owned_by_another(false, CHECK_MS, 0)]
#[case::suspended(true, 20_000, 0)]
fn pool_of_a_former_owner_is_empty(
    #[case] is_owned: bool,
    #[case] check_ms: usize,
    #[case] expected: usize,
) {
    let mut pools = RetryPools::default();
    granted(&mut pools, at(0));
    for millis in (0..=20_000).step_by(check_ms) {
        // At the end the host is the owner again.
        pools.check_ownership(at(millis), |_| is_owned || millis == 20_000);
    }
    assert_eq!(granted(&mut pools, at(20_000)), expected);
}

fn host(number: u16) -> MemberUpdate {
    let address = SocketAddr::from(([127, 0, 0, 1], 7000 + number));
    MemberUpdate::started(IncarnationId(number.into()), address, NameKey::of("a"))
}

/// A table of six hosts whose own host is the first or the last choice as the owner of the organisation.
fn table(is_first: bool) -> MemberTable {
    let hosts: Vec<MemberUpdate> = (1..=6).map(host).collect();
    let silent = SilentOwners::default();
    let owns = |own: &MemberUpdate, hosts: &[MemberUpdate]| {
        let hosts = hosts.iter().copied();
        choose_owner(at(0), org(), own.incarnation, false, hosts, &silent) == OwnerChoice::Own
    };
    let is_chosen = |own: &&MemberUpdate| {
        if is_first {
            return owns(own, &hosts);
        }
        hosts.iter().all(|other| other == *own || !owns(own, &[**own, *other]))
    };
    let own = *hosts.iter().find(is_chosen).expect("one host matches");
    let others: Vec<MemberUpdate> = hosts.into_iter().filter(|host| *host != own).collect();
    let mut table = MemberTable::new(own, Vec::new(), 7);
    table.merge_all(at(0), &others);
    table
}

fn is_owner_since(table: &MemberTable, since: TimePoint) -> bool {
    !table.was_declared_dead(since)
        && has_owned(org(), table.own().incarnation, table.records(), since)
}

fn dead(table: &MemberTable) -> Vec<MemberUpdate> {
    let others = table.records().map(|record| record.update);
    others.map(|update| MemberUpdate { state: MemberState::Dead, ..update }).collect()
}

#[rstest]
#[case::first_choice(true, true)]
#[case::last_choice(false, false)]
fn owner_alone_has_owned(#[case] is_first: bool, #[case] expected: bool) {
    assert_eq!(is_owner_since(&table(is_first), at(0)), expected);
}

/// Guards against an account that is kept although its host briefly lost the ownership between two checks.
#[test]
fn ownership_regained_between_two_checks_is_new() {
    let mut table = table(false);
    let dead = dead(&table);
    table.merge_all(at(5000), &dead);
    assert!(!is_owner_since(&table, at(4900)), "another host was the owner until 5.0 s");
    assert!(is_owner_since(&table, at(5000)));
    // One of the hosts returns and dies again before the next check.
    let again = MemberUpdate { state: MemberState::Alive, version: 9, ..dead[0] };
    table.merge_all(at(6000), &[again]);
    table.merge_all(at(6100), &[MemberUpdate { state: MemberState::Dead, ..again }]);
    assert!(!is_owner_since(&table, at(5900)));
    assert!(is_owner_since(&table, at(6100)));
}

/// Guards against accounts that are kept by an owner which other hosts declared dead in the meantime.
#[test]
fn owner_declared_dead_starts_a_new_term() {
    let mut table = table(true);
    assert!(table.is_settled(at(9000), Duration::from_secs(8)));
    let false_death = MemberUpdate { state: MemberState::Dead, ..table.own() };
    table.merge_all(at(9000), &[false_death]);
    assert!(!is_owner_since(&table, at(8900)));
    assert!(!table.is_settled(at(9100), Duration::from_secs(8)));
    assert!(is_owner_since(&table, at(9000)));
    assert!(table.is_settled(at(17_000), Duration::from_secs(8)));
}

#[test]
fn owner_term_ends_with_a_gap() {
    let mut term = OwnerTerm::default();
    assert!(term.renew(at(0)) && term.renew(at(250)) && term.renew(at(1000)));
    assert!(term.lasts_for(at(1000), Duration::from_secs(8)), "there was no gap");
    assert!(term.is_broken(at(1900)));
    assert!(!term.renew(at(1900)) && term.renew(at(2150)));
    assert!(!term.lasts_for(at(2150), Duration::from_secs(1)));
    for millis in (2400..=3000).step_by(CHECK_MS) {
        assert!(term.renew(at(millis)));
    }
    assert!(term.lasts_for(at(3000), Duration::from_secs(1)));
}
