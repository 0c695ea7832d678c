use super::CallFigures;
use crate::keys::TimePoint;
use std::time::Duration;

/// Width of a bin in microseconds.
const BIN_MICROS: u64 = 250_000;
/// Positions of the counts in a bin.
const FRESH: usize = 0;
const GRANTED: usize = 1;
const REFUSED: usize = 2;
/// Bins of one second.
const BIN_COUNT: usize = 4;
/// Time constant of the mean rate. Demand varies within 15 s and bursts last 4 to 5 s, so that a burst moves the mean by
/// a fifth, while a lasting overload becomes the mean within a minute.
const MEAN_TIME: Duration = Duration::from_secs(20);
/// Least weight by which the mean of a new meter is divided. With a smaller one, the mean of the first few seconds would
/// follow single requests.
const MIN_WEIGHT: f64 = 0.2;

/// Counts the requests of one service and rank at this host.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallMeter {
    /// Fresh, granted and refused requests by bin; a bin is used again after a second.
    bins: [[u32; 3]; BIN_COUNT],
    /// Number of the newest bin since the start of the clock.
    newest_bin: u64,
    mean_fresh: f64,
    /// When the mean was last brought up to date; `None` before the first request.
    averaged_at: Option<TimePoint>,
    /// Sum of the weights in the mean, at most 1.
    mean_weight: f64,
}

impl CallMeter {
    /// Records a request that arrived for the first time.
    pub fn record_fresh(&mut self, now: TimePoint) {
        self.average(now);
        self.mean_fresh += 1.0 / MEAN_TIME.as_secs_f64();
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
        current.average(now);
        let sum = |kind: usize| current.bins.iter().map(|bin| bin[kind]).sum();
        // The mean of a meter that has just started is that of the time since its start.
        let mean = current.mean_fresh / current.mean_weight.max(MIN_WEIGHT);
        CallFigures {
            fresh: sum(FRESH),
            granted: sum(GRANTED),
            refused: sum(REFUSED),
            mean_fresh: mean as f32,
        }
    }

    fn count(&mut self, now: TimePoint, kind: usize) {
        self.advance(now);
        self.bins[bin_index(self.newest_bin)][kind] += 1;
    }

    fn advance(&mut self, now: TimePoint) {
        let bin = now.0 / BIN_MICROS;
        let passed = bin.saturating_sub(self.newest_bin).min(BIN_COUNT as u64);
        self.newest_bin = self.newest_bin.max(bin);
        for back in 0..passed {
            self.bins[bin_index(self.newest_bin - back)] = [0; 3];
        }
    }

    fn average(&mut self, now: TimePoint) {
        let since = self.averaged_at.map_or(Duration::ZERO, |at| now.since(at));
        let kept = (-since.as_secs_f64() / MEAN_TIME.as_secs_f64()).exp();
        self.mean_fresh *= kept;
        self.mean_weight = self.mean_weight.mul_add(kept, 1.0 - kept);
        self.averaged_at = Some(now);
    }
}

fn bin_index(bin: u64) -> usize {
    (bin % BIN_COUNT as u64) as usize
}
