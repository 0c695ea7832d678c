//! How long a lost stream waits for a server that takes it up.
//!
//! Guards against an answer that is cut because all other servers stand still for two seconds, and against callers that wait
//! where waiting is of no use.

use rstest::rstest;
use tealcleat::keys::TimePoint;
use tealcleat::silent_runs::{PoolStanding, ResumeWait};

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn standing(servers: usize, silent: usize) -> PoolStanding {
    PoolStanding { servers, silent }
}

#[rstest]
#[case::all_silent(standing(3, 3), false, true)]
#[case::one_answers(standing(3, 2), false, false)]
#[case::cut_off_itself(standing(3, 3), true, false)]
#[case::no_server(standing(0, 0), false, false)]
fn resume_wait_outlasts_silence_of_all(
    #[case] candidates: PoolStanding,
    #[case] is_cut_off: bool,
    #[case] expected: bool,
) {
    let mut wait = ResumeWait::start(at(0));
    assert!(wait.goes_on(at(1400), candidates, is_cut_off));
    assert_eq!(wait.goes_on(at(2300), candidates, is_cut_off), expected);
}

#[test]
fn resume_wait_tries_servers_that_have_just_gone_on() {
    let mut wait = ResumeWait::start(at(0));
    assert!(wait.goes_on(at(2000), standing(2, 2), false));
    assert!(wait.goes_on(at(2300), standing(2, 0), false));
    assert!(!wait.goes_on(at(2600), standing(2, 0), false), "they refuse for another reason");
}

#[test]
fn resume_wait_ends_at_dead_servers() {
    let mut wait = ResumeWait::start(at(0));
    assert!(wait.goes_on(at(3900), standing(2, 2), false));
    assert!(!wait.goes_on(at(4100), standing(2, 2), false));
}
