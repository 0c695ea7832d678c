use crate::keys::TimePoint;
use std::time::Duration;

/// Minimum throughput, one megabit per second; a slower link counts as stalled.
const MIN_BYTES_PER_S: f64 = 125_000.0;
/// Longest gap between two chunks of an answer that has begun.
const MAX_CHUNK_GAP: Duration = Duration::from_millis(500);

/// Timeouts of one answer of the store. They grow with the bytes transferred, because the router does not control how
/// large an answer is: on a slow link or with a large configuration, every retry would hit a fixed timeout at the same
/// point.
#[derive(Debug, Clone, Copy)]
pub struct AnswerPace {
    sent_at: TimePoint,
    limit: Duration,
}

impl AnswerPace {
    /// Creates the timeouts of a request of `request_bytes` that is sent at `sent_at`. The answer must begin within
    /// `limit` after the request has arrived.
    pub fn new(sent_at: TimePoint, request_bytes: usize, limit: Duration) -> Self {
        Self { sent_at, limit: limit + transfer_time(request_bytes) }
    }

    /// Returns how long to wait for the beginning of the answer.
    pub fn first_byte_timeout(&self) -> Duration {
        self.limit
    }

    /// Returns how long to wait for the next chunk when `received` bytes have arrived by `now`; zero if the call has
    /// timed out.
    pub fn next_chunk_timeout(&self, now: TimePoint, received: usize) -> Duration {
        let deadline = self.sent_at + self.limit + transfer_time(received) + MAX_CHUNK_GAP;
        let initial_wait = (self.sent_at + self.limit).since(now);
        MAX_CHUNK_GAP.max(initial_wait).min(deadline.since(now))
    }
}

fn transfer_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_S)
}
