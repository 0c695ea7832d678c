//! A host that returns from a cut, and what it tells hosts that were in touch all the time.
//!
//! Guards against a server that has left and is used again: the returning host took its own gap for an outage of the store,
//! kept the server for 2.2 s, and all other hosts put it back into use, because its view had the newer revision.

use rstest::rstest;
use std::time::Duration;
use tealcleat::fleet::{FleetChange, FleetView, ServerEntry};
use tealcleat::keys::{NameKey, ServerKey};

mod view_common;

use view_common::{at, ready_ids, ready_server, view_of};

/// A view whose host hears of the store from other hosts until `from`, and again from `until` on.
fn silent_view(from: u64, until: u64) -> FleetView {
    let mut view = view_of(&["a", "b"]);
    for millis in (0..=from).step_by(500) {
        view.record_store_answer(at(millis), Duration::from_millis(100));
    }
    // Another host that was cut off as well is heard first; it has no newer answer.
    view.record_store_answer(at(until), Duration::from_millis(until - from));
    view
}

/// The outage is one in the eyes of the returning host only.
#[rstest]
#[case::changes(11)]
#[case::whole_view(0)]
fn returning_host_keeps_no_server_in_use_elsewhere(#[case] since: u64) {
    let mut returning = view_of(&["a", "b"]);
    returning.record_store_answer(at(100), Duration::ZERO);
    returning.record_store_answer(at(5600), Duration::ZERO);
    returning.replace_all(at(5610), 14, vec![ready_server("b")]);
    let mut steady = view_of(&["a", "b"]);
    steady.apply(at(2000), 11, vec![FleetChange::Removed(ServerKey::of("a"))]);
    steady.apply_update(at(5650), returning.update_since(at(5650), since));
    assert_eq!(ready_ids(&steady), ["b"]);
    assert_eq!(steady.revision(), 14);
}

/// A host that received the removal as part of a whole view remembers it as well.
#[test]
fn returning_host_keeps_no_server_in_use_after_whole_views() {
    let mut returning = view_of(&["a", "b"]);
    returning.record_store_answer(at(100), Duration::ZERO);
    returning.record_store_answer(at(5600), Duration::ZERO);
    returning.replace_all(at(5610), 14, vec![ready_server("b")]);
    let mut watcher = view_of(&["a", "b"]);
    watcher.apply(at(2000), 11, vec![FleetChange::Removed(ServerKey::of("a"))]);
    let mut steady = view_of(&["a", "b"]);
    steady.apply_update(at(2100), watcher.update_since(at(2100), 0));
    steady.apply_update(at(5650), returning.update_since(at(5650), 0));
    assert_eq!(ready_ids(&steady), ["b"]);
}

/// A gap in which the host heard nothing from other hosts is its own, whoever it hears first afterwards.
#[test]
fn returning_host_removes_a_server_at_once() {
    let mut view = silent_view(1000, 6500);
    view.record_store_answer(at(6510), Duration::ZERO);
    view.replace_all(at(6520), 14, vec![ready_server("b")]);
    assert_eq!(ready_ids(&view), ["b"]);
}

/// Guards against removals that outlast the return of their server.
#[test]
fn returning_server_is_used_again_everywhere() {
    let mut watcher = view_of(&["a", "b"]);
    let mut steady = view_of(&["a", "b"]);
    watcher.apply(at(2000), 11, vec![FleetChange::Removed(ServerKey::of("a"))]);
    steady.apply_update(at(2100), watcher.update_since(at(2100), 10));
    assert_eq!(ready_ids(&steady), ["b"]);
    watcher.apply(at(3000), 12, vec![FleetChange::Updated(ready_server("a"))]);
    steady.apply_update(at(3100), watcher.update_since(at(3100), 11));
    assert_eq!(ready_ids(&steady), ["a", "b"]);
}

