use crate::keys::TimePoint;
use std::time::Duration;

/// A host that did not check its ownership for longer than this was suspended, and others may have replaced it. This is
/// much longer than the interval between two checks, and much shorter than hosts take to agree that one is dead.
const MAX_GAP: Duration = Duration::from_millis(800);

/// The time for which a host has checked its ownership without a gap.
///
/// Units that an owner accumulates are valid only while no other host grants. A host that lost the ownership and
/// regained it does not know what the other owner granted in between.
#[derive(Debug, Clone, Copy, Default)]
pub struct OwnerTerm {
    renewed_at: Option<TimePoint>,
    started_at: TimePoint,
}

impl OwnerTerm {
    /// Records a check of the ownership. Returns false if there was a gap before it.
    pub fn renew(&mut self, now: TimePoint) -> bool {
        let is_unbroken = !self.is_broken(now);
        if !is_unbroken {
            self.started_at = now;
        }
        self.renewed_at = Some(now);
        is_unbroken
    }

    /// When the host last checked its ownership; the time of its start if it never has.
    pub fn renewed_at(&self) -> TimePoint {
        self.renewed_at.unwrap_or_default()
    }

    /// Whether a check is overdue, which makes accumulated units invalid.
    pub fn is_broken(&self, now: TimePoint) -> bool {
        self.renewed_at.is_some_and(|at| now.since(at) > MAX_GAP)
    }

    /// Whether there was no gap within the last `time`, or none since the start.
    pub fn lasts_for(&self, now: TimePoint, time: Duration) -> bool {
        let is_first = self.started_at == TimePoint::CLOCK_START;
        !self.is_broken(now) && (is_first || now.since(self.started_at) >= time)
    }
}
