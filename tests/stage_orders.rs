//! Pools that follow the work: what is wanted, when a change is ordered, and who may order.

use rstest::rstest;
use std::time::Duration;
use tealcleat::fleet::{ServerStage, StageChanges};
use tealcleat::keys::{NameKey, ServerKey, TimePoint};
use tealcleat::orders::{
    ChangeOrders, LeaseRecord, OrderLease, PoolSizes, StagePlanner, change_batch_size,
    has_spare_capacity, may_issue_orders, target_prefills,
};
use tealcleat::placement::{PromptReader, RequestWork, choose_reader};

const LEASE: Duration = Duration::from_secs(3);

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn work(read_seconds: f64, decode_seconds: f64) -> RequestWork {
    RequestWork { read_seconds, decode_seconds }
}

fn sizes(prefills: usize, decodes: usize) -> PoolSizes {
    PoolSizes { prefills, decodes }
}

/// All of 300 hosts restarted: the oldest of them ordered 315 changes in one second, from reads that had waited
/// for all the others.
#[rstest]
#[case::just_started(0, false)]
#[case::first_requests(7900, false)]
#[case::before_callers_come_to_a_new_site(8000, true)]
fn giver_knows_the_work_first(#[case] age_ms: u64, #[case] expected: bool) {
    assert_eq!(may_issue_orders(Duration::from_millis(age_ms)), expected);
}

#[rstest]
#[case::by_share(sizes(5, 7), work(0.1, 0.25), 3.84)]
#[case::never_below_two(sizes(4, 8), work(0.001, 1.0), 2.0)]
#[case::never_without_decode(sizes(4, 8), work(1.0, 0.001), 10.0)]
#[case::too_few_servers(sizes(1, 2), work(0.1, 0.1), 1.0)]
#[case::nothing_measured(sizes(3, 9), work(0.0, 0.0), 3.0)]
fn wanted_prefills_follow(
    #[case] sizes: PoolSizes,
    #[case] work: RequestWork,
    #[case] expected: f64,
) {
    let wanted = target_prefills(sizes, work);
    assert!((wanted - expected).abs() < 0.01, "{wanted}");
}

#[test]
fn surplus_given_away_after_its_dwell() {
    let mut planner = StagePlanner::default();
    let work = work(0.1, 0.25);
    assert_eq!(planner.decide(at(0), sizes(6, 6), work), None);
    assert_eq!(planner.decide(at(400), sizes(6, 6), work), None);
    assert_eq!(planner.decide(at(600), sizes(6, 6), work), Some(ServerStage::Decode));
}

#[test]
fn crashed_prefill_servers_may_return_first() {
    let mut planner = StagePlanner::default();
    let work = work(0.1, 0.25);
    assert_eq!(planner.decide(at(0), sizes(2, 8), work), None);
    assert_eq!(planner.decide(at(4000), sizes(2, 8), work), None);
    assert_eq!(planner.decide(at(4100), sizes(4, 8), work), None);
    assert_eq!(planner.decide(at(4600), sizes(2, 8), work), None, "a lack that begins again");
    assert_eq!(planner.decide(at(9200), sizes(2, 8), work), Some(ServerStage::Prefill));
}

#[test]
fn change_rests_before_the_next() {
    let mut planner = StagePlanner::default();
    let work = work(0.1, 0.25);
    planner.record_attempt(at(0));
    assert_eq!(planner.decide(at(100), sizes(6, 6), work), None);
    assert_eq!(planner.decide(at(2500), sizes(6, 6), work), None);
    assert_eq!(planner.decide(at(3100), sizes(6, 6), work), Some(ServerStage::Decode));
}

