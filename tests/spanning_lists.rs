//! Listings of several pages between which the store changes, and what hosts that follow the listing one learn of it.
//!
//! Guards against a change that a follower never hears of: the listing held it under the revision of its first page, the later
//! event changed nothing any more, and the follower, which had that revision already, was told of neither.

use rstest::rstest;
use tealcleat::fleet::{FleetChange, FleetView, ListSpan, ServerEntry, ServerState};
use tealcleat::keys::ServerKey;

mod view_common;

use view_common::{at, ready_ids, ready_server, server, view_of};

/// Revisions of the first and of the last page.
const SPAN: ListSpan = ListSpan { first: 10, last: 14 };
/// Revision of the change between the two.
const CHANGED_AT: u64 = 12;

/// The view of a host that has seen all servers at the revision of the first page.
fn follower() -> FleetView {
    view_of(&["a", "b"])
}

/// The change of server `a` that the last page holds already, as an event and as listed entries.
#[derive(Debug, Clone, Copy)]
enum Change {
    Draining,
    Removed,
    Unusable,
}

impl Change {
    fn event(self) -> FleetChange {
        match self {
            Self::Draining => FleetChange::Updated(server("a", ServerState::Draining)),
            Self::Removed => FleetChange::Removed(ServerKey::of("a")),
            Self::Unusable => FleetChange::Unusable(ServerKey::of("a")),
        }
    }

    fn entries(self) -> Vec<ServerEntry> {
        let changed = match self {
            Self::Draining => Some(server("a", ServerState::Draining)),
            Self::Removed | Self::Unusable => None,
        };
        changed.into_iter().chain([ready_server("b")]).collect()
    }
}

/// Lists the change into a view.
fn list(view: &mut FleetView, change: Change) {
    let unusable = match change {
        Change::Unusable => vec![FleetChange::Unusable(ServerKey::of("a"))],
        Change::Draining | Change::Removed => Vec::new(),
    };
    view.replace_all(at(100), SPAN, change.entries());
    view.apply_listed(at(100), SPAN, unusable);
}

/// The host that lists knew the servers before, or knew none.
#[rstest]
fn change_within_a_listing_reaches_followers(
    #[values(Change::Draining, Change::Removed, Change::Unusable)] change: Change,
    #[values(true, false)] knew_before: bool,
) {
    let mut lister = if knew_before { follower() } else { FleetView::default() };
    list(&mut lister, change);
    assert_eq!(lister.revision(), SPAN.first, "later changes are still to come");
    lister.apply(at(200), CHANGED_AT, vec![change.event()]);
    let mut follower = follower();
    follower.apply_update(at(300), lister.update_since(at(300), follower.revision()));
    assert_eq!(ready_ids(&follower), ["b"]);
}

/// The event does not come: the host lists once more instead of watching.
#[rstest]
fn change_within_a_listing_reaches_followers_after_another_listing(
    #[values(Change::Draining, Change::Removed, Change::Unusable)] change: Change,
) {
    let mut lister = follower();
    list(&mut lister, change);
    lister.replace_all(at(200), 15, change.entries());
    let mut follower = follower();
    follower.apply_update(at(300), lister.update_since(at(300), follower.revision()));
    assert_eq!(ready_ids(&follower), ["b"]);
}

/// The server comes back between the pages, after the page on which it was missing.
#[test]
fn return_within_a_listing_reaches_followers() {
    let mut lister = follower();
    list(&mut lister, Change::Removed);
    let returned = FleetChange::Updated(ready_server("a"));
    lister.apply(at(200), 13, vec![FleetChange::Removed(ServerKey::of("a")), returned]);
    let mut follower = follower();
    follower.apply_update(at(300), lister.update_since(at(300), follower.revision()));
    assert_eq!(ready_ids(&follower), ["a", "b"]);
}

/// Guards against a server that is kept for good: it came and left while the listing host was cut off, and the follower has
/// seen only that it came.
#[test]
fn server_that_came_and_left_before_a_listing_is_removed_at_followers() {
    let mut lister = follower();
    let mut follower = follower();
    follower.apply(at(100), 12, vec![FleetChange::Updated(ready_server("c"))]);
    lister.replace_all(at(200), 20, ["a", "b"].map(ready_server).to_vec());
    follower.apply_update(at(300), lister.update_since(at(300), follower.revision()));
    assert_eq!(ready_ids(&follower), ["a", "b"]);
}

/// Guards against whole views for hosts that have what the listing contains.
#[test]
fn hosts_with_the_listed_revision_get_single_changes() {
    let mut lister = follower();
    list(&mut lister, Change::Draining);
    lister.apply(at(200), 15, vec![FleetChange::Updated(ready_server("c"))]);
    let update = lister.update_since(at(300), SPAN.last);
    assert!(update.is_partial);
    assert_eq!(update.servers.len(), 1);
}
