//! How the pools follow the load: target sizes, the timing of changes, and which host may issue
//! orders.

use rstest::rstest;
use std::time::Duration;
use tealcleat::fleet::{ServerStage, StageChanges};
use tealcleat::keys::{NameKey, ServerKey, TimePoint};
use tealcleat::orders::{
    ChangeOrders, LeaderRole, LeaderTenure, PoolSizes, StagePlanner, change_batch_size,
    has_spare_capacity, may_issue_orders, target_prefills,
};
use tealcleat::placement::{
    ErrorRate, PromptReader, ReadTimes, RejectionRisk, RequestWork, choose_reader,
};

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn work(read_seconds: f64, decode_seconds: f64) -> RequestWork {
    RequestWork { read_seconds, decode_seconds }
}

fn sizes(prefills: usize, decodes: usize) -> PoolSizes {
    PoolSizes { prefills, decodes }
}

/// Guards against orders from a host that has just started. After a restart of all 300 hosts, the
/// oldest one ordered 315 changes in one second, based on reads that had waited for all the others.
#[rstest]
#[case::just_started(0, false)]
#[case::first_requests(7900, false)]
#[case::old_enough(8000, true)]
fn may_issue_orders_after_minimum_age(#[case] age_ms: u64, #[case] expected: bool) {
    assert_eq!(may_issue_orders(Duration::from_millis(age_ms)), expected);
}

#[rstest]
#[case::by_share(sizes(5, 7), work(0.1, 0.25), 3.84)]
#[case::never_below_two(sizes(4, 8), work(0.001, 1.0), 2.0)]
#[case::never_without_decode(sizes(4, 8), work(1.0, 0.001), 10.0)]
#[case::too_few_servers(sizes(1, 2), work(0.1, 0.1), 1.0)]
#[case::nothing_measured(sizes(3, 9), work(0.0, 0.0), 3.0)]
fn target_prefills_follow_the_work(
    #[case] sizes: PoolSizes,
    #[case] work: RequestWork,
    #[case] expected: f64,
) {
    let target = target_prefills(sizes, work);
    assert!((target - expected).abs() < 0.01, "{target}");
}

#[test]
fn planner_moves_surplus_after_its_dwell() {
    let mut planner = StagePlanner::default();
    let work = work(0.1, 0.25);
    assert_eq!(planner.decide(at(0), sizes(6, 6), work), None);
    assert_eq!(planner.decide(at(400), sizes(6, 6), work), None);
    assert_eq!(planner.decide(at(600), sizes(6, 6), work), Some(ServerStage::Decode));
}

#[test]
fn planner_waits_for_crashed_prefill_servers() {
    let mut planner = StagePlanner::default();
    let work = work(0.1, 0.25);
    assert_eq!(planner.decide(at(0), sizes(2, 8), work), None);
    assert_eq!(planner.decide(at(4000), sizes(2, 8), work), None);
    assert_eq!(planner.decide(at(4100), sizes(4, 8), work), None);
    assert_eq!(
        planner.decide(at(4600), sizes(2, 8), work),
        None,
        "a new deficit starts a new dwell time"
    );
    assert_eq!(planner.decide(at(9200), sizes(2, 8), work), Some(ServerStage::Prefill));
}

#[test]
fn planner_pauses_between_changes() {
    let mut planner = StagePlanner::default();
    let work = work(0.1, 0.25);
    planner.record_attempt(at(0));
    assert_eq!(planner.decide(at(100), sizes(6, 6), work), None);
    assert_eq!(planner.decide(at(2500), sizes(6, 6), work), None);
    assert_eq!(planner.decide(at(3100), sizes(6, 6), work), Some(ServerStage::Decode));
}

