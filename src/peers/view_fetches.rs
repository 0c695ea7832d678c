use crate::keys::TimePoint;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of concurrent fetches.
const MAX_FETCHES: usize = 3;
/// A fetch from a further host may begin when none of the fetches in flight has received anything for this long: an
/// update usually arrives within milliseconds, and a silent host would delay the fetch until its timeout.
const FETCH_IDLE: Duration = Duration::from_millis(150);

/// Fetches of newer views in flight and the time of each one's last progress.
#[derive(Debug, Default)]
pub struct ViewFetches {
    in_flight: BTreeMap<SocketAddr, TimePoint>,
}

impl ViewFetches {
    /// Begins a fetch from `address` if one may begin now; returns whether it did.
    pub fn begin(&mut self, now: TimePoint, address: SocketAddr) -> bool {
        let is_idle = |at: &TimePoint| now.since(*at) >= FETCH_IDLE;
        let may_begin = !self.in_flight.contains_key(&address)
            && self.in_flight.len() < MAX_FETCHES
            && self.in_flight.values().all(is_idle);
        if may_begin {
            self.in_flight.insert(address, now);
        }
        may_begin
    }

    /// Records that a piece was received.
    pub fn record_progress(&mut self, now: TimePoint, address: SocketAddr) {
        if let Some(at) = self.in_flight.get_mut(&address) {
            *at = now;
        }
    }

    /// Time of the last progress of any fetch in flight; the start of a fetch counts as progress.
    pub fn last_progress_at(&self) -> Option<TimePoint> {
        self.in_flight.values().copied().max()
    }

    /// Ends a fetch that completed or was abandoned.
    pub fn end(&mut self, address: SocketAddr) {
        self.in_flight.remove(&address);
    }
}
