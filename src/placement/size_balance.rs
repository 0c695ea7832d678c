use std::time::Duration;

/// Weight of one quote for a short prompt in the moving average of the admission rate.
const RATE_WEIGHT: f64 = 0.02;
/// Change of the reserved fraction with each quote, as a multiple of how far the rate of long prompts is behind.
const RESERVE_GAIN: f64 = 0.02;
/// Target admission rate of long prompts, as a fraction of that of short ones.
const TARGET_RATIO: f64 = 0.9;
/// Largest fraction of the first-token target that is reserved for long prompts.
const MAX_RESERVED_FRACTION: f64 = 0.6;

/// Prevents long prompts from being refused much more often than short ones.
///
/// A long prompt needs a shorter queue than a short one to be in time. Near full load, short
/// prompts therefore fill the queue and long ones are refused. This controller compares the
/// admission rates of both and reserves time for long prompts for as long as their rate is behind.
#[derive(Debug, Clone)]
pub struct SizeBalance {
    short_rate: f64,
    long_rate: f64,
    reserved_fraction: f64,
}

impl Default for SizeBalance {
    fn default() -> Self {
        Self { short_rate: 1.0, long_rate: 1.0, reserved_fraction: 0.0 }
    }
}

impl SizeBalance {
    /// Records whether a quote for a long or a short prompt was admitted.
    pub fn record_quote(&mut self, is_long: bool, is_admitted: bool) {
        let sample = f64::from(u8::from(is_admitted));
        let rate = if is_long { &mut self.long_rate } else { &mut self.short_rate };
        // Long prompts are rarer; a larger weight lets both averages adapt equally fast.
        let weight = if is_long { RATE_WEIGHT * 4.0 } else { RATE_WEIGHT };
        *rate += weight * (sample - *rate);
        let behind = self.short_rate * TARGET_RATIO - self.long_rate;
        self.reserved_fraction =
            (self.reserved_fraction + RESERVE_GAIN * behind).clamp(0.0, MAX_RESERVED_FRACTION);
    }

    /// Time that a short prompt must leave free, for a first-token target in microseconds.
    pub fn reserve(&self, target_micros: u64) -> Duration {
        Duration::from_micros((target_micros as f64 * self.reserved_fraction) as u64)
    }
}
