use super::CallFigures;
use crate::keys::TimePoint;

/// Width of a bin in microseconds.
const BIN_MICROS: i64 = 250_000;
/// Positions of the counts in a bin.
const FRESH: usize = 0;
const GRANTED: usize = 1;
const REFUSED: usize = 2;
/// Bins of one second.
const BIN_COUNT: usize = 4;
/// Counts the requests of one service and rank at this host.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallMeter {
    /// Fresh, granted and refused requests by bin; a bin is used again after a second.
    bins: [[u32; 3]; BIN_COUNT],
    /// Number of the newest bin since the start of the clock.
    newest_bin: i64,
}

impl CallMeter {
    /// Records a request that arrived without having been promised a return.
    pub fn record_fresh(&mut self, now: TimePoint) {
        self.count(now, FRESH);
    }

    /// Records a request that was granted memory or answered.
    pub fn record_granted(&mut self, now: TimePoint) {
        self.count(now, GRANTED);
    }

    /// Records a request that was refused.
    pub fn record_refused(&mut self, now: TimePoint) {
        self.count(now, REFUSED);
    }

    /// The figures of the last second.
    pub fn figures(&self, now: TimePoint) -> CallFigures {
        let mut current = *self;
        current.advance(now);
        let sum = |kind: usize| current.bins.iter().map(|bin| bin[kind]).sum();
        CallFigures { fresh: sum(FRESH), granted: sum(GRANTED), refused: sum(REFUSED) }
    }

    fn count(&mut self, now: TimePoint, kind: usize) {
        self.advance(now);
        self.bins[bin_index(self.newest_bin)][kind] += 1;
    }

    fn advance(&mut self, now: TimePoint) {
        let bin = now.0.div_euclid(BIN_MICROS);
        let passed = bin.saturating_sub(self.newest_bin).clamp(0, BIN_COUNT as i64);
        self.newest_bin = self.newest_bin.max(bin);
        for back in 0..passed {
            self.bins[bin_index(self.newest_bin - back)] = [0; 3];
        }
    }
}

fn bin_index(bin: i64) -> usize {
    bin.rem_euclid(BIN_COUNT as i64) as usize
}
