/// The demand of one organisation, and the weight of its share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WeightedDemand {
    /// What it demands.
    pub demand: f64,
    /// Its share relative to those of the others; positive.
    pub weight: f64,
}

impl WeightedDemand {
    /// The demand in units of the weight.
    pub fn per_weight(&self) -> f64 {
        self.demand / self.weight
    }
}

/// The weighted max-min fair share of `capacity` for a weight of one: the largest amount such that all demands, each cut
/// down to it times its weight, fit together. Infinite if all demands fit as they are.
pub fn fair_share(capacity: f64, demands: impl Iterator<Item = WeightedDemand>) -> f64 {
    let mut demands: Vec<WeightedDemand> = demands.collect();
    demands.sort_by(|left, right| left.per_weight().total_cmp(&right.per_weight()));
    let mut left = capacity;
    let mut weight: f64 = demands.iter().map(|entry| entry.weight).sum();
    for entry in &demands {
        let level = left / weight;
        if entry.per_weight() >= level {
            return level;
        }
        left -= entry.demand;
        weight -= entry.weight;
    }
    f64::INFINITY
}
