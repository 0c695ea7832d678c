/// Probability that the runs of a full server grow by more than the headroom that a new run leaves them. A preempted
/// answer loses about 0.7 of its value to its pause and is prefilled again; a token of headroom costs a four-thousandth
/// of a run. In trials with a pool like that of `tests/memory_forecast.rs`, 0.3 served the most value at and above
/// capacity, and 0.1 and 0.5 less.
const OVERRUN_RISK: f64 = 0.3;
/// Steps in which the growth is followed between two points of the curve.
const STEPS_PER_POINT: usize = 2;

/// How the runs at a decode server grow until they end and free their memory.
#[derive(Debug, Clone)]
pub struct GrowthForecast {
    /// Probability that a run has more than each of evenly spaced fractions of `max_tokens` still to come.
    curve: Vec<f64>,
    max_tokens: f64,
    /// Mean memory of a running run, in tokens.
    run_tokens: f64,
}

impl GrowthForecast {
    /// Runs that start with `mean_start` tokens of memory and generate `mean_max` tokens at most; `curve` are the
    /// probabilities that a run has more than evenly spaced fractions of that maximum still to come.
    pub fn new(curve: Vec<f64>, mean_start: f64, mean_max: f64) -> Self {
        // The mean of what a run still generates is also the mean of what it has generated.
        let areas = curve.windows(2).map(|pair| f64::midpoint(pair[0], pair[1]));
        let generated = areas.sum::<f64>() / (curve.len().max(2) - 1) as f64 * mean_max;
        Self { curve, max_tokens: mean_max, run_tokens: (mean_start + generated).max(1.0) }
    }

    /// Mean memory of a running run, in tokens.
    pub fn run_tokens(&self) -> f64 {
        self.run_tokens
    }

    /// The growth that the memory of `runs` runs together does not exceed at any time but for the accepted risk.
    ///
    /// All runs of a server grow alike, and each frees its memory when it ends. So their memory rises until the first
    /// ends, and falls below its present size then unless the prompts are short. That they all grow to their full
    /// length without an end between them is much less likely than the risk accepted here.
    pub fn peak_growth(&self, runs: u32) -> u32 {
        let steps = (self.curve.len().max(1) - 1) * STEPS_PER_POINT;
        let peak = (1..=steps)
            .map(|step| {
                let fraction = step as f64 / steps as f64;
                let grown = fraction * self.max_tokens;
                let ended = fewest_ends(runs, self.remaining_probability(fraction));
                f64::from(runs - ended) * grown - f64::from(ended) * self.run_tokens
            })
            .fold(0.0, f64::max);
        peak.ceil() as u32
    }

    fn remaining_probability(&self, fraction: f64) -> f64 {
        let position = fraction * (self.curve.len() - 1) as f64;
        let point = (position.floor() as usize).min(self.curve.len() - 2);
        let (left, right) = (self.curve[point], self.curve[point + 1]);
        left + (right - left) * (position - point as f64)
    }
}

/// The number of `runs` that have ended, at least, but for the accepted risk, if each still runs with probability
/// `running`.
fn fewest_ends(runs: u32, running: f64) -> u32 {
    if running <= f64::EPSILON {
        return runs;
    }
    let odds = (1.0 - running) / running;
    let mut probability = running.powi(i32::try_from(runs).unwrap_or(i32::MAX));
    let (mut cumulated, mut ended) = (probability, 0);
    while cumulated < OVERRUN_RISK && ended < runs {
        probability *= f64::from(runs - ended) / f64::from(ended + 1) * odds;
        ended += 1;
        cumulated += probability;
    }
    ended
}
