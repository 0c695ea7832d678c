use crate::keys::{AttemptId, TimePoint};
use std::time::Duration;

#[derive(Debug, Clone, Copy)]
struct LinkReservation {
    attempt: AttemptId,
    start: TimePoint,
    end: TimePoint,
}

/// Reservations of the rate-limited link into one decode server.
///
/// Transfers are scheduled one after the other at the full rate: sharing the link would finish none
/// of them earlier and would keep every prefill result in memory longer.
#[derive(Debug, Clone)]
pub struct LinkSchedule {
    bytes_per_second: u64,
    reservations: Vec<LinkReservation>,
}

impl LinkSchedule {
    /// An idle link with the given rate in bytes per second.
    pub fn new(bytes_per_second: u64) -> Self {
        Self { bytes_per_second: bytes_per_second.max(1), reservations: Vec::new() }
    }

    /// Transfer time of `bytes` at the full rate.
    pub fn transfer_time(&self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_second as f64)
    }

    /// The earliest time, not before `ready_at`, at which a transfer of `bytes` can start.
    pub fn earliest_start(&self, ready_at: TimePoint, bytes: u64) -> TimePoint {
        let duration = self.transfer_time(bytes);
        let mut start = ready_at;
        for reservation in &self.reservations {
            if start + duration <= reservation.start {
                break;
            }
            start = start.max(reservation.end);
        }
        start
    }

    /// Reserves the link for `attempt` and returns the time at which its transfer ends.
    pub fn reserve(&mut self, attempt: AttemptId, ready_at: TimePoint, bytes: u64) -> TimePoint {
        let start = self.earliest_start(ready_at, bytes);
        let end = start + self.transfer_time(bytes);
        let index = self.reservations.partition_point(|reservation| reservation.start < start);
        self.reservations.insert(index, LinkReservation { attempt, start, end });
        let disjoint = self.reservations.windows(2).all(|pair| pair[0].end <= pair[1].start);
        crate::invariant!(disjoint, "link_overlap", "reservations overlap at {start:?}");
        end
    }

    /// Releases the reservation of `attempt`.
    pub fn release(&mut self, attempt: AttemptId) {
        self.reservations.retain(|reservation| reservation.attempt != attempt);
    }

    /// Removes reservations that ended before `now`.
    pub fn expire(&mut self, now: TimePoint) {
        self.reservations.retain(|reservation| reservation.end > now);
    }
}
