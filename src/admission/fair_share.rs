/// The max-min fair share of `capacity`: the largest amount such that all demands, each cut down to it, fit together.
/// Infinite if all demands fit as they are.
pub fn fair_share(capacity: f64, demands: impl Iterator<Item = f64>) -> f64 {
    let mut demands: Vec<f64> = demands.collect();
    demands.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (index, demand) in demands.iter().enumerate() {
        let level = left / (demands.len() - index) as f64;
        if *demand >= level {
            return level;
        }
        left -= demand;
    }
    f64::INFINITY
}
