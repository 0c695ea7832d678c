//! One host's decisions on who gets decode memory while it is short, from its own figures and those of others.

use rstest::rstest;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tealcleat::admission::{
    AdmissionControl, AdmissionDecision, AdmissionRequest, DecodePool, OrgPressure, PressureScope,
    PressureUpdate, RankPressure, SearchOutcome, ServicePressure, WeightedDemand, fair_share,
    reserve_order,
};
use tealcleat::keys::{IncarnationId, NameKey, TimePoint};

mod admission_common;

use admission_common::admission_cluster::decode_pool;
use admission_common::{LESS_URGENT, SERVERS, SERVICE, URGENT};

fn request(rank: u8, draw: f64) -> AdmissionRequest {
    AdmissionRequest { rank, org: None, tokens: 4000, draw }
}

/// Figures of a host whose searches find no memory half of the time.
fn shortage(from: u64, version: u64) -> PressureUpdate {
    let rank = |rank, running| RankPressure {
        rank,
        granted: 10,
        refused: 10,
        running,
        tokens: running * 4000,
        unmet_tokens: 40_000,
        ..RankPressure::default()
    };
    PressureUpdate {
        from: IncarnationId(from),
        version,
        scope: PressureScope::Host,
        services: vec![ServicePressure {
            service: SERVICE,
            ranks: vec![rank(URGENT, 20), rank(LESS_URGENT, 230)],
        }],
    }
}

fn small_pool() -> DecodePool {
    DecodePool { host_count: 2, org_weights: HashMap::new(), ..decode_pool() }
}

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn reserved(decision: AdmissionDecision) -> usize {
    match decision {
        AdmissionDecision::Search(parts) => parts.without.len(),
        _ => 0,
    }
}

#[test]
fn parts_of_the_ranks_match() {
    let (mut control, pool) = (AdmissionControl::default(), small_pool());
    control.apply(at(0), shortage(1, 1));
    let urgent = control.decide(at(1), &pool, &request(URGENT, 0.99));
    let AdmissionDecision::Search(urgent) = urgent else { panic!("{urgent:?}") };
    assert!(urgent.is_urgent && urgent.without.is_empty());
    let other = control.decide(at(1), &pool, &request(LESS_URGENT, 0.0));
    let AdmissionDecision::Search(other) = other else { panic!("{other:?}") };
    assert_eq!(urgent.first, other.without);
    // 20 runs of 4,000 tokens, 40,000 refused ones and a margin of half a deviation of 20 runs: 128,944 tokens.
    assert_eq!(other.without.len(), 5);
}

/// A dead host's figures are not taken for present ones.
#[test]
fn figures_of_dead_host_expire() {
    let (mut control, pool) = (AdmissionControl::default(), small_pool());
    control.apply(at(0), shortage(1, 1));
    assert!(reserved(control.decide(at(700), &pool, &request(LESS_URGENT, 0.0))) > 0);
    control.decide(at(1400), &pool, &request(LESS_URGENT, 0.0));
    // Its figures end after 1.5 s, and what they caused 1.5 s later.
    for millis in [2300, 3200] {
        control.decide(at(millis), &pool, &request(LESS_URGENT, 0.0));
    }
    let decision = control.decide(at(4000), &pool, &request(LESS_URGENT, 0.99));
    assert_eq!(decision, AdmissionDecision::Everywhere);
}

/// A host that hears no other one neither stops nor takes its own few requests for those of all hosts.
#[test]
fn host_that_is_cut_off_decides_by_own_figures() {
    let (mut control, pool) = (AdmissionControl::default(), decode_pool());
    for _ in 0..3 {
        control.record_search(at(0), SERVICE, &request(LESS_URGENT, 0.0), SearchOutcome::Refused);
    }
    for _ in 0..3 {
        control.record_begin(SERVICE, &request(URGENT, 0.0));
    }
    // 12,000 tokens and a margin of 3,464 are more than half of a server.
    assert_eq!(reserved(control.decide(at(1), &pool, &request(LESS_URGENT, 0.0))), 1);
}

/// Guards against updates that waited in the socket of a suspended host and seem new when it reads them.
#[test]
fn suspended_host_ignores_updates_of_that_time() {
    let (mut control, pool) = (AdmissionControl::default(), small_pool());
    control.apply(at(0), shortage(1, 1));
    assert!(reserved(control.decide(at(100), &pool, &request(LESS_URGENT, 0.0))) > 0);
    control.apply(at(5000), shortage(1, 2));
    let decision = control.decide(at(5001), &pool, &request(LESS_URGENT, 0.99));
    assert_eq!(decision, AdmissionDecision::Everywhere);
    control.apply(at(5200), shortage(1, 3));
    assert!(reserved(control.decide(at(5201), &pool, &request(LESS_URGENT, 0.0))) > 0);
}

