//! Long seeded runs over the shipped machines: short here, as long as asked by `tealcleat-load soak`.

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
fn world_keeps_promises(#[case] world: World, #[case] steps: u64, #[values(1, 2, 3, 4)] seed: u64) {
    let report = world(seed, steps, InjectedBug::None);
    assert_eq!(report.violations, Vec::<String>::new());
    assert!(report.done > 0 && report.faults > 0, "{report:?}");
}

#[rstest]
#[case::lost_write_trusted(run_claim_world, 30_000, InjectedBug::AssumeWriteSucceeded)]
#[case::not_run_said_for_others(run_claim_world, 30_000, InjectedBug::SkipClaimantCheck)]
#[case::orphans_kept(run_slot_world, 20_000, InjectedBug::KeepOrphans)]
#[case::reports_ignored(run_slot_world, 20_000, InjectedBug::IgnoreReports)]
#[case::crossed_tokens_written(run_stream_world, 100_000, InjectedBug::AcceptStaleTokens)]
#[case::open_counted_as_token(run_stream_world, 100_000, InjectedBug::CountOpenAsToken)]
#[case::older_config_adopted(run_member_world, 12_000, InjectedBug::AdoptOlderConfig)]
#[case::refutation_muted(run_member_world, 12_000, InjectedBug::BlockRefutation)]
#[case::whole_part_owned(run_limit_world, 20_000, InjectedBug::GrantWholeShare)]
#[case::servers_granted_by_each_host(run_send_world, 6_000, InjectedBug::GrantLocally)]
fn world_breaks_when_sabotaged(#[case] world: World, #[case] steps: u64, #[case] bug: InjectedBug) {
    let broken: usize = (1..=4).map(|seed| world(seed, steps, bug).violations.len()).sum();
    assert!(broken > 0, "the run does not notice {bug:?}");
}

#[rstest]
#[case::claims(run_claim_world)]
#[case::slots(run_slot_world)]
#[case::streams(run_stream_world)]
#[case::members(run_member_world)]
#[case::limits(run_limit_world)]
#[case::server_limits(run_send_world)]
fn world_repeats_for_a_seed(#[case] world: World) {
    assert_eq!(world(9, 4000, InjectedBug::None), world(9, 4000, InjectedBug::None));
}

/// Seeds that break the limit when a mend is taken back: 1, if hosts take the next one for the owner while the
/// first does not answer; 4, 14 and 43, if owners that know nothing begin with a fifth of the tolerance; 43 and
/// 64, if hosts without an owner let in a request in advance whatever that had left. Seeds 3 and 6 broke it in
/// an earlier shape of the world.
#[rstest]
fn limit_kept_where_it_was_broken(#[values(1, 3, 4, 6, 14, 43, 64)] seed: u64) {
    let report = run_limit_world(seed, 20_000, InjectedBug::None);
    assert_eq!(report.violations, Vec::<String>::new());
}

/// Guards against owners that keep what they saved up while others were the owners: these seeds break the limit then.
#[rstest]
fn limit_kept_by_owners_that_come_and_go(#[values(125, 149, 211)] seed: u64) {
    let kept = run_limit_world(seed, 20_000, InjectedBug::KeepStaleAccounts);
    assert!(!kept.violations.is_empty(), "the run does not notice");
    let report = run_limit_world(seed, 20_000, InjectedBug::None);
    assert_eq!(report.violations, Vec::<String>::new());
}

#[rstest]
fn server_limits_break_on_each_seed_when_ignored(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let report = run_send_world(seed, 3_000, InjectedBug::IgnoreServerLimits);
    assert!(!report.violations.is_empty(), "the run does not notice on seed {seed}");
}

/// Of what comes in the seconds before a limit is named, owners know by what hosts tell.
#[rstest]
fn server_limits_break_on_each_seed_when_sends_are_not_told(#[values(1, 2, 3, 4)] seed: u64) {
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
    assert!(!report.violations.is_empty(), "the run does not notice on seed {seed}");
}

/// What limits allow is used while there is more to send, however many hosts there are.
#[rstest]
fn server_limits_are_used(#[values(2, 20, 100)] domain_hosts: usize) {
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

/// Seeds that broke it: 192, in which hosts of a domain that was cut off sent to a server that had got 22 requests in
/// the second before it named two a second; 393 and 489, in which some answers left the limit out by chance.
#[rstest]
fn server_limit_kept_where_it_was_broken(#[values(192, 393, 489)] seed: u64) {
    let report = run_send_world(seed, 6_000, InjectedBug::None);
    assert_eq!(report.violations, Vec::<String>::new());
}

#[test]
fn server_limits_hold_at_hundreds_of_hosts() {
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
