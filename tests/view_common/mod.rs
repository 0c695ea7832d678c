//! Servers and views of them, shared by tests without a network.

#![allow(dead_code, reason = "each test file uses a part of it")]

use tealcleat::fleet::{FleetView, ServerEntry, ServerState};
use tealcleat::keys::{NameKey, TimePoint};

pub fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

/// A server of the service `app` in the domain `a`.
pub fn server(id: &str, state: ServerState) -> ServerEntry {
    ServerEntry {
        id: id.to_owned(),
        started_at: None,
        version: "v1".to_owned(),
        service: NameKey::of("app"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: NameKey::of("a"),
        state,
        stage: None,
        slots: 4,
        cold_ms: 0,
    }
}

pub fn ready_server(id: &str) -> ServerEntry {
    server(id, ServerState::Ready)
}

/// A view of ready servers, listed at revision 10.
pub fn view_of(ids: &[&str]) -> FleetView {
    let mut view = FleetView::default();
    view.replace_all(at(0), 10, ids.iter().map(|id| ready_server(id)).collect());
    view
}

/// The servers that may get new work, in order of their ids.
pub fn ready_ids(view: &FleetView) -> Vec<String> {
    let mut ids: Vec<String> =
        view.ready(NameKey::of("app")).map(|entry| entry.id.clone()).collect();
    ids.sort();
    ids
}
