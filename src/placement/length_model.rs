const BUCKETS: usize = 32;
const DECAY: f64 = 0.995;

/// What part of their allowance answers use, learnt from the answers that ended.
///
/// A histogram of used over allowed tokens, slowly forgetting; it begins as a uniform guess.
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
    /// An answer used `part` of its allowance, from 0 to 1.
    pub fn record_used(&mut self, part: f64) {
        for count in &mut self.counts {
            *count *= DECAY;
        }
        let place = (part.clamp(0.0, 1.0) * BUCKETS as f64).ceil() as usize;
        self.counts[place.clamp(1, BUCKETS) - 1] += 1.0;
    }

    /// The probability that an answer still runs at `later` parts of its allowance, given that it
    /// did at `reached`.
    pub fn survival(&self, reached: f64, later: f64) -> f64 {
        if later <= reached {
            return 1.0;
        }
        let alive = self.beyond(reached);
        if alive <= f64::EPSILON { 0.0 } else { (self.beyond(later) / alive).min(1.0) }
    }

    /// Weight of the answers longer than `part`, spread evenly within its bucket.
    fn beyond(&self, part: f64) -> f64 {
        let exact = part.clamp(0.0, 1.0) * BUCKETS as f64;
        let place = exact.floor() as usize;
        if place >= BUCKETS {
            return 0.0;
        }
        let rest = self.counts[place] * (1.0 - exact.fract());
        rest + self.counts[place + 1..].iter().sum::<f64>()
    }
}
