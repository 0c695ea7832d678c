use super::SLOT_TIME;
use std::time::Duration;

/// Most receivers in one round. A domain of 24 hosts needs one round, one of 100 hosts four, which take a second.
const ROUND_TARGETS: usize = 32;
/// Rounds after which figures are sent again without a new promise: they expire after 1.5 s, so that one lost update is
/// compensated by the next one.
const REPEAT_ROUNDS: u32 = 3;
/// Longest time between two updates while callers are refused.
pub const REPEAT_TIME: Duration = SLOT_TIME.saturating_mul(REPEAT_ROUNDS);

/// Selects the hosts of the failure domain that receive an update in each round, in turn.
#[derive(Debug, Default)]
pub struct UpdateSchedule {
    /// Rounds since content was last scheduled for all hosts.
    rounds: u32,
    cursor: usize,
    /// Number of hosts that the present content has not been sent to yet.
    pending: usize,
}

impl UpdateSchedule {
    /// The positions of this round's receivers among `hosts`. `is_new`: there are promises that were not announced yet;
    /// `is_short`: hosts exchange figures because callers are being refused.
    pub fn next_round(&mut self, hosts: usize, is_new: bool, is_short: bool) -> Vec<usize> {
        self.rounds += 1;
        if is_new || (is_short && self.rounds >= REPEAT_ROUNDS) {
            self.pending = hosts;
            self.rounds = 0;
        }
        if !is_short && !is_new {
            self.pending = 0;
        }
        let count = self.pending.min(ROUND_TARGETS).min(hosts);
        self.pending -= count;
        let first = self.cursor;
        self.cursor = (first + count) % hosts.max(1);
        (first..first + count).map(|place| place % hosts).collect()
    }

    /// Number of rounds in which each of the hosts receives one update.
    pub const fn turn_rounds(hosts: usize) -> usize {
        hosts.div_ceil(ROUND_TARGETS)
    }
}
