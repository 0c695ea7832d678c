use std::time::Duration;

const WEIGHT: f64 = 0.02;
const GAIN: f64 = 0.02;
/// Long prompts are to be admitted at no less than this part of the short ones' share.
const WANTED_PART: f64 = 0.9;
/// At most this part of the first-token target is kept free for long prompts.
const LARGEST_PART: f64 = 0.6;

/// Keeps long prompts from being shed first.
///
/// A long prompt needs a shorter queue than a short one to be in time, so near the edge short ones
/// fill the queue and long ones find no room. The balance compares how often each is admitted and
/// makes short ones leave room for as long as the long ones fall behind.
#[derive(Debug, Clone)]
pub struct SizeBalance {
    short_share: f64,
    long_share: f64,
    reserved_part: f64,
}

impl Default for SizeBalance {
    fn default() -> Self {
        Self { short_share: 1.0, long_share: 1.0, reserved_part: 0.0 }
    }
}

impl SizeBalance {
    /// Records whether a long or short request found room.
    pub fn record_quote(&mut self, long: bool, found_room: bool) {
        let seen = f64::from(u8::from(found_room));
        let share = if long { &mut self.long_share } else { &mut self.short_share };
        // Long prompts are rare; a larger weight keeps both averages equally fresh.
        let weight = if long { WEIGHT * 4.0 } else { WEIGHT };
        *share += weight * (seen - *share);
        let behind = self.short_share * WANTED_PART - self.long_share;
        self.reserved_part = (self.reserved_part + GAIN * behind).clamp(0.0, LARGEST_PART);
    }

    /// Room that a short request must leave, for a first-token target in microseconds.
    pub fn reserve(&self, target_micros: u64) -> Duration {
        Duration::from_micros((target_micros as f64 * self.reserved_part) as u64)
    }
}