/// A surplus changes to decoding even if a scale-in may remove another prefill server. When the
/// third of four prefill servers was given up and a scale-in took another, the score fell from 0.55
/// to 0.40. Decode servers now read prompts until the pool is restored
/// (`reader_is_decode_server_for_late_prompt`).
#[test]
fn planner_moves_surplus_down_to_the_target() {
    let mut planner = StagePlanner::default();
    let work = work(0.095, 0.307);
    assert_eq!(planner.decide(at(0), sizes(4, 7), work), None);
    assert_eq!(planner.decide(at(1600), sizes(4, 7), work), Some(ServerStage::Decode));
    planner.record_attempt(at(1600));
    for second in 2..30 {
        assert_eq!(planner.decide(at(second * 1000), sizes(3, 8), work), None);
    }
    // After the scale-in, two prefill servers are left; with one left, one changes back after the
    // dwell time.
    assert_eq!(planner.decide(at(30_000), sizes(2, 7), work), None);
    assert_eq!(
        planner.decide(at(34_600), sizes(2, 7), work),
        None,
        "two of nine servers are still enough"
    );
    assert_eq!(planner.decide(at(35_000), sizes(1, 7), work), None);
    assert_eq!(planner.decide(at(39_600), sizes(1, 7), work), Some(ServerStage::Prefill));
}

/// Guards against slow changes in large pools: at one of 60 servers every 3.5 s, seven changes
/// would take 40 s.
#[rstest]
#[case::small_site(sizes(5, 7), 1)]
#[case::large_surplus(sizes(21, 39), 5)]
#[case::larger_surplus(sizes(30, 30), 9)]
#[case::large_deficit(sizes(6, 54), 4)]
#[case::nearly_balanced(sizes(18, 42), 2)]
fn batch_size_grows_with_the_pools(#[case] sizes: PoolSizes, #[case] expected: usize) {
    assert_eq!(change_batch_size(sizes, work(0.104, 0.339)), expected);
}

/// The expected times of a prompt that takes 100 ms to read and 50 ms to start.
fn read_times(wait_ms: u64) -> ReadTimes {
    let [wait, read, start] = [wait_ms, 100, 50].map(Duration::from_millis);
    ReadTimes { wait, read, start }
}

/// The work that is left decides, as measured, and not a fraction of the target: a prompt goes to a prefill server while its
/// first event is in time from there, or while its decode server would take longer.
#[rstest]
#[case::no_wait(Some(0), 900, PromptReader::Prefill)]
#[case::just_in_time(Some(750), 900, PromptReader::Prefill)]
#[case::late(Some(751), 900, PromptReader::Decode)]
#[case::target_passed_and_prefill_faster(Some(100), 0, PromptReader::Prefill)]
#[case::target_passed_and_decode_faster(Some(101), 0, PromptReader::Decode)]
#[case::no_prefill_server(None, 900, PromptReader::Decode)]
fn reader_is_decode_server_for_late_prompt(
    #[case] wait_ms: Option<u64>,
    #[case] target_ms: u64,
    #[case] expected: PromptReader,
) {
    let (times, target_left) = (wait_ms.map(read_times), Duration::from_millis(target_ms));
    for survives_rejection in [false, true] {
        let reader = choose_reader(times, target_left, RejectionRisk::Low, || survives_rejection);
        assert_eq!(reader, expected);
    }
}

/// Guards against requests that are refused although a decode server holds memory for them: their read is rejected, and
/// the retry budget does not pay for the run after it.
#[rstest]
#[case::nothing_rejected(RejectionRisk::Low, false, PromptReader::Prefill)]
#[case::rejected_lately(RejectionRisk::High, false, PromptReader::Decode)]
#[case::rejected_lately_with_budget(RejectionRisk::High, true, PromptReader::Prefill)]
fn reader_is_decode_server_for_unpaid_rejection(
    #[case] risk: RejectionRisk,
    #[case] survives_rejection: bool,
    #[case] expected: PromptReader,
) {
    let target_left = Duration::from_millis(900);
    let reader = choose_reader(Some(read_times(0)), target_left, risk, || survives_rejection);
    assert_eq!(reader, expected);
}

/// One rejection counts until it has worn off.
#[test]
fn error_rate_clear_until_an_error_and_some_time_after() {
    let mut rate = ErrorRate::default();
    rate.record(at(0), false);
    assert!(rate.is_clear(at(0)));
    rate.record(at(0), true);
    assert!(!rate.is_clear(at(2900)));
    assert!(rate.is_clear(at(3100)));
}