/// A late or repeated datagram does not replace newer figures.
#[test]
fn late_update_ignored() {
    let (mut control, pool) = (AdmissionControl::default(), small_pool());
    control.apply(at(0), PressureUpdate { services: Vec::new(), ..shortage(1, 2) });
    control.apply(at(1), shortage(1, 1));
    let decision = control.decide(at(2), &pool, &request(LESS_URGENT, 0.99));
    assert_eq!(decision, AdmissionDecision::Everywhere);
}

/// Without anything that competes, and without a shortage, nothing changes.
#[rstest]
#[case::one_rank(DecodePool { ranks: vec![LESS_URGENT], ..small_pool() }, true)]
#[case::no_shortage(small_pool(), false)]
fn nothing_restricted(#[case] pool: DecodePool, #[case] is_short: bool) {
    let mut control = AdmissionControl::default();
    if is_short {
        control.apply(at(0), shortage(1, 1));
    }
    let decision = control.decide(at(1), &pool, &request(LESS_URGENT, 0.99));
    assert_eq!(decision, AdmissionDecision::Everywhere);
}

/// A control that knows of a shortage in which the first of two organisations demands nine times as much as the other.
fn control_with_unequal_orgs() -> AdmissionControl {
    let mut control = AdmissionControl::default();
    let org = |org, tokens| OrgPressure { org, tokens, unmet_tokens: tokens };
    let update = PressureUpdate {
        services: vec![ServicePressure {
            service: SERVICE,
            ranks: vec![RankPressure {
                rank: LESS_URGENT,
                granted: 80,
                refused: 80,
                running: 250,
                tokens: 1_000_000,
                unmet_tokens: 1_000_000,
                orgs: vec![org(1, 900_000), org(2, 100_000)],
            }],
        }],
        ..shortage(1, 1)
    };
    control.apply(at(0), update);
    control
}

/// Answers of other deployments are longer or shorter; only the time that the routes allow bounds the estimate.
#[rstest]
#[case::short_runs(30, 60, 14, 0.5)]
#[case::long_runs(600, 60, 60, 10.0)]
#[case::nothing_granted(600, 0, 14, 14.0)]
fn run_seconds_follow_what_runs_and_is_granted(
    #[case] running: u32,
    #[case] granted: u32,
    #[case] longest: u64,
    #[case] expected: f64,
) {
    let rank = RankPressure { running, granted, ..RankPressure::default() };
    assert_eq!(rank.run_seconds(Duration::from_secs(longest)), expected);
}

/// Only the organisation's demand decides, whether the caller asks for the first time or returns; a stream that continues
/// (a draw of 0) is never refused.
#[rstest]
#[case::demands_too_much(1, 0.99, true)]
#[case::demands_little(2, 0.99, false)]
#[case::stream_that_continues(1, 0.0, false)]
fn refused_for_the_share_of_its_organisation(
    #[case] org: u64,
    #[case] draw: f64,
    #[case] expected: bool,
) {
    let (mut control, pool) = (control_with_unequal_orgs(), decode_pool());
    let request = AdmissionRequest { org: Some(NameKey(org)), ..request(LESS_URGENT, draw) };
    let decision = control.decide(at(1), &pool, &request);
    assert_eq!(matches!(decision, AdmissionDecision::Refuse(_)), expected, "{decision:?}");
}

/// Guards against refusals of organisations that demand no more than the others: memory would stay idle.
#[test]
fn equal_organisations_not_refused_for_their_share() {
    let (mut control, pool) = (AdmissionControl::default(), decode_pool());
    let mut update = shortage(1, 1);
    let rank = &mut update.services[0].ranks[1];
    rank.refused = 1000;
    rank.tokens = 1_000_000;
    rank.unmet_tokens = 4_000_000;
    let org = |org| OrgPressure { org, tokens: 250_000, unmet_tokens: 1_000_000 };
    rank.orgs = (1..=4).map(org).collect();
    control.apply(at(0), update);
    let request = AdmissionRequest { org: Some(NameKey(1)), ..request(LESS_URGENT, 0.99) };
    let decision = control.decide(at(1), &pool, &request);
    assert!(matches!(decision, AdmissionDecision::Search(_)), "{decision:?}");
}

