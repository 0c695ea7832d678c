use crate::keys::{ServerKey, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

/// How long a server counts as contended after the last sign: longer than the load of the other hosts is old (1.5 s), so
/// that hosts do not return to choosing by loads from before the shortage.
pub const CONTENTION_TIME: Duration = Duration::from_secs(2);
/// Interval at which an owner announces that a server is contended. Two announcements may be lost before a host
/// that relies on them stops asking.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(700);

#[derive(Debug, Clone, Copy)]
struct ServerContention {
    until: TimePoint,
    announced_at: Option<TimePoint>,
}

/// Servers whose places are scarce.
#[derive(Debug, Default)]
pub struct ContendedServers {
    servers: HashMap<ServerKey, ServerContention>,
}

impl ContendedServers {
    /// Records a sign that a server is contended, for `remaining` longer. Returns whether it was not contended before.
    pub fn record(&mut self, now: TimePoint, server: ServerKey, remaining: Duration) -> bool {
        let until = now + remaining.min(CONTENTION_TIME);
        let entry = self.servers.entry(server);
        let contention = entry.or_insert(ServerContention { until: now, announced_at: None });
        let is_new = contention.until <= now;
        contention.until = contention.until.max(until);
        is_new
    }

    /// Whether a server is contended.
    pub fn contains(&self, now: TimePoint, server: ServerKey) -> bool {
        self.servers.get(&server).is_some_and(|contention| now < contention.until)
    }

    /// For how much longer an owner should announce a server as contended; `None` if it is not contended, or was
    /// announced a short while ago.
    pub fn announcement(&mut self, now: TimePoint, server: ServerKey) -> Option<Duration> {
        let contention = self.servers.get_mut(&server).filter(|entry| now < entry.until)?;
        if contention.announced_at.is_some_and(|at| now.since(at) < ANNOUNCE_PERIOD) {
            return None;
        }
        contention.announced_at = Some(now);
        Some(contention.until.since(now))
    }

    /// Drops servers that are no longer contended.
    pub fn expire(&mut self, now: TimePoint) {
        self.servers.retain(|_, contention| now < contention.until);
    }
}
