use crate::keys::{RequestKey, TimePoint};
use std::collections::HashSet;
use std::time::Duration;

/// A full answer up to this long before a crash clears a request just like one after the crash, because the same
/// contents always have the same effect on a server.
pub(super) const SERVED_LIFETIME: Duration = Duration::from_secs(10);
/// Maximum number of requests kept for each half of that time: an estimated 128 KB with their table.
const MAX_SERVED: usize = 4096;

/// Requests that were recently answered in full, in two generations. The older generation is dropped as a whole.
#[derive(Debug, Clone, Default)]
pub(super) struct ServedRequests {
    recent: HashSet<RequestKey>,
    previous: HashSet<RequestKey>,
    rotated_at: TimePoint,
}

impl ServedRequests {
    /// Records that a request was answered in full.
    pub fn record(&mut self, now: TimePoint, request: RequestKey) {
        self.expire(now);
        if self.recent.len() >= MAX_SERVED {
            self.rotate(now);
        }
        self.recent.insert(request);
    }

    /// Whether a request was answered in full within [`SERVED_LIFETIME`], or within half of it if many are served.
    pub fn contains(&self, request: RequestKey) -> bool {
        self.recent.contains(&request) || self.previous.contains(&request)
    }

    /// Drops requests that were served too long ago.
    pub fn expire(&mut self, now: TimePoint) {
        let age = now.since(self.rotated_at);
        if age >= SERVED_LIFETIME {
            self.recent.clear();
        }
        if age >= SERVED_LIFETIME / 2 {
            self.rotate(now);
        }
    }

    fn rotate(&mut self, now: TimePoint) {
        self.previous = std::mem::take(&mut self.recent);
        self.rotated_at = now;
    }
}
