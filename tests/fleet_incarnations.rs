//! Incarnations of a server with one id: which one is valid for new work, for updates between hosts and for
//! orders.

use rstest::rstest;
use std::time::Duration;
use tealcleat::fleet::{
    FleetChange, FleetView, IncarnationOutcome, ServerEntry, ServerStage, ServerState, StageChanges,
};
use tealcleat::keys::{NameKey, ServerKey, TimePoint};
use tealcleat::orders::{ChangeOrders, EngineState, OrderStep, order_step};

const CHANGE_TIME: Duration = Duration::from_secs(6);

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

/// An engine that does not report its start time.
fn server(id: &str) -> ServerEntry {
    ServerEntry {
        id: id.to_owned(),
        started_at: None,
        version: "v1".to_owned(),
        service: NameKey::of("engines"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: NameKey::of("a"),
        state: ServerState::Ready,
        stage: Some(ServerStage::Prefill),
        slots: 4,
        cold_ms: 0,
    }
}

/// An incarnation of a server that started at `started_at`.
fn incarnation(id: &str, started_at: u64) -> ServerEntry {
    ServerEntry { started_at: Some(started_at), ..server(id) }
}

fn view_of(id: &str, started_at: u64) -> FleetView {
    let mut view = FleetView::default();
    view.replace_all(at(0), 10, vec![incarnation(id, started_at)]);
    view
}

/// Start times of the incarnations that a view has for an id.
fn start_times(view: &FleetView, id: &str) -> Vec<Option<u64>> {
    view.entries().filter(|entry| entry.id == id).map(|entry| entry.started_at).collect()
}

fn outage(view: &mut FleetView) {
    view.record_store_answer(at(100), Duration::ZERO);
    view.record_store_answer(at(5000), Duration::ZERO);
}

#[test]
fn key_without_start_time_is_id_key() {
    assert_eq!(server("a").key(), ServerKey::of("a"));
}

#[test]
fn keys_of_two_incarnations_differ() {
    assert_ne!(incarnation("a", 100).key(), incarnation("a", 200).key());
    assert_ne!(incarnation("a", 100).key(), server("a").key());
    assert_ne!(incarnation("a", 100).key(), incarnation("b", 100).key());
    assert_eq!(incarnation("a", 100).id_key(), incarnation("a", 200).id_key());
}

/// A server may start to report its start time after a software update.
#[rstest]
#[case::both_report_start(Some(100))]
#[case::only_later_reports_start(None)]
fn later_incarnation_replaces_former(#[case] started_at: Option<u64>) {
    let former = ServerEntry { started_at, ..server("a") };
    let mut view = FleetView::default();
    view.replace_all(at(0), 10, vec![former.clone()]);
    view.apply(at(100), 11, vec![FleetChange::Updated(incarnation("a", 200))]);
    assert_eq!(start_times(&view, "a"), [Some(200)]);
    assert!(!view.is_ready(former.key()), "the former incarnation was chosen earlier");
    assert!(view.entry(former.key()).is_none());
    assert!(view.is_ready(incarnation("a", 200).key()));
}

/// The caller gets the change, so that it can log it and drop the state of the former key.
#[rstest]
#[case::restarted(200, Some(IncarnationOutcome::Restarted))]
#[case::the_same(100, None)]
#[case::outdated(50, Some(IncarnationOutcome::Outdated))]
fn update_of_another_incarnation_returned(
    #[case] started_at: u64,
    #[case] expected: Option<IncarnationOutcome>,
) {
    let listed = view_of("a", 100).replace_all(at(100), 11, vec![incarnation("a", started_at)]);
    let updated = FleetChange::Updated(incarnation("a", started_at));
    let applied = view_of("a", 100).apply(at(100), 11, vec![updated.clone()]);
    let mut other = view_of("b", 1);
    other.apply(at(100), 11, vec![updated]);
    let adopted = view_of("a", 100).apply_update(at(100), other.update_since(at(100), 10));
    for changes in [listed, applied, adopted] {
        assert_eq!(changes.first().map(|change| change.outcome), expected);
        assert!(changes.iter().all(|change| change.known == incarnation("a", 100).key()));
    }
}

#[test]
fn removed_server_has_not_restarted() {
    let mut view = view_of("a", 100);
    assert!(!view.has_restarted(&incarnation("a", 100)));
    view.apply(at(100), 11, vec![FleetChange::Removed(ServerKey::of("a"))]);
    assert!(!view.has_restarted(&incarnation("a", 100)), "it may still serve requests");
    view.apply(at(200), 12, vec![FleetChange::Updated(incarnation("a", 200))]);
    assert!(view.has_restarted(&incarnation("a", 100)));
}

/// The expected count of orders is that of the incarnation that reported it.
#[rstest]
#[case::planned_incarnation(Some(100), false, ServerStage::Prefill, OrderStep::Order { orders_taken: 3 })]
#[case::start_not_reported(None, false, ServerStage::Prefill, OrderStep::Order { orders_taken: 3 })]
#[case::busy(Some(100), true, ServerStage::Prefill, OrderStep::UnderWay)]
#[case::done(Some(100), false, ServerStage::Decode, OrderStep::UnderWay)]
#[case::next_incarnation(Some(200), false, ServerStage::Prefill, OrderStep::Restarted)]
#[case::next_incarnation_busy(Some(200), true, ServerStage::Prefill, OrderStep::Restarted)]
#[case::next_incarnation_at_target_stage(
    Some(200),
    false,
    ServerStage::Decode,
    OrderStep::Restarted
)]
fn order_step_follows_the_report(
    #[case] started_at: Option<u64>,
    #[case] busy: bool,
    #[case] stage: ServerStage,
    #[case] expected: OrderStep,
) {
    let state = EngineState { started_at, stage: Some(stage), busy, orders_taken: 3 };
    assert_eq!(order_step(&incarnation("i-1", 100), ServerStage::Decode, &state), expected);
}

