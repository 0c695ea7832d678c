//! What tells this host that others have a newer view, and how long it has been behind.

use super::gateway_host::GatewayHost;
use super::store_contact::FollowedKind;
use crate::fleet::ViewFreshness;
use crate::keys::TimePoint;
use crate::membership::ViewMark;
use std::time::Duration;

/// A host that has been behind for this long says so: news come within some tenths of a second.
const LONG_BEHIND: Duration = Duration::from_millis(1000);

impl GatewayHost {
    /// Another host said how new its view is.
    pub(super) fn hear_mark(&self, heard: ViewMark) {
        let now = self.now();
        let mut state = self.state();
        let own = state.view_mark();
        state.routes_freshness.hear(now, own.config_version, heard.config_version);
        state.servers_freshness.hear(now, own.fleet_revision, heard.fleet_revision);
    }

    fn behind_for(&self, now: TimePoint, kind: FollowedKind) -> Option<Duration> {
        let state = self.state();
        let (freshness, own) = match kind {
            FollowedKind::Routes => (state.routes_freshness, state.routes.version()),
            FollowedKind::Servers => (state.servers_freshness, state.fleet.revision()),
        };
        ViewFreshness::behind_for(&freshness, now, own)
    }
}

/// Writes down when one kind of the view has been behind for long, and for how long it was.
#[derive(Debug)]
pub(super) struct LagReport {
    kind: FollowedKind,
    longest: Option<Duration>,
}

impl LagReport {
    pub const fn new(kind: FollowedKind) -> Self {
        Self { kind, longest: None }
    }

    /// Looks at the host as it is now.
    pub fn look(&mut self, now: TimePoint, host: &GatewayHost) {
        let kind = self.kind.name();
        match host.behind_for(now, self.kind).filter(|behind| *behind >= LONG_BEHIND) {
            Some(behind) => {
                if self.longest.is_none() {
                    let heard_ms = host.state().fleet.store_age(now).as_millis();
                    let own = host.known_revision(self.kind).unwrap_or_default();
                    log::warn!(
                        "event=view_behind kind={kind} revision={own} behind_ms={} store_age_ms={heard_ms}",
                        behind.as_millis()
                    );
                }
                self.longest = Some(behind);
            }
            None => {
                if let Some(behind) = self.longest.take() {
                    log::warn!("event=view_caught_up kind={kind} behind_ms={}", behind.as_millis());
                }
            }
        }
    }
}
