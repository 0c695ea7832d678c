use super::{AnswerSize, GrowthForecast};
use crate::keys::TimePoint;
use crate::placement::LengthModel;

/// Minimum weight of one run in the means: about the last thirty count, which a host of a large fleet serves in half a
/// minute.
const MEAN_WEIGHT: f64 = 0.03;

/// The average run of a service.
#[derive(Debug, Clone, Default)]
pub(super) struct RunMix {
    /// Length over the maximum, of finished answers.
    lengths: LengthModel,
    /// Mean memory of a run when it starts, in tokens.
    mean_start: f64,
    /// Mean of the maximum length, in tokens.
    mean_max: f64,
    /// Number of runs in the means; the first ones have equal weights.
    run_count: u32,
    /// When a run last started.
    pub used_at: TimePoint,
}

impl RunMix {
    /// Records a run that starts with `start` tokens of memory.
    pub fn record_start(&mut self, now: TimePoint, start: u32, max: u32) {
        self.used_at = now;
        self.run_count = self.run_count.saturating_add(1);
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.run_count));
        self.mean_start += (f64::from(start) - self.mean_start) * weight;
        self.mean_max += (f64::from(max) - self.mean_max) * weight;
    }

    /// Records a finished answer of `actual` tokens.
    pub fn record_end(&mut self, size: AnswerSize, actual: u32) {
        if size.max > 0 {
            self.lengths.record_used(f64::from(actual) / f64::from(size.max));
        }
    }

    /// How the runs of this mix grow.
    pub fn growth(&self) -> GrowthForecast {
        GrowthForecast::new(self.lengths.remaining_curve(), self.mean_start, self.mean_max)
    }
}
