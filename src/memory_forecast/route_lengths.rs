use super::AnswerSize;
use crate::keys::TimePoint;
use crate::placement::LengthModel;

/// Largest factor, as a power of two, by which an answer differs from its caller's estimate; larger ones count as this.
const MAX_DOUBLINGS: f64 = 3.0;

/// Weight of the assumption that estimates are right in the median, in answers. A host of a large fleet serves about one
/// answer per second, and should know the estimates of a route after some ten of them.
const ESTIMATE_WEIGHT: f64 = 8.0;

/// Lengths of the answers of one route.
#[derive(Debug, Clone)]
pub(super) struct RouteLengths {
    /// Logarithm of the length over the caller's estimate, scaled to the range from 0 to 1.
    by_estimate: LengthModel,
    /// Length over the maximum, of all answers.
    by_max: LengthModel,
    /// When an answer was last recorded.
    pub used_at: TimePoint,
}

impl Default for RouteLengths {
    fn default() -> Self {
        Self {
            by_estimate: LengthModel::centred(ESTIMATE_WEIGHT),
            by_max: LengthModel::default(),
            used_at: TimePoint::CLOCK_START,
        }
    }
}

impl RouteLengths {
    /// Records a finished answer of `actual` tokens.
    pub fn record(&mut self, now: TimePoint, size: AnswerSize, actual: u32) {
        self.used_at = now;
        if let Some(estimate) = size.estimate.filter(|estimate| *estimate > 0) {
            self.by_estimate.record_used(ratio_position(actual, estimate));
        }
        if size.max > 0 {
            self.by_max.record_used(f64::from(actual) / f64::from(size.max));
        }
    }

    /// The length that an answer that has reached `reached` tokens does not exceed with this probability.
    pub fn quantile(&self, size: AnswerSize, reached: u32, probability: f64) -> u32 {
        let length = match size.estimate.filter(|estimate| *estimate > 0) {
            Some(estimate) => {
                let position =
                    self.by_estimate.quantile(ratio_position(reached, estimate), probability);
                let doublings = (position * 2.0 - 1.0) * MAX_DOUBLINGS;
                f64::from(estimate) * doublings.exp2()
            }
            None => {
                let max = f64::from(size.max.max(1));
                self.by_max.quantile(f64::from(reached) / max, probability) * max
            }
        };
        (length.round() as u32).clamp(reached.min(size.max), size.max)
    }
}

/// Position of the ratio between a length and its estimate in the range from 0 to 1.
fn ratio_position(length: u32, estimate: u32) -> f64 {
    let doublings = (f64::from(length.max(1)) / f64::from(estimate)).log2();
    (doublings / MAX_DOUBLINGS).clamp(-1.0, 1.0).midpoint(1.0)
}
