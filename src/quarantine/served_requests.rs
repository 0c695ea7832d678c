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
    former: HashSet<RequestKey>,
    began: TimePoint,
}

impl ServedRequests {
    /// A request was answered whole.
    pub fn note(&mut self, now: TimePoint, request: RequestKey) {
        self.expire(now);
        if self.recent.len() >= MOST_SERVED {
            self.turn(now);
        }
        self.recent.insert(request);
    }

    /// Whether a request was answered whole lately: within [`SERVED_LIFE`], or half of it if many are served.
    pub fn contains(&self, request: RequestKey) -> bool {
        self.recent.contains(&request) || self.former.contains(&request)
    }

    /// Forgets what was served long ago.
    pub fn expire(&mut self, now: TimePoint) {
        let age = now.since(self.began);
        if age >= SERVED_LIFE {
            self.recent.clear();
        }
        if age >= SERVED_LIFE / 2 {
            self.turn(now);
        }
    }

    fn turn(&mut self, now: TimePoint) {
        self.former = std::mem::take(&mut self.recent);
        self.began = now;
    }
}