/// Bench: panelbridge-kr scale-1 went from 0.55 to 0.40 when the third of four was given away and
/// a scale-in took another; now decode servers read prompts until the pool is mended
/// (`late_prompt_left_to_its_decode_server`).
#[test]
fn surplus_given_away_down_to_what_the_work_needs() {
    let mut planner = StagePlanner::default();
    let work = work(0.095, 0.307);
    assert_eq!(planner.decide(at(0), sizes(4, 7), work), None);
    assert_eq!(planner.decide(at(1600), sizes(4, 7), work), Some(ServerStage::Decode));
    planner.record_attempt(at(1600));
    for second in 2..30 {
        assert_eq!(planner.decide(at(second * 1000), sizes(3, 8), work), None);
    }
    // The scale-in of that day: two are left, and one is taken back after the dwell.
    assert_eq!(planner.decide(at(30_000), sizes(2, 7), work), None);
    assert_eq!(planner.decide(at(34_600), sizes(2, 7), work), None, "2 of 9 still suffice");
    assert_eq!(planner.decide(at(35_000), sizes(1, 7), work), None);
    assert_eq!(planner.decide(at(39_600), sizes(1, 7), work), Some(ServerStage::Prefill));
}

/// Bench: halvorsen-book-grown moved one of 60 servers each 3.5 s and needed 40 s for seven.
#[rstest]
#[case::small_site(sizes(5, 7), 1)]
#[case::large_surplus(sizes(21, 39), 5)]
#[case::larger_surplus(sizes(30, 30), 9)]
#[case::large_lack(sizes(6, 54), 4)]
#[case::nearly_right(sizes(18, 42), 2)]
fn larger_steps_among_many_servers(#[case] sizes: PoolSizes, #[case] expected: usize) {
    assert_eq!(change_batch_size(sizes, work(0.104, 0.339)), expected);
}

#[rstest]
#[case::no_wait(Some(0), PromptReader::Prefill)]
#[case::in_time(Some(490), PromptReader::Prefill)]
#[case::late(Some(500), PromptReader::Decode)]
#[case::no_prefill_server(None, PromptReader::Decode)]
fn late_prompt_left_to_its_decode_server(
    #[case] wait_ms: Option<u64>,
    #[case] expected: PromptReader,
) {
    let wait = wait_ms.map(Duration::from_millis);
    assert_eq!(choose_reader(wait, Duration::from_millis(900)), expected);
}

#[test]
fn whole_server_lacking_taken_back() {
    let mut planner = StagePlanner::default();
    let work = work(0.16, 0.33);
    assert_eq!(planner.decide(at(0), sizes(2, 7), work), None);
    assert_eq!(planner.decide(at(4400), sizes(2, 7), work), None);
    assert_eq!(planner.decide(at(4600), sizes(2, 7), work), Some(ServerStage::Prefill));
}

/// A burst makes reads look dearer for some seconds; a decode server that changes for it is missed
/// by the next burst.
#[test]
fn lack_of_part_of_a_server_left_to_decode_servers() {
    let mut planner = StagePlanner::default();
    for second in 0..30 {
        let decided = planner.decide(at(second * 1000), sizes(2, 7), work(0.12, 0.33));
        assert_eq!(decided, None);
    }
}

