//! Tracks whether other hosts have a newer view, and for how long this host has been behind.

use super::gateway_host::GatewayHost;
use super::gateway_state::GatewayState;
use super::peer_messages::ViewAges;
use super::stated_age::StatedAge;
use super::store_contact::FollowedKind;
use crate::fleet::ViewFreshness;
use crate::keys::TimePoint;
use crate::membership::ViewMark;
use std::time::Duration;

/// A host that has been behind for this long logs it; updates normally arrive within some tenths of a second.
const MIN_LOGGED_LAG: Duration = Duration::from_millis(1000);

impl GatewayHost {
    /// Applies the mark of another host's view, which says how new that view is.
    pub(super) fn apply_view_mark(&self, mark: ViewMark) {
        let now = self.now();
        let mut state = self.state();
        for kind in FollowedKind::ALL {
            let own = kind.part_of(state.view_mark());
            state.freshness_mut(kind).apply_revision(now, own, kind.part_of(mark));
        }
    }

    /// Applies the mark of another host's view and the ages at which that view was last complete.
    pub(super) fn apply_view_ages(&self, mark: ViewMark, ages: ViewAges) {
        let now = self.now();
        let mut state = self.state();
        for (kind, age) in
            [(FollowedKind::Routes, ages.routes), (FollowedKind::Servers, ages.servers)]
        {
            let Some(age) = age.known() else { continue };
            let own = kind.part_of(state.view_mark());
            state.freshness_mut(kind).apply_age(now, own, kind.part_of(mark), age);
        }
    }

    /// Records that the view of a kind includes everything that the store held at `at`, up to `revision`.
    pub(super) fn record_view_complete(&self, kind: FollowedKind, at: TimePoint, revision: u64) {
        let mut state = self.state();
        // Hosts exchange versions of the configuration, which differ from the revisions of the store.
        let reached = match kind {
            FollowedKind::Routes => state.routes.version(),
            FollowedKind::Servers => revision,
        };
        state.freshness_mut(kind).record_complete(at, reached);
    }

    /// Whether other hosts have a newer configuration that this host has not received yet.
    pub fn is_behind(&self) -> bool {
        self.behind_for(self.now(), FollowedKind::Routes).is_some()
    }

    /// For how long this host has known that other hosts have a newer view.
    pub(super) fn behind_for(&self, now: TimePoint, kind: FollowedKind) -> Option<Duration> {
        self.state().behind_for(now, kind)
    }
}

impl FollowedKind {
    const fn part_of(self, mark: ViewMark) -> u64 {
        match self {
            Self::Routes => mark.config_version,
            Self::Servers => mark.fleet_revision,
        }
    }
}

impl GatewayState {
    const fn freshness(&self, kind: FollowedKind) -> &ViewFreshness {
        match kind {
            FollowedKind::Routes => &self.routes_freshness,
            FollowedKind::Servers => &self.servers_freshness,
        }
    }

    const fn freshness_mut(&mut self, kind: FollowedKind) -> &mut ViewFreshness {
        match kind {
            FollowedKind::Routes => &mut self.routes_freshness,
            FollowedKind::Servers => &mut self.servers_freshness,
        }
    }

    pub(super) fn behind_for(&self, now: TimePoint, kind: FollowedKind) -> Option<Duration> {
        self.freshness(kind).behind_for(now, kind.part_of(self.view_mark()))
    }

    /// Whether no other host has announced a store answer about a kind that is newer than the last one to this host.
    pub(super) fn has_newest_answer(&self, kind: FollowedKind) -> bool {
        self.freshness(kind).has_newest_answer()
    }

    /// Time since this host's view of a kind was last known to be complete.
    pub(super) fn view_age(&self, now: TimePoint, kind: FollowedKind) -> Duration {
        self.freshness(kind).age(now, kind.part_of(self.view_mark()))
    }

    /// The view ages of all kinds, as sent to other hosts.
    pub(super) fn view_ages(&self, now: TimePoint) -> ViewAges {
        let age = |kind| StatedAge::from(self.view_age(now, kind));
        ViewAges { routes: age(FollowedKind::Routes), servers: age(FollowedKind::Servers) }
    }
}

/// Logs when this host's view of a kind falls behind for long, and when it catches up.
#[derive(Debug)]
pub(super) struct LagLog {
    kind: FollowedKind,
    last_lag: Option<Duration>,
}

impl LagLog {
    pub const fn new(kind: FollowedKind) -> Self {
        Self { kind, last_lag: None }
    }

    /// Checks the current lag of the host, and logs a change.
    pub fn update(&mut self, now: TimePoint, host: &GatewayHost) {
        let kind = self.kind.name();
        match host.behind_for(now, self.kind).filter(|behind| *behind >= MIN_LOGGED_LAG) {
            Some(behind) => {
                if self.last_lag.is_none() {
                    let store_age = host.state().fleet.store_age(now);
                    let store_age_ms = store_age.map_or(-1, |age| age.as_millis() as i64);
                    let own = host.known_revision(self.kind).unwrap_or_default();
                    log::warn!(
                        "event=view_behind kind={kind} revision={own} behind_ms={} store_age_ms={store_age_ms}",
                        behind.as_millis()
                    );
                }
                self.last_lag = Some(behind);
            }
            None => {
                if let Some(behind) = self.last_lag.take() {
                    log::warn!("event=view_caught_up kind={kind} behind_ms={}", behind.as_millis());
                }
            }
        }
    }
}
