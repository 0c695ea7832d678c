use super::VERSION_RETENTION;
use crate::keys::TimePoint;
use std::collections::BTreeMap;
use std::time::Duration;

/// The services of each route whose streams may be taken up, as hashes by the key of the route.
pub type RouteTargets = BTreeMap<u64, u64>;

/// Since when the routes whose streams may be taken up have led to the same services.
#[derive(Debug, Clone, Default)]
pub struct TargetHistory {
    targets: RouteTargets,
    /// When a route last moved to other services or left; the start of this process if none has.
    changed_at: TimePoint,
    /// For how long before this process started none did.
    known_before_start: Duration,
}

impl TargetHistory {
    /// Records the services of all routes from `now` on. Routes that are new change nothing for streams of the others.
    pub fn record(&mut self, now: TimePoint, targets: RouteTargets) {
        let has_changed =
            self.targets.iter().any(|(route, services)| targets.get(route) != Some(services));
        if has_changed {
            self.changed_at = now;
            self.known_before_start = Duration::ZERO;
        }
        self.targets = targets;
    }

    /// Applies what the store keeps: routes with this digest had led to the same services for `age`.
    pub fn apply_saved(&mut self, now: TimePoint, digest: u64, age: Duration) {
        let has_changed = self.changed_at > TimePoint::CLOCK_START;
        if !has_changed && digest == self.digest() {
            let before = age.saturating_sub(now.since(TimePoint::CLOCK_START));
            self.known_before_start = self.known_before_start.max(before);
        }
    }

    /// Records that the system starts for the first time.
    pub fn begin(&mut self) {
        if self.changed_at == TimePoint::CLOCK_START {
            self.known_before_start = VERSION_RETENTION;
        }
    }

    /// For how long all routes are known to have led to the same services.
    pub fn age(&self, now: TimePoint) -> Duration {
        now.since(self.changed_at) + self.known_before_start
    }

    /// Whether no stream that may be taken up began while its route led to other services.
    pub fn is_settled(&self, now: TimePoint) -> bool {
        self.age(now) >= VERSION_RETENTION
    }

    /// A digest of the services of all routes.
    pub fn digest(&self) -> u64 {
        let hashes = self.targets.iter().map(|(route, services)| route ^ services.rotate_left(1));
        hashes.fold(0, u64::wrapping_add)
    }
}
