//! Whether a stream whose server is silent gets a further run, from what a host heard lately of the pool.

use rstest::rstest;
use std::time::Duration;
use tealcleat::keys::{ServerKey, TimePoint};
use tealcleat::silent_runs::{FurtherStep, HearingTable, PoolSilence, PoolStanding, WaitReason};

const SILENCE: Duration = Duration::from_millis(1500);

fn at(ms: u64) -> TimePoint {
    TimePoint::default() + Duration::from_millis(ms)
}

fn standing(servers: usize, silent: usize) -> PoolStanding {
    PoolStanding { servers, silent }
}

/// Guards against prompts that are read for nothing where most servers stand still, and against a stream that is not served
/// although enough servers answer.
#[rstest]
#[case::none_silent(standing(6, 0), FurtherStep::Open)]
#[case::one_of_two(standing(2, 1), FurtherStep::Open)]
#[case::a_domain_of_three(standing(6, 2), FurtherStep::Open)]
#[case::two_thirds(standing(6, 4), FurtherStep::Open)]
#[case::more_than_two_thirds(standing(6, 5), FurtherStep::Wait(WaitReason::PoolSilent))]
#[case::all(standing(6, 6), FurtherStep::Wait(WaitReason::PoolSilent))]
#[case::the_only_one(standing(1, 1), FurtherStep::Wait(WaitReason::PoolSilent))]
fn step_follows_the_share_of_silent_servers(
    #[case] standing: PoolStanding,
    #[case] expected: FurtherStep,
) {
    assert_eq!(PoolSilence::default().step(at(9000), standing, SILENCE), expected);
}

/// Guards against further runs in the moment at which all servers go on: the silent run writes before another one could.
#[test]
fn step_after_the_pool_returned_waits_a_moment() {
    let mut pool = PoolSilence::default();
    let step = pool.step(at(1000), standing(6, 6), SILENCE);
    assert_eq!(step, FurtherStep::Wait(WaitReason::PoolSilent));
    let step = pool.step(at(1200), standing(6, 1), SILENCE);
    assert_eq!(step, FurtherStep::Wait(WaitReason::PoolReturned));
    assert_eq!(pool.step(at(1250), standing(6, 1), SILENCE), FurtherStep::Open);
}

/// Guards against a stream that waits in vain beside servers that answer: those that are silent are dead.
#[test]
fn step_after_a_long_silence_opens() {
    let mut pool = PoolSilence::default();
    let long = Duration::from_secs(3);
    assert_eq!(pool.step(at(1000), standing(6, 5), long), FurtherStep::Open);
}

/// Guards against a sound server that is avoided, and a silent one that is not.
#[test]
fn server_silent_only_while_it_owes_events() {
    let (mut table, server) = (HearingTable::default(), ServerKey::of("i-1"));
    assert!(!table.is_silent(at(9000), server), "it runs nothing");
    table.record_begin(at(1000), server);
    assert!(!table.is_silent(at(1700), server));
    assert!(table.is_silent(at(1750), server));
    table.record_event(at(1800), server);
    assert!(!table.is_silent(at(2500), server));
    table.record_begin(at(2000), server);
    table.record_end(server);
    assert!(table.is_silent(at(2750), server), "one of its two runs goes on");
    table.record_end(server);
    assert!(!table.is_silent(at(9000), server), "it runs nothing any more");
}
