use crate::keys::{RequestKey, TimePoint};
use std::collections::HashSet;
use std::time::Duration;

/// A whole answer this long before a crash speaks for a request as one after it does: what its contents do to a server
/// does not depend on luck.
pub(super) const SERVED_LIFE: Duration = Duration::from_secs(10);
/// Requests kept of each half of that time: 128 KB with their table (reckoned).
const MOST_SERVED: usize = 4096;

/// Requests that were answered whole lately, in two halves of which the older one is dropped as a whole.
#[derive(Debug, Clone, Default)]
pub(super) struct ServedRequests {
    recent: HashSet<RequestKey>,
    previous: HashSet<RequestKey>,
    rotated_at: TimePoint,
}

impl ServedRequests {
    /// A request was answered whole.
    pub fn record(&mut self, now: TimePoint, request: RequestKey) {
        self.expire(now);
        if self.recent.len() >= MOST_SERVED {
            self.rotate(now);
        }
        self.recent.insert(request);
    }

    /// Whether a request was answered whole lately: within [`SERVED_LIFE`], or half of it if many are served.
    pub fn contains(&self, request: RequestKey) -> bool {
        self.recent.contains(&request) || self.previous.contains(&request)
    }

    /// Forgets what was served long ago.
    pub fn expire(&mut self, now: TimePoint) {
        let age = now.since(self.rotated_at);
        if age >= SERVED_LIFE {
            self.recent.clear();
        }
        if age >= SERVED_LIFE / 2 {
            self.rotate(now);
        }
    }

    fn rotate(&mut self, now: TimePoint) {
        self.previous = std::mem::take(&mut self.recent);
        self.rotated_at = now;
    }
}