#[test]
fn planner_corrects_deficit_of_a_whole_server() {
    let mut planner = StagePlanner::default();
    let work = work(0.16, 0.33);
    assert_eq!(planner.decide(at(0), sizes(2, 7), work), None);
    assert_eq!(planner.decide(at(4400), sizes(2, 7), work), None);
    assert_eq!(planner.decide(at(4600), sizes(2, 7), work), Some(ServerStage::Prefill));
}

/// A burst makes reads look more expensive for some seconds. A decode server that changes because
/// of it would be missing in the next burst.
#[test]
fn planner_ignores_deficit_of_a_partial_server() {
    let mut planner = StagePlanner::default();
    for second in 0..30 {
        let decided = planner.decide(at(second * 1000), sizes(2, 7), work(0.12, 0.33));
        assert_eq!(decided, None);
    }
}

#[test]
fn planner_ignores_small_difference() {
    let mut planner = StagePlanner::default();
    for second in 0..30 {
        let decided = planner.decide(at(second * 1000), sizes(4, 8), work(0.1, 0.25));
        assert_eq!(decided, None);
    }
}

const CHANGE_TIME: Duration = Duration::from_secs(6);

#[test]
fn change_orders_kept_until_the_server_has_changed() {
    let key = ServerKey::of("i-1");
    let mut orders = ChangeOrders::default();
    orders.record_ordered(at(0), key, ServerStage::Decode, CHANGE_TIME);
    orders.expire(at(5000), |_| Some(Some(ServerStage::Prefill)));
    assert_eq!(orders.target_stage(key), Some(ServerStage::Decode));
    assert!(orders.is_excluded(key));
    orders.expire(at(6500), |_| Some(Some(ServerStage::Decode)));
    assert_eq!(orders.target_stage(key), None);
    assert!(!orders.is_excluded(key));
}

#[rstest]
#[case::not_expired(18_900, true)]
#[case::expired(19_100, false)]
fn change_orders_expire(#[case] millis: u64, #[case] kept: bool) {
    let key = ServerKey::of("i-1");
    let mut orders = ChangeOrders::default();
    orders.record_ordered(at(0), key, ServerStage::Decode, CHANGE_TIME);
    orders.expire(at(millis), |_| Some(Some(ServerStage::Prefill)));
    assert_eq!(orders.target_stage(key).is_some(), kept);
}

#[test]
fn change_orders_dropped_with_the_server() {
    let key = ServerKey::of("i-1");
    let mut orders = ChangeOrders::default();
    orders.record_ordered(at(0), key, ServerStage::Decode, CHANGE_TIME);
    orders.expire(at(100), |_| None);
    assert!(!orders.is_excluded(key));
}

#[test]
fn change_orders_exclude_failed_server_for_a_while() {
    let key = ServerKey::of("i-1");
    let mut orders = ChangeOrders::default();
    orders.record_failed(at(0), key);
    orders.expire(at(9900), |_| Some(Some(ServerStage::Prefill)));
    assert!(orders.is_excluded(key));
    assert_eq!(orders.target_stage(key), None, "it does not count towards the other pool");
    orders.expire(at(10_100), |_| Some(Some(ServerStage::Prefill)));
    assert!(!orders.is_excluded(key));
}

#[test]
fn change_orders_drop_refused_order() {
    let key = ServerKey::of("i-1");
    let mut orders = ChangeOrders::default();
    orders.record_ordered(at(0), key, ServerStage::Decode, CHANGE_TIME);
    orders.record_refused(key);
    assert!(!orders.is_excluded(key));
}

/// The host that issues orders stops while a quarter of the servers are changing. Guards against a
/// successor that plans the same changes again, queries each engine, and orders nothing else for
/// twelve seconds.
#[test]
fn successor_counts_changes_that_it_heard_of() {
    let mut changes = StageChanges::default();
    let servers: Vec<ServerKey> = (0..40).map(NameKey).collect();
    for server in &servers {
        changes.record_announcement(at(0), *server, ServerStage::Decode);
    }
    // The failure of the host is detected within 3 s, after which no host repeats its
    // announcements.
    let mut orders = ChangeOrders::default();
    for (server, to) in changes.announced(at(3000)) {
        orders.record_ordered(at(3000), server, to, Duration::from_secs(6));
    }
    assert!(servers.iter().all(|server| orders.target_stage(*server) == Some(ServerStage::Decode)));
    assert_eq!(orders.pending_count(), 40);
    assert_eq!(changes.announced(at(7100)).count(), 0);
}

