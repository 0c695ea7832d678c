//! Lives of a server under one id: which one counts, for new work, in what hosts tell each other, and for
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

/// An engine that does not say when its life began.
fn server(id: &str) -> ServerEntry {
    ServerEntry {
        id: id.to_owned(),
        started_at: None,
        service: NameKey::of("engines"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: NameKey::of("a"),
        state: ServerState::Ready,
        stage: Some(ServerStage::Prefill),
        slots: 4,
        cold_ms: 0,
    }
}

/// A server whose life began at `started_at`.
fn life(id: &str, started_at: u64) -> ServerEntry {
    ServerEntry { started_at: Some(started_at), ..server(id) }
}

fn view_of_life(id: &str, started_at: u64) -> FleetView {
    let mut view = FleetView::default();
    view.replace_all(at(0), 10, vec![life(id, started_at)]);
    view
}

/// When the lives began that a view has under an id.
fn births(view: &FleetView, id: &str) -> Vec<Option<u64>> {
    view.entries().filter(|entry| entry.id == id).map(|entry| entry.started_at).collect()
}

fn outage(view: &mut FleetView) {
    view.record_store_answer(at(100), Duration::ZERO);
    view.record_store_answer(at(5000), Duration::ZERO);
}

#[test]
fn key_without_a_start_is_that_of_the_id() {
    assert_eq!(server("a").key(), ServerKey::of("a"));
}

#[test]
fn keys_of_two_lives_differ() {
    assert_ne!(life("a", 100).key(), life("a", 200).key());
    assert_ne!(life("a", 100).key(), server("a").key());
    assert_ne!(life("a", 100).key(), life("b", 100).key());
    assert_eq!(life("a", 100).id_key(), life("a", 200).id_key());
}

/// A server may begin to say when it started, with a newer software.
#[rstest]
#[case::both_say_it(Some(100))]
#[case::first_start_said(None)]
fn later_life_replaces_the_former_one(#[case] started_at: Option<u64>) {
    let former = ServerEntry { started_at, ..server("a") };
    let mut view = FleetView::default();
    view.replace_all(at(0), 10, vec![former.clone()]);
    view.apply(at(100), 11, vec![FleetChange::Updated(life("a", 200))]);
    assert_eq!(births(&view, "a"), [Some(200)]);
    assert!(!view.is_ready(former.key()), "a choice made earlier");
    assert!(view.entry(former.key()).is_none());
    assert!(view.is_ready(life("a", 200).key()));
}

/// Whoever logs news and drops what is kept under a former key is told of both.
#[rstest]
#[case::restarted(200, Some(IncarnationOutcome::Restarted))]
#[case::the_same(100, None)]
#[case::outdated(50, Some(IncarnationOutcome::Outdated))]
fn news_of_another_life_returned(
    #[case] started_at: u64,
    #[case] expected: Option<IncarnationOutcome>,
) {
    let listed = view_of_life("a", 100).replace_all(at(100), 11, vec![life("a", started_at)]);
    let stated = FleetChange::Updated(life("a", started_at));
    let applied = view_of_life("a", 100).apply(at(100), 11, vec![stated.clone()]);
    let mut other = view_of_life("b", 1);
    other.apply(at(100), 11, vec![stated]);
    let adopted = view_of_life("a", 100).apply_update(at(100), other.update_since(at(100), 10));
    for lives in [listed, applied, adopted] {
        assert_eq!(lives.first().map(|change| change.outcome), expected);
        assert!(lives.iter().all(|change| change.known == life("a", 100).key()));
    }
}

#[test]
fn server_that_only_left_has_not_restarted() {
    let mut view = view_of_life("a", 100);
    assert!(!view.has_restarted(&life("a", 100)));
    view.apply(at(100), 11, vec![FleetChange::Removed(ServerKey::of("a"))]);
    assert!(!view.has_restarted(&life("a", 100)), "it serves on for a while");
    view.apply(at(200), 12, vec![FleetChange::Updated(life("a", 200))]);
    assert!(view.has_restarted(&life("a", 100)));
}

/// The count of orders that is expected is that of the life which reported it.
#[rstest]
#[case::planned_life(Some(100), false, ServerStage::Prefill, OrderStep::Order { orders_taken: 3 })]
#[case::no_start_said(None, false, ServerStage::Prefill, OrderStep::Order { orders_taken: 3 })]
#[case::busy(Some(100), true, ServerStage::Prefill, OrderStep::UnderWay)]
#[case::done(Some(100), false, ServerStage::Decode, OrderStep::UnderWay)]
#[case::next_life(Some(200), false, ServerStage::Prefill, OrderStep::Restarted)]
#[case::next_life_busy(Some(200), true, ServerStage::Prefill, OrderStep::Restarted)]
#[case::next_life_at_its_goal(Some(200), false, ServerStage::Decode, OrderStep::Restarted)]
fn order_step_follows_the_report(
    #[case] started_at: Option<u64>,
    #[case] busy: bool,
    #[case] stage: ServerStage,
    #[case] expected: OrderStep,
) {
    let state = EngineState { started_at: started_at, stage: Some(stage), busy, orders_taken: 3 };
    assert_eq!(order_step(&life("i-1", 100), ServerStage::Decode, &state), expected);
}

#[test]
fn draining_life_replaced_by_one_that_is_ready() {
    let mut view = view_of_life("a", 100);
    let leaving = ServerEntry { state: ServerState::Draining, ..life("a", 100) };
    view.apply(at(100), 11, vec![FleetChange::Updated(leaving)]);
    view.apply(at(200), 12, vec![FleetChange::Updated(life("a", 200))]);
    assert!(view.is_ready(life("a", 200).key()));
}

#[rstest]
#[case::earlier(Some(100))]
#[case::without_a_start(None)]
fn earlier_life_changes_nothing(#[case] started_at: Option<u64>) {
    let late = ServerEntry { started_at, state: ServerState::Draining, ..life("a", 100) };
    let mut view = view_of_life("a", 200);
    view.apply(at(100), 11, vec![FleetChange::Updated(late.clone())]);
    assert_eq!(births(&view, "a"), [Some(200)]);
    assert!(view.is_ready(life("a", 200).key()));
    view.replace_all(at(200), 12, vec![late]);
    assert_eq!(births(&view, "a"), [Some(200)]);
    assert!(view.is_ready(life("a", 200).key()));
    assert!(view.update_since(at(300), 10).servers.is_empty(), "nothing to tell");
}

#[test]
fn removal_takes_whatever_life_is_known() {
    let mut view = view_of_life("a", 200);
    view.apply(at(100), 11, vec![FleetChange::Removed(ServerKey::of("a"))]);
    assert!(births(&view, "a").is_empty());
    assert!(!view.is_ready(life("a", 200).key()));
}

#[test]
fn lapsed_server_that_returns_with_another_start_is_another_life() {
    let mut view = view_of_life("a", 100);
    outage(&mut view);
    view.apply(at(5010), 12, vec![FleetChange::Removed(ServerKey::of("a"))]);
    assert!(view.is_ready(life("a", 100).key()), "it may come back");
    view.apply(at(5500), 13, vec![FleetChange::Updated(life("a", 200))]);
    assert_eq!(births(&view, "a"), [Some(200)]);
    assert!(!view.is_ready(life("a", 100).key()));
    assert!(view.expire(at(9000)).is_empty(), "the new life has not lapsed");
}

#[test]
fn lapsed_server_that_returns_with_its_start_is_the_same_life() {
    let mut view = view_of_life("a", 100);
    outage(&mut view);
    view.replace_all(at(5010), 12, Vec::new());
    view.replace_all(at(5500), 13, vec![life("a", 100)]);
    assert!(view.is_ready(life("a", 100).key()));
    assert!(view.expire(at(9000)).is_empty());
}

#[test]
fn lapse_ends_whatever_life_is_known() {
    let mut view = view_of_life("a", 100);
    outage(&mut view);
    view.apply(at(5010), 12, vec![FleetChange::Removed(ServerKey::of("a"))]);
    assert_eq!(view.expire(at(9000)), [life("a", 100)]);
    let mut behind = view_of_life("a", 100);
    behind.apply_update(at(9000), view.update_since(at(9000), 10));
    assert!(births(&behind, "a").is_empty());
}

#[test]
fn partial_news_replace_the_former_life() {
    let mut first = view_of_life("a", 100);
    let mut second = view_of_life("a", 100);
    first.apply(at(100), 11, vec![FleetChange::Updated(life("a", 200))]);
    let news = first.update_since(at(200), second.revision());
    assert!(news.is_partial);
    assert!(news.removed.is_empty(), "the id is still there");
    second.apply_update(at(200), news);
    assert_eq!(births(&second, "a"), [Some(200)]);
    assert!(!second.is_ready(life("a", 100).key()));
}

#[test]
fn partial_news_remove_whatever_life_is_known() {
    let mut first = view_of_life("a", 200);
    let mut second = view_of_life("a", 100);
    first.apply(at(100), 11, vec![FleetChange::Removed(ServerKey::of("a"))]);
    second.apply_update(at(200), first.update_since(at(200), 10));
    assert!(births(&second, "a").is_empty());
}

/// A server that went, and started again: the host that missed both hears of one change.
#[test]
fn partial_news_of_a_server_that_went_and_started_again() {
    let mut first = view_of_life("a", 100);
    let mut second = view_of_life("a", 100);
    first.apply(at(100), 11, vec![FleetChange::Removed(ServerKey::of("a"))]);
    first.apply(at(200), 12, vec![FleetChange::Updated(life("a", 200))]);
    let news = first.update_since(at(300), 10);
    assert_eq!((news.servers.len(), news.removed.len()), (1, 0));
    second.apply_update(at(300), news);
    assert_eq!(births(&second, "a"), [Some(200)]);
}

/// The other host has listed the store after a late write of the former life, and never knew the new one.
#[rstest]
#[case::whole_view(0)]
#[case::changes(10)]
fn news_of_an_earlier_life_change_nothing(#[case] since: u64) {
    let mut first = view_of_life("a", 100);
    first.apply(at(100), 12, vec![FleetChange::Updated(life("b", 50))]);
    let late = ServerEntry { slots: 9, ..life("a", 100) };
    first.apply(at(200), 13, vec![FleetChange::Updated(late)]);
    let mut second = view_of_life("a", 200);
    second.apply_update(at(300), first.update_since(at(300), since));
    assert_eq!(births(&second, "a"), [Some(200)]);
    assert_eq!(births(&second, "b"), [Some(50)]);
    assert!(second.is_ready(life("a", 200).key()));
}

/// An order that was open, a rest after one that failed, a change that another host ordered and a suspicion
/// are all of the life that ended.
#[test]
fn orders_of_a_former_life_not_counted_for_the_next() {
    let (former, next) = (life("i-1", 100), life("i-1", 200));
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
