//! The view of the backend servers: changes, entries that expire near an outage, and updates between hosts.

use std::time::Duration;
use tealcleat::fleet::{FleetChange, FleetView, ServerState};
use tealcleat::keys::ServerKey;
use tealcleat::membership::ViewMark;

mod view_common;

use view_common::{at, ready_ids, server, view_of};

/// An unusable entry has not expired, so its server is removed at once even near an outage.
#[test]
fn unusable_entry_takes_effect_at_once_near_an_outage() {
    let mut view = view_of(&["a", "b"]);
    view.record_store_answer(at(0), Duration::ZERO);
    view.record_store_answer(at(5000), Duration::ZERO);
    view.apply(at(5010), 12, vec![FleetChange::Unusable(ServerKey::of("a"))]);
    assert_eq!(ready_ids(&view), ["b"]);
    assert_eq!(view.revision(), 12);
    let update = view.update_since(at(5020), 10);
    assert_eq!(update.removed, [(ServerKey::of("a"), 12)]);
}

/// Near an outage a server missing in a listing is kept, unless its entry exists and is unusable.
#[test]
fn unusable_entry_removes_expired_server() {
    let mut view = view_of(&["a", "b"]);
    view.record_store_answer(at(0), Duration::ZERO);
    view.record_store_answer(at(5000), Duration::ZERO);
    view.replace_all(at(5010), 12, Vec::new());
    assert_eq!(ready_ids(&view), ["a", "b"]);
    view.apply(at(5010), 12, vec![FleetChange::Unusable(ServerKey::of("a"))]);
    assert_eq!(ready_ids(&view), ["b"]);
}

#[test]
fn unusable_entry_of_an_unknown_server_advances_the_revision() {
    let mut view = view_of(&["a"]);
    view.apply(at(100), 12, vec![FleetChange::Unusable(ServerKey::of("c"))]);
    assert_eq!(ready_ids(&view), ["a"]);
    assert_eq!(view.revision(), 12);
    assert_eq!(view.update_since(at(100), 10).removed, []);
}

#[test]
fn removal_without_outage_takes_effect_at_once() {
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
fn expired_entry_near_outage_is_kept_for_a_while() {
    let mut view = view_of(&["a", "b"]);
    view.record_store_answer(at(100), Duration::ZERO);
    view.record_store_answer(at(5000), Duration::ZERO);
    view.apply(at(5010), 12, vec![FleetChange::Removed(ServerKey::of("a"))]);
    assert_eq!(ready_ids(&view), ["a", "b"], "it may come back");
    assert!(view.expire(at(6900)).is_empty());
    assert_eq!(view.expire(at(7300)).len(), 1, "still missing, so removed");
    assert_eq!(ready_ids(&view), ["b"]);
}

/// Guards against a host that takes its own refusal by the store for an outage: while the store still
/// served the other hosts, the host kept using a server that was removed just after its own recovery.
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
fn expired_entry_is_kept_at_hosts_told_of_the_recovery() {
    let mut view = view_of(&["a", "b"]);
    view.record_store_answer(at(100), Duration::ZERO);
    view.record_store_answer(at(5200), Duration::from_millis(200));
    view.record_store_answer(at(5300), Duration::ZERO);
    view.apply(at(5310), 12, vec![FleetChange::Removed(ServerKey::of("a"))]);
    assert_eq!(ready_ids(&view), ["a", "b"], "it may come back");
    assert_eq!(view.expire(at(7250)).len(), 1, "2.2 s after the store's recovery");
}

#[test]
fn expired_entry_that_returns_stays() {
    let mut view = view_of(&["a"]);
    view.record_store_answer(at(100), Duration::ZERO);
    view.record_store_answer(at(5000), Duration::ZERO);
    view.apply(at(5010), 12, vec![FleetChange::Removed(ServerKey::of("a"))]);
    view.apply(at(5900), 13, vec![FleetChange::Updated(server("a", ServerState::Ready))]);
    assert!(view.expire(at(20_000)).is_empty());
    assert_eq!(ready_ids(&view), ["a"]);
}

#[test]
fn draining_server_removed_near_outage_is_gone() {
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
fn applied_update_keeps_remaining_expiry_time() {
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

/// Guards against sending whole views when a few servers among hundreds change: a whole view takes
/// 24 KB for 266 servers and 270 KB for 3,000, and would go to every host.
#[test]
fn update_since_contains_only_changes() {
    let names: Vec<String> = (0..300).map(|index| format!("server-{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut first = view_of(&names);
    let mut second = FleetView::default();
    second.apply_update(at(0), first.update_since(at(0), second.revision()));
    first.apply(at(100), 11, vec![FleetChange::Removed(ServerKey::of("server-7"))]);
    first.apply(at(200), 14, vec![FleetChange::Updated(server("server-8", ServerState::Draining))]);
    let update = first.update_since(at(300), second.revision());
    assert!(update.is_partial);
    assert_eq!((update.servers.len(), update.removed.len()), (1, 1));
    second.apply_update(at(300), update);
    assert_eq!(ready_ids(&second), ready_ids(&first));
    assert_eq!(second.revision(), 14);
}

#[test]
fn update_since_an_unknown_revision_contains_all() {
    let mut view = view_of(&["a", "b"]);
    view.apply(at(100), 11, vec![FleetChange::Removed(ServerKey::of("a"))]);
    let update = view.update_since(at(200), 9);
    assert!(!update.is_partial, "single changes before the listing at 10 are not known");
    let mut behind = view_of(&["a", "c"]);
    behind.apply_update(at(200), update);
    assert_eq!(ready_ids(&behind), ["b"]);
}

#[test]
fn update_since_contains_servers_that_returned_and_expired() {
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

/// A second listing after a lost history must report the servers that it no longer contains.
#[test]
fn update_since_covers_a_second_listing() {
    let mut first = view_of(&["a", "b"]);
    let mut second = view_of(&["a", "b"]);
    first.replace_all(at(100), 20, vec![server("b", ServerState::Ready)]);
    let update = first.update_since(at(200), 10);
    assert!(!update.is_partial, "the listing does not tell what came and left before it");
    second.apply_update(at(200), update);
    assert_eq!(ready_ids(&second), ["b"]);
    assert!(first.update_since(at(200), 20).is_partial);
}

/// Guards against comparing only the newest revision of both parts: a host whose list of servers is
/// newer than its configuration would never fetch the configuration.
#[test]
fn is_behind_in_either_part() {
    let mark = |config_version, fleet_revision| ViewMark { config_version, fleet_revision };
    assert!(mark(3, 25).is_behind(mark(6, 24)));
    assert!(mark(6, 24).is_behind(mark(3, 25)));
    assert!(!mark(6, 25).is_behind(mark(6, 25)));
}