#[test]
fn draining_incarnation_replaced_by_ready_one() {
    let mut view = view_of("a", 100);
    let draining = ServerEntry { state: ServerState::Draining, ..incarnation("a", 100) };
    view.apply(at(100), 11, vec![FleetChange::Updated(draining)]);
    view.apply(at(200), 12, vec![FleetChange::Updated(incarnation("a", 200))]);
    assert!(view.is_ready(incarnation("a", 200).key()));
}

#[rstest]
#[case::earlier(Some(100))]
#[case::without_start_time(None)]
fn earlier_incarnation_changes_nothing(#[case] started_at: Option<u64>) {
    let late = ServerEntry { started_at, state: ServerState::Draining, ..incarnation("a", 100) };
    let mut view = view_of("a", 200);
    view.apply(at(100), 11, vec![FleetChange::Updated(late.clone())]);
    assert_eq!(start_times(&view, "a"), [Some(200)]);
    assert!(view.is_ready(incarnation("a", 200).key()));
    assert!(view.update_since(at(150), 10).servers.is_empty(), "no change to send");
    view.replace_all(at(200), 12, vec![late]);
    assert_eq!(start_times(&view, "a"), [Some(200)]);
    assert!(view.is_ready(incarnation("a", 200).key()));
    assert!(view.update_since(at(300), 12).servers.is_empty(), "no change to send");
    // After a listing a host that is behind it gets all servers, and they are as before.
    let mut follower = view_of("a", 200);
    follower.apply_update(at(300), view.update_since(at(300), 10));
    assert_eq!(start_times(&follower, "a"), [Some(200)]);
    assert!(follower.is_ready(incarnation("a", 200).key()));
}

#[test]
fn removal_applies_to_any_incarnation() {
    let mut view = view_of("a", 200);
    view.apply(at(100), 11, vec![FleetChange::Removed(ServerKey::of("a"))]);
    assert!(start_times(&view, "a").is_empty());
    assert!(!view.is_ready(incarnation("a", 200).key()));
}

#[test]
fn expired_server_that_returns_with_another_start_is_another_incarnation() {
    let mut view = view_of("a", 100);
    outage(&mut view);
    view.apply(at(5010), 12, vec![FleetChange::Removed(ServerKey::of("a"))]);
    assert!(view.is_ready(incarnation("a", 100).key()), "it may come back");
    view.apply(at(5500), 13, vec![FleetChange::Updated(incarnation("a", 200))]);
    assert_eq!(start_times(&view, "a"), [Some(200)]);
    assert!(!view.is_ready(incarnation("a", 100).key()));
    assert!(view.expire(at(9000)).is_empty(), "the new incarnation has not expired");
}

#[test]
fn expired_server_that_returns_with_its_start_is_the_same_incarnation() {
    let mut view = view_of("a", 100);
    outage(&mut view);
    view.replace_all(at(5010), 12, Vec::new());
    view.replace_all(at(5500), 13, vec![incarnation("a", 100)]);
    assert!(view.is_ready(incarnation("a", 100).key()));
    assert!(view.expire(at(9000)).is_empty());
}

