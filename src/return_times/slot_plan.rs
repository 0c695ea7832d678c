use std::time::Duration;

/// Width of a slot, and the time between two updates that tell other hosts of promises.
pub const SLOT_TIME: Duration = Duration::from_millis(250);
/// The demand expected in each slot from the present time on, in requests per slot.
///
/// Nothing tells how long a shortage lasts, so requests are expected to arrive and memory to become free as in the last
/// second. Promised returns are known.
#[derive(Debug, Clone, PartialEq)]
pub struct SlotPlan {
    demand: Vec<f64>,
    capacity: f64,
}

impl SlotPlan {
    /// A plan without promises for returns up to `latest`. Rates are per second: `capacity` is granted, and `arrivals`
    /// come besides the promised returns.
    pub fn new(capacity: f64, arrivals: f64, latest: Duration) -> Self {
        let slot_seconds = SLOT_TIME.as_secs_f64();
        let demand = vec![arrivals * slot_seconds; slot_of(latest) + 1];
        Self { demand, capacity: capacity * slot_seconds }
    }

    /// Adds a promised return `after` the present time.
    pub fn add_return(&mut self, after: Duration) {
        if let Some(demand) = self.demand.get_mut(slot_of(after)) {
            *demand += 1.0;
        }
    }

    /// Whether capacity for another return is expected to be free between `earliest` and `latest`.
    pub fn has_free(&self, earliest: Duration, latest: Duration) -> bool {
        self.shares(earliest, latest).map(|(slot, share)| self.free(slot) * share).sum::<f64>()
            >= 1.0
    }

    /// Places a return between `earliest` and `latest`, where `unseen` others are being placed by other hosts at the
    /// same time. All of them fill the free capacity first, from the earliest slot on, and then the slots with the
    /// least demand; `draw` selects one of them.
    pub fn place(&self, earliest: Duration, latest: Duration, unseen: f64, draw: f64) -> Duration {
        let shares: Vec<(usize, f64)> = self.shares(earliest, latest).collect();
        let mut missing = 1.0 + unseen;
        let mut fills: Vec<f64> = Vec::with_capacity(shares.len());
        for (slot, share) in &shares {
            let fill = (self.free(*slot) * share).min(missing);
            missing -= fill;
            fills.push(fill);
        }
        if missing > 0.0 {
            let loads: Vec<(f64, f64)> = shares
                .iter()
                .zip(&fills)
                .map(|((slot, share), fill)| (self.demand[*slot] + fill / share, *share))
                .collect();
            let level = fill_level(&loads, missing);
            for (fill, (load, share)) in fills.iter_mut().zip(&loads) {
                *fill += (level - load).max(0.0) * share;
            }
        }
        let mut point = draw * fills.iter().sum::<f64>();
        for ((slot, _), fill) in shares.iter().zip(&fills) {
            if point < *fill {
                let begin = (SLOT_TIME * *slot as u32).max(earliest);
                let end = (SLOT_TIME * (*slot as u32 + 1)).min(latest);
                return begin + end.saturating_sub(begin).mul_f64(point / fill);
            }
            point -= fill;
        }
        latest
    }

    /// Whole requests that a slot has capacity for. A fraction would be promised as a whole one.
    fn free(&self, slot: usize) -> f64 {
        (self.capacity - self.demand[slot]).max(0.0).floor()
    }

    /// The slots between `earliest` and `latest`, each with the part of it that lies between them.
    fn shares(&self, earliest: Duration, latest: Duration) -> impl Iterator<Item = (usize, f64)> {
        (0..self.demand.len()).filter_map(move |slot| {
            let begin = (SLOT_TIME * slot as u32).max(earliest);
            let end = (SLOT_TIME * (slot as u32 + 1)).min(latest);
            let part = end.saturating_sub(begin);
            (!part.is_zero()).then(|| (slot, part.as_secs_f64() / SLOT_TIME.as_secs_f64()))
        })
    }
}

/// The level to which slots with the given loads and widths fill if `amount` flows to the lowest ones.
fn fill_level(loads: &[(f64, f64)], amount: f64) -> f64 {
    let mut sorted = loads.to_vec();
    sorted.sort_by(|left, right| left.0.total_cmp(&right.0));
    let (mut width, mut area, mut level) = (0.0, 0.0, 0.0);
    for (index, (load, share)) in sorted.iter().enumerate() {
        width += share;
        area += load * share;
        level = (area + amount) / width;
        if sorted.get(index + 1).is_none_or(|next| level <= next.0) {
            break;
        }
    }
    level
}

fn slot_of(after: Duration) -> usize {
    usize::try_from(after.as_micros() / SLOT_TIME.as_micros()).unwrap_or(usize::MAX)
}
