use crate::keys::TimePoint;
use std::time::Duration;

/// A link that carries less than this, a megabit a second, counts as stalled.
const SLOWEST_BYTES_PER_S: f64 = 125_000.0;
/// Longest pause between two pieces of an answer that has begun.
const PIECE_PAUSE: Duration = Duration::from_millis(500);

/// How long an answer of the store is waited for. Others decide how long it is: a fixed time would end each try in the
/// same place, for ever, where a link is small or a configuration large.
#[derive(Debug, Clone, Copy)]
pub struct AnswerPace {
    began: TimePoint,
    limit: Duration,
}

impl AnswerPace {
    /// A question of `asked` bytes that leaves at `began`, whose answer begins within `limit` after it has arrived.
    pub fn new(began: TimePoint, asked: usize, limit: Duration) -> Self {
        Self { began, limit: limit + carry_time(asked) }
    }

    /// How long the answer's beginning is waited for.
    pub fn first_byte_timeout(&self) -> Duration {
        self.limit
    }

    /// How long the next piece is waited for when `received` bytes have come by `now`; zero if the call is given up.
    pub fn next_chunk_timeout(&self, now: TimePoint, received: usize) -> Duration {
        let longest = self.began + self.limit + carry_time(received) + PIECE_PAUSE;
        let in_time = (self.began + self.limit).since(now);
        PIECE_PAUSE.max(in_time).min(longest.since(now))
    }
}

fn carry_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / SLOWEST_BYTES_PER_S)
}
