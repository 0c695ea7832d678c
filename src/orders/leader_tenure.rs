use crate::keys::TimePoint;
use std::time::Duration;

/// The part that a host has in giving stage orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaderRole {
    /// Another host is elected, and this host has not led within the dwell time.
    Follower,
    /// Another host is elected, but this host led within the dwell time, so no other can lead yet. It gives no orders
    /// and keeps its plans.
    Suspended,
    /// This host is elected, but not for long enough to lead.
    Candidate,
    /// This host leads.
    Leader,
}

/// Decides when an elected host takes over from the previous leader.
///
/// Elections follow what each host believes at the moment: a leader whose call to the store failed once is not elected
/// for half a second. If the next host took over at once, both would have to wait for each other's lease in turn. A
/// host therefore leads only after it has been elected without a break for the dwell time, and a leader that is
/// elected again within that time continues with its plans, since no other host can have led.
#[derive(Debug, Clone, Copy)]
pub struct LeaderTenure {
    dwell: Duration,
    elected_since: Option<TimePoint>,
    updated_at: TimePoint,
    /// When this host was last the leader.
    led_at: Option<TimePoint>,
}

impl LeaderTenure {
    /// Creates the tenure of a host that has never been elected. With a dwell time of zero it leads whenever it is
    /// elected.
    pub fn new(dwell: Duration) -> Self {
        Self { dwell, elected_since: None, updated_at: TimePoint::CLOCK_START, led_at: None }
    }

    /// Records whether this host is elected now, and returns its role. Must be called several times within the dwell
    /// time: a longer gap counts as a break, because this host was suspended and may have been replaced.
    pub fn update(&mut self, now: TimePoint, is_elected: bool) -> LeaderRole {
        let gap = now.since(std::mem::replace(&mut self.updated_at, now));
        if gap >= self.dwell {
            self.elected_since = None;
        }
        let led_recently = self.led_at.is_some_and(|at| now.since(at) < self.dwell);
        if !is_elected {
            self.elected_since = None;
            return if led_recently { LeaderRole::Suspended } else { LeaderRole::Follower };
        }
        let since = *self.elected_since.get_or_insert(now);
        if !led_recently && now.since(since) < self.dwell {
            return LeaderRole::Candidate;
        }
        self.led_at = Some(now);
        LeaderRole::Leader
    }
}