#[test]
fn expiry_applies_to_any_incarnation() {
    let mut view = view_of("a", 100);
    outage(&mut view);
    view.apply(at(5010), 12, vec![FleetChange::Removed(ServerKey::of("a"))]);
    assert_eq!(view.expire(at(9000)), [incarnation("a", 100)]);
    let mut behind = view_of("a", 100);
    behind.apply_update(at(9000), view.update_since(at(9000), 10));
    assert!(start_times(&behind, "a").is_empty());
}

#[test]
fn partial_update_replaces_former_incarnation() {
    let mut first = view_of("a", 100);
    let mut second = view_of("a", 100);
    first.apply(at(100), 11, vec![FleetChange::Updated(incarnation("a", 200))]);
    let update = first.update_since(at(200), second.revision());
    assert!(update.is_partial);
    assert!(update.removed.is_empty(), "the id still exists");
    second.apply_update(at(200), update);
    assert_eq!(start_times(&second, "a"), [Some(200)]);
    assert!(!second.is_ready(incarnation("a", 100).key()));
}

#[test]
fn partial_update_removes_any_incarnation() {
    let mut first = view_of("a", 200);
    let mut second = view_of("a", 100);
    first.apply(at(100), 11, vec![FleetChange::Removed(ServerKey::of("a"))]);
    second.apply_update(at(200), first.update_since(at(200), 10));
    assert!(start_times(&second, "a").is_empty());
}

/// A server was removed and started again: a host that missed both changes receives one.
#[test]
fn partial_update_of_a_server_that_was_removed_and_restarted() {
    let mut first = view_of("a", 100);
    let mut second = view_of("a", 100);
    first.apply(at(100), 11, vec![FleetChange::Removed(ServerKey::of("a"))]);
    first.apply(at(200), 12, vec![FleetChange::Updated(incarnation("a", 200))]);
    let update = first.update_since(at(300), 10);
    assert_eq!((update.servers.len(), update.removed.len()), (1, 0));
    second.apply_update(at(300), update);
    assert_eq!(start_times(&second, "a"), [Some(200)]);
}

/// The other host listed the store after a late write of the former incarnation, and never knew the new one.
#[rstest]
#[case::whole_view(0)]
#[case::changes(10)]
fn update_of_an_earlier_incarnation_changes_nothing(#[case] since: u64) {
    let mut first = view_of("a", 100);
    first.apply(at(100), 12, vec![FleetChange::Updated(incarnation("b", 50))]);
    let late = ServerEntry { slots: 9, ..incarnation("a", 100) };
    first.apply(at(200), 13, vec![FleetChange::Updated(late)]);
    let mut second = view_of("a", 200);
    second.apply_update(at(300), first.update_since(at(300), since));
    assert_eq!(start_times(&second, "a"), [Some(200)]);
    assert_eq!(start_times(&second, "b"), [Some(50)]);
    assert!(second.is_ready(incarnation("a", 200).key()));
}

/// A pending order, a pause after a failed order, a change that another host ordered and a suspicion all end with the
/// incarnation that they are about.
#[test]
fn orders_of_a_former_incarnation_not_counted_for_the_next() {
    let (former, next) = (incarnation("i-1", 100), incarnation("i-1", 200));
    let mut fleet = FleetView::default();
    fleet.replace_all(at(0), 10, vec![former.clone()]);
    let mut orders = ChangeOrders::default();
    orders.record_ordered(at(0), former.key(), ServerStage::Decode, CHANGE_TIME);
    orders.record_failed(at(0), former.key());
    let mut changes = StageChanges::default();
    changes.record_order(former.key(), ServerStage::Decode);
    changes.record_announcement(at(0), former.key(), ServerStage::Decode);
    changes.record_suspicion(at(0), former.key());
    assert!(changes.is_changing(at(10), &former));
    fleet.apply(at(20), 11, vec![FleetChange::Updated(next.clone())]);
    orders.expire(at(30), |key| fleet.entry(key).map(|entry| entry.stage));
    assert_eq!(orders.pending_count(), 0);
    assert_eq!(orders.target_stage(next.key()), None);
    assert!(!orders.is_excluded(next.key()));
    assert!(!changes.is_changing(at(30), &next));
}
