use crate::placement::{WasteCause, WasteLedger};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// Longest duration that a histogram records, in microseconds; longer ones count as this long.
const MAX_MICROS: u64 = 600_000_000;
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.95, 0.99];
/// Most duration series; further ones are recorded under `other`, so that callers cannot exhaust the memory.
const MAX_SERIES: usize = 2000;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestOutcome {
    /// The complete answer was written.
    Whole,
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The caller disconnected.
    Cancelled,
    /// The request was malformed.
    Invalid,
}

impl RequestOutcome {
    /// Returns the name used in metrics and logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Cancelled => "cancelled",
            Self::Invalid => "invalid",
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct SeriesKey {
    metric: &'static str,
    class: String,
    organisation: String,
}

/// Metrics of this host: duration histograms by class and organisation, request outcomes and counters.
#[derive(Debug, Default)]
pub struct MetricRegistry {
    durations: BTreeMap<SeriesKey, Histogram<u64>>,
    outcomes: BTreeMap<(RequestOutcome, String, String), u64>,
    counters: BTreeMap<&'static str, u64>,
    /// Prefill work that was done and that was wasted.
    pub waste: WasteLedger,
}

impl MetricRegistry {
    /// Records a duration in the histogram of `metric`, such as `first_token_seconds`.
    pub fn record_duration(
        &mut self,
        metric: &'static str,
        class: &str,
        org: &str,
        duration: Duration,
    ) {
        let is_full = self.durations.len() >= MAX_SERIES;
        let mut key = SeriesKey { metric, class: class.to_owned(), organisation: org.to_owned() };
        if is_full && !self.durations.contains_key(&key) {
            key.class = "other".to_owned();
            key.organisation = "other".to_owned();
        }
        let histogram = self.durations.entry(key).or_insert_with(new_histogram);
        let micros = u64::try_from(duration.as_micros()).unwrap_or(MAX_MICROS);
        histogram.saturating_record(micros.clamp(1, MAX_MICROS));
    }

    /// Counts a request that has ended.
    pub fn record_outcome(&mut self, outcome: RequestOutcome, class: &str, org: &str) {
        *self.outcomes.entry((outcome, class.to_owned(), org.to_owned())).or_default() += 1;
    }

    /// Adds `amount` to a counter.
    pub fn add(&mut self, counter: &'static str, amount: u64) {
        *self.counters.entry(counter).or_default() += amount;
    }

    /// Returns the value of a counter.
    pub fn counter(&self, counter: &str) -> u64 {
        self.counters.get(counter).copied().unwrap_or_default()
    }

    /// Returns all counters with their values.
    pub fn counters(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.counters.iter().map(|(name, value)| (*name, *value))
    }

    /// Formats all metrics in the Prometheus text format.
    pub fn prometheus_text(&self) -> String {
        let mut text = String::new();
        for (key, histogram) in &self.durations {
            let labels = format!("class=\"{}\",organisation=\"{}\"", key.class, key.organisation);
            for quantile in QUANTILES {
                let seconds = histogram.value_at_quantile(quantile) as f64 / 1e6;
                let _ = writeln!(
                    text,
                    "tealcleat_{}{{{labels},quantile=\"{quantile}\"}} {seconds}",
                    key.metric
                );
            }
            let _ =
                writeln!(text, "tealcleat_{}_count{{{labels}}} {}", key.metric, histogram.len());
        }
        for ((outcome, class, org), count) in &self.outcomes {
            let _ = writeln!(
                text,
                "tealcleat_requests_total{{outcome=\"{}\",class=\"{class}\",organisation=\"{org}\"}} {count}",
                outcome.name()
            );
        }
        let _ =
            writeln!(text, "tealcleat_prefill_seconds_total {}", self.waste.done().as_secs_f64());
        for cause in WasteCause::ALL {
            let seconds = self.waste.wasted(cause).as_secs_f64();
            let name = cause.name();
            let _ = writeln!(
                text,
                "tealcleat_prefill_wasted_seconds_total{{cause=\"{name}\"}} {seconds}"
            );
        }
        for (counter, value) in &self.counters {
            let _ = writeln!(text, "tealcleat_{counter}_total {value}");
        }
        let violations = crate::invariant::violations();
        let _ = writeln!(text, "tealcleat_invariant_violations_total {violations}");
        text
    }
}

fn new_histogram() -> Histogram<u64> {
    // With two significant digits a series takes a few kilobytes.
    match Histogram::new_with_bounds(1, MAX_MICROS, 2) {
        Ok(histogram) => histogram,
        Err(error) => unreachable!("constant bounds are valid: {error}"),
    }
}
