//! What a host that has just started knows of the store's last answer, from the statements of others.
//!
//! The tests guard against a host that starts within an outage of the store and takes the store to have answered at its own
//! start. It told others so, and when the store came back after a longer outage, it dropped the servers whose entries had
//! lapsed meanwhile at once.

use rstest::rstest;
use std::time::Duration;
use tealcleat::fleet::{FleetChange, FleetView};
use tealcleat::keys::ServerKey;

mod view_common;

use view_common::{at, ready_ids, view_of};

#[test]
fn stated_age_of_store_answer_kept_by_young_host() {
    let mut view = view_of(&["a"]);
    assert_eq!(view.store_age(at(100)), None, "it knows of no answer");
    view.record_store_statement(at(100), None, true);
    assert_eq!(view.store_age(at(100)), None, "nor does the other host");
    view.record_store_statement(at(200), Some(Duration::from_secs(8)), true);
    assert_eq!(view.store_age(at(300)), Some(Duration::from_millis(8100)));
}

/// A view of a host that starts 3 s into an outage and hears that from other hosts until the store is back at `back_ms`.
fn view_started_in_outage(back_ms: u64) -> FleetView {
    let mut view = view_of(&["a", "b"]);
    for millis in (100..back_ms).step_by(500) {
        let age = Duration::from_millis(3000 + millis);
        for is_local in [true, false] {
            view.record_store_statement(at(millis), Some(age), is_local);
        }
    }
    view.record_store_answer(at(back_ms), Duration::ZERO);
    view
}

/// The servers live, and their entries are back within two seconds.
#[rstest]
#[case::soon_after_start(600)]
#[case::later(1900)]
fn lapsed_servers_kept_by_host_that_started_in_outage(#[case] back_ms: u64) {
    let mut view = view_started_in_outage(back_ms);
    view.apply(at(back_ms + 10), 11, vec![FleetChange::Removed(ServerKey::of("a"))]);
    assert_eq!(ready_ids(&view), ["a", "b"]);
    view.expire(at(back_ms + 3000));
    assert_eq!(ready_ids(&view), ["b"]);
}

/// Without an outage a server that is removed has left.
#[test]
fn removed_server_dropped_by_young_host_without_outage() {
    let mut view = view_of(&["a", "b"]);
    view.record_store_statement(at(100), Some(Duration::from_millis(400)), true);
    view.record_store_answer(at(300), Duration::ZERO);
    view.apply(at(310), 11, vec![FleetChange::Removed(ServerKey::of("a"))]);
    assert_eq!(ready_ids(&view), ["b"]);
}
