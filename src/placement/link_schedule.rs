use crate::keys::{AttemptId, TimePoint};
use std::time::Duration;

#[derive(Debug, Clone, Copy)]
struct LinkBooking {
    attempt: AttemptId,
    start: TimePoint,
    end: TimePoint,
}

/// Bookings of the rate-limited link into one decode server.
///
/// Transfers are booked one after the other at full rate: sharing the link would finish none of
/// them earlier and would hold every prefill result longer.
#[derive(Debug, Clone)]
pub struct LinkSchedule {
    bytes_per_second: u64,
    bookings: Vec<LinkBooking>,
}

impl LinkSchedule {
    /// A free link of the given rate in bytes a second.
    pub fn new(bytes_per_second: u64) -> Self {
        Self { bytes_per_second: bytes_per_second.max(1), bookings: Vec::new() }
    }

    /// How long `bytes` take on the free link.
    pub fn transfer_time(&self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_second as f64)
    }

    /// The earliest moment from `ready_at` on at which a transfer of `bytes` could start.
    pub fn earliest_start(&self, ready_at: TimePoint, bytes: u64) -> TimePoint {
        let needed = self.transfer_time(bytes);
        let mut start = ready_at;
        for booking in &self.bookings {
            if start + needed <= booking.start {
                break;
            }
            start = start.max(booking.end);
        }
        start
    }

    /// Books the link for `attempt` and returns when the transfer ends.
    pub fn book(&mut self, attempt: AttemptId, ready_at: TimePoint, bytes: u64) -> TimePoint {
        let start = self.earliest_start(ready_at, bytes);
        let end = start + self.transfer_time(bytes);
        let place = self.bookings.partition_point(|booking| booking.start < start);
        self.bookings.insert(place, LinkBooking { attempt, start, end });
        let apart = self.bookings.windows(2).all(|pair| pair[0].end <= pair[1].start);
        crate::invariant!(apart, "link_overlap", "bookings overlap at {start:?}");
        end
    }

    /// Gives the booking of `attempt` back.
    pub fn release(&mut self, attempt: AttemptId) {
        self.bookings.retain(|booking| booking.attempt != attempt);
    }

    /// Forgets bookings that ended before `now`.
    pub fn expire(&mut self, now: TimePoint) {
        self.bookings.retain(|booking| booking.end > now);
    }
}