/// A fleet of thousands of engines is almost idle at a few hundred requests a second. No request
/// waits in either pool, so neither receives a server from the other one, whereas a pool that fills
/// up does.
#[rstest]
#[case::idle_fleet(ServerStage::Decode, sizes(3_368, 6_255), 140.0, true)]
#[case::idle_fleet_of_twice_the_size(ServerStage::Decode, sizes(6_736, 12_510), 280.0, true)]
#[case::idle_prefills(ServerStage::Prefill, sizes(100, 9_523), 140.0, true)]
#[case::no_prefills(ServerStage::Prefill, sizes(0, 9_623), 140.0, false)]
#[case::usual_load(ServerStage::Decode, sizes(4, 8), 12.0, false)]
#[case::burst_on_a_small_fleet(ServerStage::Prefill, sizes(2, 10), 12.0, false)]
fn spare_capacity_by_pool_utilisation(
    #[case] stage: ServerStage,
    #[case] sizes: PoolSizes,
    #[case] per_second: f64,
    #[case] expected: bool,
) {
    assert_eq!(has_spare_capacity(stage, sizes, work(0.1, 0.35), per_second), expected);
}

const DWELL: Duration = Duration::from_millis(1500);

/// Roles of a host that is looked at each half second from `start_ms` on, by whether it is elected then.
fn roles(tenure: &mut LeaderTenure, start_ms: u64, elections: &[bool]) -> Vec<LeaderRole> {
    let times = (0..).map(|step| at(start_ms + step * 500));
    times.zip(elections).map(|(now, elected)| tenure.update(now, *elected)).collect()
}

/// Guards against two hosts that take the lease from each other: a leader whose call to the store failed once is not
/// elected for half a second, and each takeover waits 4.5 s for the former lease.
#[test]
fn leader_tenure_survives_a_short_loss_of_the_election() {
    use LeaderRole::{Candidate, Follower, Leader, Suspended};
    let mut first = LeaderTenure::new(DWELL);
    let mut second = LeaderTenure::new(DWELL);
    let of_first = roles(&mut first, 2000, &[true, true, true, true, false, true, true]);
    assert_eq!(of_first, [Candidate, Candidate, Candidate, Leader, Suspended, Leader, Leader]);
    let of_second = roles(&mut second, 2000, &[false, false, false, false, true, false, false]);
    assert!(of_second.iter().all(|role| matches!(role, Follower | Candidate)));
}

/// A host that stays elected takes over after the dwell time, and the former leader has given up by then.
#[test]
fn leader_tenure_passes_on_when_the_loss_lasts() {
    use LeaderRole::{Candidate, Follower, Leader, Suspended};
    let mut first = LeaderTenure::new(DWELL);
    let mut second = LeaderTenure::new(DWELL);
    roles(&mut first, 2000, &[true; 5]);
    let of_first = roles(&mut first, 4500, &[false; 4]);
    assert_eq!(of_first, [Suspended, Suspended, Follower, Follower]);
    roles(&mut second, 2000, &[false; 5]);
    let of_second = roles(&mut second, 4500, &[true; 4]);
    assert_eq!(of_second, [Candidate, Candidate, Candidate, Leader]);
}

/// Guards against a leader that was suspended and leads on when it wakes up, although another host may lead by then.
#[test]
fn leader_tenure_ends_with_a_suspension() {
    let mut tenure = LeaderTenure::new(DWELL);
    assert_eq!(roles(&mut tenure, 2000, &[true; 4])[3], LeaderRole::Leader);
    assert_eq!(tenure.update(at(9000), true), LeaderRole::Candidate);
}

/// With the setting off a host leads whenever it is elected.
#[test]
fn leader_tenure_without_dwell_follows_the_election() {
    let mut tenure = LeaderTenure::new(Duration::ZERO);
    let roles = roles(&mut tenure, 2000, &[true, false, true]);
    assert_eq!(roles, [LeaderRole::Leader, LeaderRole::Follower, LeaderRole::Leader]);
}
