//! The view of the backend servers: changes, lapses near an outage, and who watches the store.

use rstest::rstest;
use std::time::Duration;
use tealcleat::fleet::{
    DutyView, FleetChange, FleetView, RefusedHosts, ServerEntry, ServerState, WatchDuty, watch_duty,
};
use tealcleat::keys::{IncarnationId, NameKey, ServerKey, TimePoint};
use tealcleat::membership::ViewMark;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn server(id: &str, state: ServerState) -> ServerEntry {
    ServerEntry {
        id: id.to_owned(),
        service: NameKey::of("app"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: NameKey::of("a"),
        state,
        stage: None,
        slots: 4,
    }
}

fn ready_ids(view: &FleetView) -> Vec<String> {
    let mut ids: Vec<String> =
        view.ready(NameKey::of("app")).map(|entry| entry.id.clone()).collect();
    ids.sort();
    ids
}

fn view_of(ids: &[&str]) -> FleetView {
    let mut view = FleetView::default();
    let entries = ids.iter().map(|id| server(id, ServerState::Ready)).collect();
    view.replace_all(at(0), 10, entries);
    view
}

#[test]
fn removal_in_calm_takes_effect_at_once() {
    let mut view = view_of(&["a", "b"]);
    view.apply(at(100), 11, vec![FleetChange::Removed(ServerKey::of("a"))]);
    assert_eq!(ready_ids(&view), ["b"]);
}

#[test]
fn draining_server_gets_no_new_work() {
    let mut view = view_of(&["a", "b"]);
    view.apply(at(100), 11, vec![FleetChange::Stated(server("a", ServerState::Draining))]);
    assert_eq!(ready_ids(&view), ["b"]);
}

#[test]
fn lapse_near_outage_waits_for_its_return() {
    let mut view = view_of(&["a", "b"]);
    view.note_store_heard(at(100), Duration::ZERO);
    view.note_store_heard(at(5000), Duration::ZERO);
    view.apply(at(5010), 12, vec![FleetChange::Removed(ServerKey::of("a"))]);
    assert_eq!(ready_ids(&view), ["a", "b"], "it may come back");
    assert!(view.expire(at(6900)).is_empty());
    assert_eq!(view.expire(at(7300)).len(), 1, "still missing, so gone");
    assert_eq!(ready_ids(&view), ["b"]);
}

/// Bench: panelbridge-kr hunt-131b-3 (DRAIN). The store had turned this host away and served the
/// others; the host took a removal just after its own return for a lapse and used the server on.
#[test]
fn removal_after_own_refusal_takes_effect_at_once() {
    let mut view = view_of(&["a", "b"]);
    for second in 0..10 {
        view.note_store_heard(at(second * 1000), Duration::from_millis(400));
    }
    view.note_store_heard(at(9500), Duration::ZERO);
    view.apply(at(9800), 12, vec![FleetChange::Removed(ServerKey::of("a"))]);
    assert_eq!(ready_ids(&view), ["b"]);
}

#[test]
fn lapse_waits_at_hosts_that_only_heard_of_the_return() {
    let mut view = view_of(&["a", "b"]);
    view.note_store_heard(at(100), Duration::ZERO);
    view.note_store_heard(at(5200), Duration::from_millis(200));
    view.note_store_heard(at(5300), Duration::ZERO);
    view.apply(at(5310), 12, vec![FleetChange::Removed(ServerKey::of("a"))]);
    assert_eq!(ready_ids(&view), ["a", "b"], "it may come back");
    assert_eq!(view.expire(at(7250)).len(), 1, "2.2 s after the store's return");
}

#[test]
fn lapsed_entry_that_returns_stays() {
    let mut view = view_of(&["a"]);
    view.note_store_heard(at(100), Duration::ZERO);
    view.note_store_heard(at(5000), Duration::ZERO);
    view.apply(at(5010), 12, vec![FleetChange::Removed(ServerKey::of("a"))]);
    view.apply(at(5900), 13, vec![FleetChange::Stated(server("a", ServerState::Ready))]);
    assert!(view.expire(at(20_000)).is_empty());
    assert_eq!(ready_ids(&view), ["a"]);
}

#[test]
fn draining_server_that_goes_near_outage_is_gone() {
    let mut view = view_of(&["a", "b"]);
    view.apply(at(100), 11, vec![FleetChange::Stated(server("a", ServerState::Draining))]);
    view.note_store_heard(at(100), Duration::ZERO);
    view.note_store_heard(at(5000), Duration::ZERO);
    view.apply(at(5010), 12, vec![FleetChange::Removed(ServerKey::of("a"))]);
    assert!(view.entry(ServerKey::of("a")).is_none());
}

#[test]
fn older_listing_never_undoes_newer_changes() {
    let mut view = view_of(&["a"]);
    view.apply(at(100), 15, vec![FleetChange::Removed(ServerKey::of("a"))]);
    view.replace_all(at(200), 12, vec![server("a", ServerState::Ready)]);
    assert!(ready_ids(&view).is_empty());
}

#[test]
fn adopted_view_keeps_the_time_left_of_lapses() {
    let mut first = view_of(&["a", "b"]);
    first.note_store_heard(at(100), Duration::ZERO);
    first.note_store_heard(at(5000), Duration::ZERO);
    first.apply(at(5010), 12, vec![FleetChange::Removed(ServerKey::of("a"))]);
    let mut second = view_of(&["a", "b"]);
    second.adopt(at(100), first.news(at(6000)));
    assert_eq!(ready_ids(&second), ["a", "b"]);
    assert!(second.expire(at(1200)).is_empty());
    assert_eq!(second.expire(at(1400)).len(), 1, "1.2 s were left");
}

#[rstest]
#[case::elected(true, true, 0, None, WatchDuty::Watch)]
#[case::uninformed(false, false, 0, None, WatchDuty::Watch)]
#[case::calm(true, false, 1500, None, WatchDuty::Hear)]
#[case::watcher_cut_off(true, false, 4400, None, WatchDuty::Doubt)]
#[case::refused_just_now(true, false, 500, Some(1900), WatchDuty::Hear)]
#[case::refused_a_while_ago(true, false, 500, Some(2000), WatchDuty::Doubt)]
#[case::refused_but_nobody_else(true, true, 500, Some(10), WatchDuty::Watch)]
fn watch_duty_follows(
    #[case] informed: bool,
    #[case] elected: bool,
    #[case] store_age_ms: u64,
    #[case] refused_for_ms: Option<u64>,
    #[case] expected: WatchDuty,
) {
    let store_age = Duration::from_millis(store_age_ms);
    let refused_for = refused_for_ms.map(Duration::from_millis);
    let view = DutyView { informed, elected, store_age, refused_for, salt: 1234 };
    assert_eq!(watch_duty(&view), expected);
}

/// Bench: panelbridge-kr, the own day `storm`, seed 1 (CONFIG). The store turned the watchers of all
/// three domains away; they stayed elected, and the others asked only every 2.5 s.
#[test]
fn refused_hosts_not_elected_while_others_are_answered() {
    let mut refused = RefusedHosts::default();
    let hosts = [IncarnationId(1), IncarnationId(2), IncarnationId(3)];
    let answered = |refused: &RefusedHosts, millis| -> Vec<u64> {
        let candidates = hosts.iter().map(|host| (host.0, ()));
        refused.answered(at(millis), candidates).into_iter().map(|(host, ())| host).collect()
    };
    assert!(refused.note(at(0), hosts[0], true));
    assert!(!refused.note(at(500), hosts[0], true), "nothing new");
    assert_eq!(answered(&refused, 600), [2, 3]);
    refused.note(at(600), hosts[1], true);
    refused.note(at(600), hosts[2], true);
    assert_eq!(answered(&refused, 700), [1, 2, 3], "somebody has to ask");
    assert!(refused.note(at(800), hosts[0], false));
    assert_eq!(answered(&refused, 900), [1]);
    assert_eq!(answered(&refused, 6700), [1, 2, 3], "they do not repeat it");
}

/// A first version compared the newest revision of both parts: hosts whose list of servers was
/// newer than the configuration never asked for it (bench: halvorsen-book scale-1, CONFIG).
#[test]
fn view_mark_behind_in_either_part() {
    let mark = |config_version, fleet_revision| ViewMark { config_version, fleet_revision };
    assert!(mark(3, 25).is_behind(mark(6, 24)));
    assert!(mark(6, 24).is_behind(mark(3, 25)));
    assert!(!mark(6, 25).is_behind(mark(6, 25)));
}
