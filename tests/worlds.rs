//! Seeded simulations of the shipped state machines. The runs are short here; `tealcleat-load soak` runs them for any
//! number of steps.

use rstest::rstest;
use tealcleat::bench::worlds::{
    InjectedBug, SendPlan, WorldReport, run_claim_world, run_limit_world, run_member_world,
    run_send_plan, run_send_world, run_slot_world, run_stream_world,
};

type World = fn(u64, u64, InjectedBug) -> WorldReport;

#[rstest]
#[case::claims(run_claim_world, 30_000)]
#[case::slots(run_slot_world, 20_000)]
#[case::streams(run_stream_world, 100_000)]
#[case::members(run_member_world, 12_000)]
#[case::limits(run_limit_world, 8_000)]
#[case::server_limits(run_send_world, 6_000)]
fn world_upholds_guarantees(
    #[case] world: World,
    #[case] steps: u64,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let report = world(seed, steps, InjectedBug::None);
    assert_eq!(report.violations, Vec::<String>::new());
    assert!(report.done > 0 && report.faults > 0, "{report:?}");
}

#[rstest]
#[case::lost_write_assumed(run_claim_world, 30_000, InjectedBug::AssumeWriteSucceeded)]
#[case::claimant_check_skipped(run_claim_world, 30_000, InjectedBug::SkipClaimantCheck)]
#[case::orphans_kept(run_slot_world, 20_000, InjectedBug::KeepOrphans)]
#[case::reports_ignored(run_slot_world, 20_000, InjectedBug::IgnoreReports)]
#[case::stale_tokens_accepted(run_stream_world, 100_000, InjectedBug::AcceptStaleTokens)]
#[case::open_counted_as_token(run_stream_world, 100_000, InjectedBug::CountOpenAsToken)]
#[case::older_config_adopted(run_member_world, 12_000, InjectedBug::AdoptOlderConfig)]
#[case::refutation_blocked(run_member_world, 12_000, InjectedBug::BlockRefutation)]
#[case::whole_share_granted(run_limit_world, 20_000, InjectedBug::GrantWholeShare)]
#[case::permits_granted_locally(run_send_world, 6_000, InjectedBug::GrantLocally)]
fn world_detects_injected_bug(#[case] world: World, #[case] steps: u64, #[case] bug: InjectedBug) {
    let violations: usize = (1..=4).map(|seed| world(seed, steps, bug).violations.len()).sum();
    assert!(violations > 0, "no violation is found with {bug:?}");
}

#[rstest]
#[case::claims(run_claim_world)]
#[case::slots(run_slot_world)]
#[case::streams(run_stream_world)]
#[case::members(run_member_world)]
#[case::limits(run_limit_world)]
#[case::server_limits(run_send_world)]
fn world_is_deterministic_per_seed(#[case] world: World) {
    assert_eq!(world(9, 4000, InjectedBug::None), world(9, 4000, InjectedBug::None));
}

/// These seeds exceed the limit when one of the fixes is reverted: 1 if hosts take the next candidate for the owner
/// while the first does not answer; 4, 14 and 43 if owners without any knowledge start with a fifth of the tolerance;
/// 43 and 64 if hosts without an owner admit a request in advance, whatever the remaining level. Seeds 3 and 6 exceeded
/// it in an earlier form of the world.
#[rstest]
fn limit_world_regression_seeds(#[values(1, 3, 4, 6, 14, 43, 64)] seed: u64) {
    let report = run_limit_world(seed, 20_000, InjectedBug::None);
    assert_eq!(report.violations, Vec::<String>::new());
}

/// Guards against owners that keep units accumulated while other hosts were the owners. With these seeds, this fault
/// exceeds the limit.
#[rstest]
fn limit_world_changing_owners(#[values(125, 149, 211)] seed: u64) {
    let faulty = run_limit_world(seed, 20_000, InjectedBug::KeepStaleAccounts);
    assert!(!faulty.violations.is_empty(), "no violation is found with seed {seed}");
    let report = run_limit_world(seed, 20_000, InjectedBug::None);
    assert_eq!(report.violations, Vec::<String>::new());
}

#[rstest]
fn send_world_detects_ignored_limits(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let report = run_send_world(seed, 3_000, InjectedBug::IgnoreServerLimits);
    assert!(!report.violations.is_empty(), "no violation is found with seed {seed}");
}

/// Owners learn only from the reports of hosts about the requests sent in the seconds before a limit is named.
#[rstest]
fn send_plan_detects_missing_history(#[values(1, 2, 3, 4)] seed: u64) {
    let plan = SendPlan {
        seed,
        steps: 2_000,
        domain_hosts: 2,
        rate: 600,
        has_faults: false,
        all_limited: true,
    };
    assert_eq!(run_send_plan(plan, InjectedBug::None).violations, Vec::<String>::new());
    let report = run_send_plan(plan, InjectedBug::OmitSendHistory);
    assert!(!report.violations.is_empty(), "no violation is found with seed {seed}");
}

/// While more requests wait to be sent, the limits are used, however many hosts there are.
#[rstest]
fn send_plan_uses_limits(#[values(2, 20, 100)] domain_hosts: usize) {
    let plan = SendPlan {
        seed: 1,
        steps: 3_000,
        domain_hosts,
        rate: 120,
        has_faults: false,
        all_limited: true,
    };
    let report = run_send_plan(plan, InjectedBug::None);
    assert_eq!(report.violations, Vec::<String>::new());
    assert!(report.used_permille >= 800, "{} of 1000", report.used_permille);
}

/// These seeds exceeded the limit: with 192, hosts of an isolated domain sent to a server that had received 22 requests
/// in the second before it named a limit of two per second; with 393 and 489, some answers omitted the limit.
#[rstest]
fn send_world_regression_seeds(#[values(192, 393, 489)] seed: u64) {
    let report = run_send_world(seed, 6_000, InjectedBug::None);
    assert_eq!(report.violations, Vec::<String>::new());
}

#[test]
fn send_plan_hundreds_of_hosts() {
    let plan = SendPlan {
        seed: 7,
        steps: 4_000,
        domain_hosts: 100,
        rate: 240,
        has_faults: true,
        all_limited: true,
    };
    let report = run_send_plan(plan, InjectedBug::None);
    assert_eq!(report.violations, Vec::<String>::new());
    assert!(report.faults > 0 && report.done > 0, "{report:?}");
}