/// Callers of one rank that differ only in the size of their request may search the same servers, whatever sizes others
/// need and were refused.
#[rstest]
#[case::most_urgent_rank(URGENT)]
#[case::less_urgent_rank(LESS_URGENT)]
fn parts_do_not_depend_on_the_size(#[case] rank: u8) {
    let (mut control, pool) = (AdmissionControl::default(), small_pool());
    control.apply(at(0), shortage(1, 1));
    control.decide(at(1), &pool, &request(rank, 0.0));
    let of_size = |tokens| AdmissionRequest { tokens, ..request(rank, 0.0) };
    for _ in 0..40 {
        control.record_begin(SERVICE, &of_size(12_000));
        control.record_search(at(1), SERVICE, &of_size(12_000), SearchOutcome::Refused);
    }
    let small = control.decide(at(2), &pool, &of_size(1000));
    assert!(matches!(small, AdmissionDecision::Search(_)), "{small:?}");
    for tokens in [4000, 8000, 20_000] {
        assert_eq!(control.decide(at(2), &pool, &of_size(tokens)), small, "{tokens}");
    }
}

/// However much urgent requests demand, a quarter of the servers stays with the others.
#[test]
fn quarter_kept_for_less_urgent() {
    let (mut control, pool) = (AdmissionControl::default(), small_pool());
    let mut update = shortage(1, 1);
    update.services[0].ranks[0].running = 1000;
    update.services[0].ranks[0].tokens = 4_000_000;
    control.apply(at(0), update);
    let kept = SERVERS - reserved(control.decide(at(1), &pool, &request(LESS_URGENT, 0.0)));
    assert!(kept * 4 >= SERVERS, "{kept}");
}

/// A server that leaves changes the order of the others by no more than its own place, and failure domains take turns.
#[test]
fn reserve_order_stable() {
    let servers = decode_pool().servers;
    let order = reserve_order(&servers);
    let domain = |key| servers.iter().find(|server| server.0 == key).expect("known").1;
    for turn in order.chunks(3) {
        assert_eq!(turn.iter().map(|key| domain(*key)).collect::<HashSet<_>>().len(), 3);
    }
    let left: Vec<_> = servers.iter().copied().filter(|server| server.0 != order[2]).collect();
    let after: HashSet<_> = reserve_order(&left).into_iter().take(6).collect();
    let common = order[..6].iter().filter(|key| after.contains(key)).count();
    assert_eq!(common, 5);
}

#[rstest]
#[case::all_fit(10.0, &[1.0, 2.0], f64::INFINITY)]
#[case::largest_cut(10.0, &[1.0, 2.0, 20.0], 7.0)]
#[case::all_cut(9.0, &[5.0, 6.0, 20.0], 3.0)]
fn fair_share_is_max_min(#[case] capacity: f64, #[case] demands: &[f64], #[case] share: f64) {
    let weighted = |demand: &f64| WeightedDemand { demand: *demand, weight: 1.0 };
    let found = fair_share(capacity, demands.iter().map(weighted));
    assert!((found - share).abs() < 1e-9 || found == share, "{found}");
}

/// Guards against a large organisation that is refused its usual demand because most others are small.
#[test]
fn fair_share_follows_the_weights() {
    let demand = |demand, weight| WeightedDemand { demand, weight };
    let usual = [demand(8.0, 8.0), demand(1.0, 1.0), demand(1.0, 1.0)];
    assert_eq!(fair_share(10.0, usual.into_iter()), 1.0);
    let surge = [demand(8.0, 8.0), demand(7.0, 1.0), demand(1.0, 1.0)];
    assert_eq!(fair_share(10.0, surge.into_iter()), 1.0);
    let spare = [demand(4.0, 8.0), demand(7.0, 1.0), demand(1.0, 1.0)];
    assert_eq!(fair_share(10.0, spare.into_iter()), 5.0);
}

/// Updates fit into a datagram of the target size, with 16 organisations of two ranks in a domain's sum.
#[test]
fn update_size() {
    let mut control = AdmissionControl::default();
    for org in 0..16 {
        for rank in [URGENT, LESS_URGENT] {
            let org = Some(NameKey(u64::MAX - org));
            let request = AdmissionRequest { org, tokens: 28_000, ..request(rank, 0.0) };
            control.record_begin(SERVICE, &request);
            control.record_search(at(0), SERVICE, &request, SearchOutcome::Refused);
        }
    }
    let (from, domain) = (IncarnationId(u64::MAX), NameKey(u64::MAX));
    let update = control.domain_update(at(1), from, domain, &[decode_pool()]);
    let config = bincode::config::standard();
    let bytes = bincode::serde::encode_to_vec(&update, config).expect("it can be encoded").len();
    assert!(bytes <= 600, "{bytes}");
}