#[test]
fn small_difference_left_alone() {
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
#[case::without_effect(18_900, true)]
#[case::too_old(19_100, false)]
fn change_orders_forgotten_when_late(#[case] millis: u64, #[case] kept: bool) {
    let key = ServerKey::of("i-1");
    let mut orders = ChangeOrders::default();
    orders.record_ordered(at(0), key, ServerStage::Decode, CHANGE_TIME);
    orders.expire(at(millis), |_| Some(Some(ServerStage::Prefill)));
    assert_eq!(orders.target_stage(key).is_some(), kept);
}

#[test]
fn change_orders_of_a_server_that_left_forgotten() {
    let key = ServerKey::of("i-1");
    let mut orders = ChangeOrders::default();
    orders.record_ordered(at(0), key, ServerStage::Decode, CHANGE_TIME);
    orders.expire(at(100), |_| None);
    assert!(!orders.is_excluded(key));
}

#[test]
fn change_orders_leave_failed_servers_for_a_while() {
    let key = ServerKey::of("i-1");
    let mut orders = ChangeOrders::default();
    orders.record_failed(at(0), key);
    orders.expire(at(9900), |_| Some(Some(ServerStage::Prefill)));
    assert!(orders.is_excluded(key));
    assert_eq!(orders.target_stage(key), None, "it does not count for the other pool");
    orders.expire(at(10_100), |_| Some(Some(ServerStage::Prefill)));
    assert!(!orders.is_excluded(key));
}

#[test]
fn change_orders_drop_what_the_engine_refused() {
    let key = ServerKey::of("i-1");
    let mut orders = ChangeOrders::default();
    orders.record_ordered(at(0), key, ServerStage::Decode, CHANGE_TIME);
    orders.record_refused(key);
    assert!(!orders.is_excluded(key));
}

#[test]
fn first_holder_orders_at_once_and_not_for_long() {
    let mut lease = OrderLease::default();
    let record = OrderLease::next_record(None, "a");
    lease.record_write(at(0), at(10), None, &record, LEASE);
    assert_eq!(lease.fence(at(500)), Some(1));
    assert_eq!(lease.fence(at(1100)), None, "counted from when the write was sent");
}

#[test]
fn takeover_waits_for_the_last_holder() {
    let mut lease = OrderLease::default();
    let held = LeaseRecord { holder: "a".to_owned(), fence: 7 };
    let record = OrderLease::next_record(Some(&held), "b");
    assert_eq!(record.fence, 8);
    lease.record_write(at(0), at(10), Some(&held), &record, LEASE);
    assert_eq!(lease.fence(at(20)), None);
    assert!(lease.is_waiting(at(4400)));
    assert!(!lease.is_waiting(at(4600)), "1 s of orders, the lease, and a margin have passed");
    let next = OrderLease::next_record(Some(&record), "b");
    lease.record_write(at(4600), at(4610), Some(&record), &next, LEASE);
    assert_eq!(lease.fence(at(4700)), Some(9));
}

/// A second takeover in between: the wait begins anew for who comes back.
#[test]
fn former_holder_that_returns_waits_too() {
    let mut lease = OrderLease::default();
    let first = OrderLease::next_record(None, "a");
    lease.record_write(at(0), at(10), None, &first, LEASE);
    let other = OrderLease::next_record(Some(&first), "b");
    let again = OrderLease::next_record(Some(&other), "a");
    lease.record_write(at(900), at(910), Some(&other), &again, LEASE);
    assert_eq!(lease.fence(at(920)), None);
}

/// Pattern: the giver of orders ends while a quarter of the servers change. Its successor planned the
/// same changes again, asked each engine, and ordered nothing else for twelve seconds.
#[test]
fn successor_counts_changes_that_it_heard_of() {
    let mut changes = StageChanges::default();
    let servers: Vec<ServerKey> = (0..40).map(NameKey).collect();
    for server in &servers {
        changes.record_announcement(at(0), *server, ServerStage::Decode);
    }
    // The death of the giver is noticed within 3 s, after which nobody repeats its news.
    let mut orders = ChangeOrders::default();
    for (server, to) in changes.announced(at(3000)) {
        orders.record_ordered(at(3000), server, to, Duration::from_secs(6));
    }
    assert!(servers.iter().all(|server| orders.target_stage(*server) == Some(ServerStage::Decode)));
    assert_eq!(orders.pending_count(), 40);
    assert_eq!(changes.announced(at(7100)).count(), 0);
}

/// Pattern: a fleet of thousands of engines that a few hundred requests a second nearly leave idle. Nobody waits in either
/// pool, so neither gets a server of the other one; a pool that fills up does.
#[rstest]
#[case::idle_fleet(ServerStage::Decode, sizes(3_368, 6_255), 140.0, true)]
#[case::idle_fleet_of_twice_the_size(ServerStage::Decode, sizes(6_736, 12_510), 280.0, true)]
#[case::idle_prefills(ServerStage::Prefill, sizes(100, 9_523), 140.0, true)]
#[case::no_prefills(ServerStage::Prefill, sizes(0, 9_623), 140.0, false)]
#[case::usual_load(ServerStage::Decode, sizes(4, 8), 12.0, false)]
#[case::burst_on_a_small_fleet(ServerStage::Prefill, sizes(2, 10), 12.0, false)]
fn pool_with_room_is_left_alone(
    #[case] stage: ServerStage,
    #[case] sizes: PoolSizes,
    #[case] per_second: f64,
    #[case] expected: bool,
) {
    assert_eq!(has_spare_capacity(stage, sizes, work(0.1, 0.35), per_second), expected);
}
