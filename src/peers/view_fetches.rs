use crate::keys::TimePoint;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Hosts from which a view is fetched at the same time.
const MOST_FETCHES: usize = 3;
/// A further host is asked if nothing has come from those asked so far for this long: news come within some
/// milliseconds, and a host that is silent would hold up all others for as long as it is waited for.
const FETCH_REST: Duration = Duration::from_millis(150);

/// Fetches of newer views that are under way, and when something last came of each.
#[derive(Debug, Default)]
pub struct ViewFetches {
    open: BTreeMap<SocketAddr, TimePoint>,
}

impl ViewFetches {
    /// Whether a fetch from `address` may begin now; then it counts as under way.
    pub fn begin(&mut self, now: TimePoint, address: SocketAddr) -> bool {
        let is_idle = |at: &TimePoint| now.since(*at) >= FETCH_REST;
        let may = !self.open.contains_key(&address)
            && self.open.len() < MOST_FETCHES
            && self.open.values().all(is_idle);
        if may {
            self.open.insert(address, now);
        }
        may
    }

    /// A piece has come.
    pub fn record_progress(&mut self, now: TimePoint, address: SocketAddr) {
        if let Some(at) = self.open.get_mut(&address) {
            *at = now;
        }
    }

    /// When something last came of any of the fetches under way, or one began.
    pub fn last_progress_at(&self) -> Option<TimePoint> {
        self.open.values().copied().max()
    }

    /// The fetch has ended, or was given up.
    pub fn end(&mut self, address: SocketAddr) {
        self.open.remove(&address);
    }
}
