//! The view of the backend servers: changes, lapses near an outage, and what hosts tell each other.

use std::time::Duration;
use tealcleat::fleet::{FleetChange, FleetView, ServerEntry, ServerState};
use tealcleat::keys::{NameKey, ServerKey, TimePoint};
use tealcleat::membership::ViewMark;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn server(id: &str, state: ServerState) -> ServerEntry {
    ServerEntry {
        id: id.to_owned(),
        started_at: None,
        service: NameKey::of("app"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: NameKey::of("a"),
        state,
        stage: None,
        slots: 4,
        cold_ms: 0,
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

/// An entry that names no server to use is no lapse: no outage keeps its server.
#[test]
fn unusable_entry_takes_effect_at_once_near_an_outage() {
    let mut view = view_of(&["a", "b"]);
    view.record_store_answer(at(0), Duration::ZERO);
    view.record_store_answer(at(5000), Duration::ZERO);
    view.apply(at(5010), 12, vec![FleetChange::Unusable(ServerKey::of("a"))]);
    assert_eq!(ready_ids(&view), ["b"]);
    assert_eq!(view.revision(), 12);
    let news = view.update_since(at(5020), 10);
    assert_eq!(news.removed, [(ServerKey::of("a"), 12)]);
}

/// A listing that lacks a server keeps it near an outage, unless the entry is there and unusable.
#[test]
fn unusable_entry_of_a_listing_ends_a_lapse() {
    let mut view = view_of(&["a", "b"]);
    view.record_store_answer(at(0), Duration::ZERO);
    view.record_store_answer(at(5000), Duration::ZERO);
    view.replace_all(at(5010), 12, Vec::new());
    assert_eq!(ready_ids(&view), ["a", "b"]);
    view.apply(at(5010), 12, vec![FleetChange::Unusable(ServerKey::of("a"))]);
    assert_eq!(ready_ids(&view), ["b"]);
}

#[test]
fn unusable_entry_of_an_unknown_server_moves_the_revision_on() {
    let mut view = view_of(&["a"]);
    view.apply(at(100), 12, vec![FleetChange::Unusable(ServerKey::of("c"))]);
    assert_eq!(ready_ids(&view), ["a"]);
    assert_eq!(view.revision(), 12);
    assert_eq!(view.update_since(at(100), 10).removed, []);
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
    view.apply(at(100), 11, vec![FleetChange::Updated(server("a", ServerState::Draining))]);
    assert_eq!(ready_ids(&view), ["b"]);
}

#[test]
fn lapse_near_outage_waits_for_its_return() {
    let mut view = view_of(&["a", "b"]);
    view.record_store_answer(at(100), Duration::ZERO);
    view.record_store_answer(at(5000), Duration::ZERO);
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
        view.record_store_answer(at(second * 1000), Duration::from_millis(400));
    }
    view.record_store_answer(at(9500), Duration::ZERO);
    view.apply(at(9800), 12, vec![FleetChange::Removed(ServerKey::of("a"))]);
    assert_eq!(ready_ids(&view), ["b"]);
}

#[test]
fn lapse_waits_at_hosts_that_only_heard_of_the_return() {
    let mut view = view_of(&["a", "b"]);
    view.record_store_answer(at(100), Duration::ZERO);
    view.record_store_answer(at(5200), Duration::from_millis(200));
    view.record_store_answer(at(5300), Duration::ZERO);
    view.apply(at(5310), 12, vec![FleetChange::Removed(ServerKey::of("a"))]);
    assert_eq!(ready_ids(&view), ["a", "b"], "it may come back");
    assert_eq!(view.expire(at(7250)).len(), 1, "2.2 s after the store's return");
}

#[test]
fn lapsed_entry_that_returns_stays() {
    let mut view = view_of(&["a"]);
    view.record_store_answer(at(100), Duration::ZERO);
    view.record_store_answer(at(5000), Duration::ZERO);
    view.apply(at(5010), 12, vec![FleetChange::Removed(ServerKey::of("a"))]);
    view.apply(at(5900), 13, vec![FleetChange::Updated(server("a", ServerState::Ready))]);
    assert!(view.expire(at(20_000)).is_empty());
    assert_eq!(ready_ids(&view), ["a"]);
}

#[test]
fn draining_server_that_goes_near_outage_is_gone() {
    let mut view = view_of(&["a", "b"]);
    view.apply(at(100), 11, vec![FleetChange::Updated(server("a", ServerState::Draining))]);
    view.record_store_answer(at(100), Duration::ZERO);
    view.record_store_answer(at(5000), Duration::ZERO);
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
    first.record_store_answer(at(100), Duration::ZERO);
    first.record_store_answer(at(5000), Duration::ZERO);
    first.apply(at(5010), 12, vec![FleetChange::Removed(ServerKey::of("a"))]);
    let mut second = view_of(&["a", "b"]);
    second.apply_update(at(100), first.update_since(at(6000), 0));
    assert_eq!(ready_ids(&second), ["a", "b"]);
    assert!(second.expire(at(1200)).is_empty());
    assert_eq!(second.expire(at(1400)).len(), 1, "1.2 s were left");
}

/// Pattern: changes of few servers among hundreds, told to every host. Whole views were 24 KB each
/// for 266 servers and 270 KB for 3,000.
#[test]
fn news_since_tells_only_what_changed() {
    let names: Vec<String> = (0..300).map(|place| format!("server-{place}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut first = view_of(&names);
    let mut second = FleetView::default();
    second.apply_update(at(0), first.update_since(at(0), second.revision()));
    first.apply(at(100), 11, vec![FleetChange::Removed(ServerKey::of("server-7"))]);
    first.apply(at(200), 14, vec![FleetChange::Updated(server("server-8", ServerState::Draining))]);
    let news = first.update_since(at(300), second.revision());
    assert!(news.is_partial);
    assert_eq!((news.servers.len(), news.removed.len()), (1, 1));
    second.apply_update(at(300), news);
    assert_eq!(ready_ids(&second), ready_ids(&first));
    assert_eq!(second.revision(), 14);
}

#[test]
fn news_since_an_unknown_revision_tells_all() {
    let mut view = view_of(&["a", "b"]);
    view.apply(at(100), 11, vec![FleetChange::Removed(ServerKey::of("a"))]);
    let news = view.update_since(at(200), 9);
    assert!(!news.is_partial, "changes before the listing at 10 are not known one by one");
    let mut behind = view_of(&["a", "c"]);
    behind.apply_update(at(200), news);
    assert_eq!(ready_ids(&behind), ["b"]);
}

#[test]
fn news_since_tells_of_servers_that_returned_and_lapsed() {
    let mut first = view_of(&["a", "b", "c"]);
    let mut second = view_of(&["a", "b", "c"]);
    first.apply(at(100), 11, vec![FleetChange::Removed(ServerKey::of("a"))]);
    first.apply(at(200), 12, vec![FleetChange::Updated(server("a", ServerState::Ready))]);
    first.record_store_answer(at(300), Duration::ZERO);
    first.record_store_answer(at(5000), Duration::ZERO);
    first.apply(at(5010), 13, vec![FleetChange::Removed(ServerKey::of("b"))]);
    assert_eq!(first.expire(at(9000)).len(), 1);
    second.apply_update(at(9000), first.update_since(at(9000), 10));
    assert_eq!(ready_ids(&second), ["a", "c"]);
}

/// A listing again after a lost history must not lose what the listing no longer has.
#[test]
fn news_since_covers_a_second_listing() {
    let mut first = view_of(&["a", "b"]);
    let mut second = view_of(&["a", "b"]);
    first.replace_all(at(100), 20, vec![server("b", ServerState::Ready)]);
    let news = first.update_since(at(200), 10);
    assert!(news.is_partial);
    second.apply_update(at(200), news);
    assert_eq!(ready_ids(&second), ["b"]);
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