/// Guards against an outage that is missed: the other hosts are heard all the time, and get no answers either.
#[test]
fn gap_of_all_hosts_is_an_outage() {
    let mut view = view_of(&["a", "b"]);
    view.record_store_answer(at(100), Duration::from_millis(50));
    for millis in (500..=6000).step_by(500) {
        view.record_store_answer(at(millis), Duration::from_millis(millis - 50));
    }
    view.record_store_answer(at(6100), Duration::ZERO);
    view.replace_all(at(6110), 14, vec![ready_server("b")]);
    assert_eq!(ready_ids(&view), ["a", "b"], "it may come back");
}

/// Guards against a removal that was forgotten because more servers have left since than a view remembers.
#[rstest]
#[case::changes(11)]
#[case::whole_view(0)]
fn returning_host_keeps_no_server_in_use_after_many_removals(#[case] since: u64) {
    const LEAVING: u64 = 1100;
    let ids: Vec<String> = (0..LEAVING).map(|index| format!("s-{index}")).collect();
    let ids: Vec<&str> = ["a", "b"].into_iter().chain(ids.iter().map(String::as_str)).collect();
    let mut returning = view_of(&ids);
    returning.record_store_answer(at(100), Duration::ZERO);
    returning.record_store_answer(at(5600), Duration::ZERO);
    returning.replace_all(at(5610), 10 + LEAVING + 5, vec![ready_server("b")]);
    let mut steady = view_of(&ids);
    let leaving = ids.iter().filter(|id| **id != "b").zip(11..);
    for (id, revision) in leaving {
        steady.apply(at(2000), revision, vec![FleetChange::Removed(ServerKey::of(id))]);
    }
    steady.apply_update(at(5650), returning.update_since(at(5650), since));
    assert_eq!(ready_ids(&steady), ["b"]);
}

/// A host that knows no servers yet takes over those that are kept: after an outage their entries may be still to return.
#[test]
fn first_view_contains_servers_that_may_return() {
    let mut watcher = view_of(&["a", "b"]);
    watcher.record_store_answer(at(100), Duration::ZERO);
    watcher.record_store_answer(at(5600), Duration::ZERO);
    watcher.replace_all(at(5610), 14, vec![ready_server("b")]);
    let mut fresh = FleetView::default();
    fresh.apply_update(at(5650), watcher.update_since(at(5650), 0));
    assert_eq!(ready_ids(&fresh), ["a", "b"]);
}

/// Guards against hosts of one domain that return together: they heard each other all the time, and kept servers of other
/// domains that had left. The entries of their own servers expired with the cut.
#[test]
fn returning_domain_keeps_its_own_servers_only() {
    let own = ServerEntry { domain: NameKey::of("own"), ..ready_server("c") };
    let mut view = FleetView::in_domain(NameKey::of("own"));
    view.replace_all(at(0), 10, vec![ready_server("a"), ready_server("b"), own]);
    for millis in (0..=1000).step_by(500) {
        view.record_store_answer(at(millis), Duration::from_millis(100));
    }
    for millis in (1500..=6500).step_by(500) {
        view.record_store_statement(at(millis), Some(Duration::from_millis(millis - 900)), true);
    }
    view.record_store_answer(at(6510), Duration::ZERO);
    view.replace_all(at(6520), 14, vec![ready_server("b")]);
    assert_eq!(ready_ids(&view), ["b", "c"]);
}

/// Guards against an outage that is missed by a site of one domain, whose hosts hear no others.
#[test]
fn gap_of_the_only_domain_is_an_outage() {
    let mut view = FleetView::in_domain(NameKey::of("a"));
    view.replace_all(at(0), 10, vec![ready_server("a"), ready_server("b")]);
    for millis in (500..=6000).step_by(500) {
        view.record_store_statement(at(millis), Some(Duration::from_millis(millis)), true);
    }
    view.record_store_answer(at(6100), Duration::ZERO);
    view.replace_all(at(6110), 14, vec![ready_server("b")]);
    assert_eq!(ready_ids(&view), ["a", "b"], "it may come back");
}
