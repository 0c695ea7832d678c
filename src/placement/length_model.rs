const BUCKETS: usize = 32;
const DECAY: f64 = 0.995;
/// Halvings of the interval in which a quantile is searched; the result is exact to a thousandth.
const QUANTILE_STEPS: u32 = 10;

/// Distribution of the fraction of their token limit that answers use, learned from completed
/// answers.
///
/// A histogram of used over allowed tokens with exponential decay; it starts out uniform.
#[derive(Debug, Clone)]
pub struct LengthModel {
    counts: [f64; BUCKETS],
}

impl Default for LengthModel {
    fn default() -> Self {
        Self { counts: [0.5; BUCKETS] }
    }
}

impl LengthModel {
    /// A distribution that is highest at a half and falls evenly to zero at 0 and 1, as if `weight` answers had been
    /// recorded.
    pub fn centred(weight: f64) -> Self {
        let height = |bucket: usize| bucket.min(BUCKETS - 1 - bucket) as f64 + 0.5;
        let total: f64 = (0..BUCKETS).map(height).sum();
        Self { counts: std::array::from_fn(|bucket| weight * height(bucket) / total) }
    }

    /// Records that an answer used `fraction` of its token limit, from 0 to 1.
    pub fn record_used(&mut self, fraction: f64) {
        for count in &mut self.counts {
            *count *= DECAY;
        }
        let bucket = (fraction.clamp(0.0, 1.0) * BUCKETS as f64).ceil() as usize;
        self.counts[bucket.clamp(1, BUCKETS) - 1] += 1.0;
    }

    /// The probability that an answer that reached the fraction `reached` of its token limit also
    /// reaches the fraction `later`.
    pub fn survival(&self, reached: f64, later: f64) -> f64 {
        if later <= reached {
            return 1.0;
        }
        let reached_weight = self.weight_beyond(reached);
        if reached_weight <= f64::EPSILON {
            0.0
        } else {
            (self.weight_beyond(later) / reached_weight).min(1.0)
        }
    }

    /// The fraction of its token limit that an answer that reached the fraction `reached` does not exceed with this
    /// probability.
    pub fn quantile(&self, reached: f64, probability: f64) -> f64 {
        let (mut low, mut high) = (reached.clamp(0.0, 1.0), 1.0);
        for _ in 0..QUANTILE_STEPS {
            let middle = f64::midpoint(low, high);
            if self.survival(reached, middle) > 1.0 - probability {
                low = middle;
            } else {
                high = middle;
            }
        }
        high
    }

    /// Weight of the answers longer than `fraction`, assuming an even spread within its bucket.
    fn weight_beyond(&self, fraction: f64) -> f64 {
        let position = fraction.clamp(0.0, 1.0) * BUCKETS as f64;
        let bucket = position.floor() as usize;
        if bucket >= BUCKETS {
            return 0.0;
        }
        let bucket_rest = self.counts[bucket] * (1.0 - position.fract());
        bucket_rest + self.counts[bucket + 1..].iter().sum::<f64>()
    }
}
