//! Records the outcomes of this host's own calls to the store.

use super::gateway_host::GatewayHost;
use crate::platform::{ROUTES_OBJECT, SERVERS_KIND};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Kinds of objects whose changes a host follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FollowedKind {
    Routes,
    Servers,
}

impl FollowedKind {
    pub const ALL: [Self; 2] = [Self::Routes, Self::Servers];

    pub const fn name(self) -> &'static str {
        match self {
            Self::Routes => ROUTES_OBJECT.0,
            Self::Servers => SERVERS_KIND,
        }
    }
}

/// Records that the store refused or did not answer this host; the other hosts then elect another watcher.
pub(super) fn record_store_failure(host: &GatewayHost, kind: FollowedKind, error: &crate::Error) {
    if !host.unreachable_flag(kind).swap(true, Ordering::Relaxed) {
        log::warn!("event=store_lost kind={} cause=\"{error}\"", kind.name());
    }
    host.record_store_refused(true);
}

/// Records that the store answered this host.
pub(super) fn record_store_answer(host: &GatewayHost, kind: FollowedKind) {
    if host.unreachable_flag(kind).swap(false, Ordering::Relaxed) {
        log::info!("event=store_regained kind={}", kind.name());
    }
    let now = host.now();
    {
        let mut state = host.state();
        state.fleet.record_store_answer(now, Duration::ZERO);
        state.store_answered_at = now;
    }
    let unreachable =
        FollowedKind::ALL.map(|kind| host.unreachable_flag(kind).load(Ordering::Relaxed));
    if unreachable == [false, false] {
        host.record_store_refused(false);
    }
}

impl GatewayHost {
    /// Records whether the store refuses this host, and notifies the other hosts at once if that has changed.
    fn record_store_refused(&self, refused: bool) {
        let now = self.now();
        let is_new = self.state().refused_hosts.record(now, self.incarnation, refused);
        if is_new {
            self.broadcast_notices();
        }
    }

    /// Revision at which a watch of a kind starts.
    pub(super) fn known_revision(&self, kind: FollowedKind) -> Option<u64> {
        let state = self.state();
        let revision = match kind {
            FollowedKind::Routes => state.routes_revision,
            FollowedKind::Servers => state.fleet.revision(),
        };
        (revision > 0).then_some(revision)
    }

    fn unreachable_flag(&self, kind: FollowedKind) -> &AtomicBool {
        match kind {
            FollowedKind::Routes => &self.routes_unreachable,
            FollowedKind::Servers => &self.servers_unreachable,
        }
    }
}
