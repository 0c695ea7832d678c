use crate::keys::TimePoint;
use std::time::Duration;

/// A host that did not look after what it owns for longer than this was suspended, and others may have taken its place. Far
/// more than the pause between two looks, far less than hosts take to agree that one is gone.
const LONGEST_BREAK: Duration = Duration::from_millis(800);

/// The time in which a host has looked after what it owns without a break.
///
/// What an owner saves up is worth something only as long as nobody else grants: a host that was the owner, was not, and is
/// again, has no part in what the other one granted meanwhile.
#[derive(Debug, Clone, Copy, Default)]
pub struct OwnerTerm {
    renewed_at: Option<TimePoint>,
    started_at: TimePoint,
}

impl OwnerTerm {
    /// The host looks after what it owns; false if there was a break before.
    pub fn renew(&mut self, now: TimePoint) -> bool {
        let is_unbroken = !self.is_broken(now);
        if !is_unbroken {
            self.started_at = now;
        }
        self.renewed_at = Some(now);
        is_unbroken
    }

    /// When the host last looked; at its start if it has not.
    pub fn renewed_at(&self) -> TimePoint {
        self.renewed_at.unwrap_or_default()
    }

    /// Whether the host should have looked meanwhile: what it saved up counts no more.
    pub fn is_broken(&self, now: TimePoint) -> bool {
        self.renewed_at.is_some_and(|at| now.since(at) > LONGEST_BREAK)
    }

    /// Whether there was no break for `time`, or none at all.
    pub fn lasts_for(&self, now: TimePoint, time: Duration) -> bool {
        let is_first = self.started_at == TimePoint::default();
        !self.is_broken(now) && (is_first || now.since(self.started_at) >= time)
    }
}
