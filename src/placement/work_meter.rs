use crate::keys::TimePoint;
use serde::{Deserialize, Serialize};
use std::f64::consts::LN_2;
use std::time::Duration;

/// Half-life of the weight of a request, so that the means follow the traffic.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Minimum number of prompt reads, and of started streams, for the means to be used. At ten
/// requests a second this takes one second; waiting for 25 streams to end would take eight, during
/// which the decode pool can be one server short.
const MIN_SAMPLES: f64 = 8.0;
/// Weight of one measurement in the time per token. About the last fifty count, so that the result
/// depends neither on one stalled stream nor on one full batch.
const TOKEN_PACE_WEIGHT: f64 = 0.02;
/// Weight of one stream in the mean times of runs and of their starts. About the last sixteen count.
const RUN_WEIGHT: f64 = 1.0 / 16.0;
/// Fraction by which the best read time per token moves towards that of each slower read, so that
/// it follows servers that become permanently slower.
const BEST_PACE_RELAXATION: f64 = 0.01;
/// Minimum time over which a request rate is computed, in seconds.
const MIN_COUNTED_SECONDS: f64 = 0.1;
/// Minimum fraction of the mean read time per token that is attributed to the read itself.
const MIN_SLOPE_FRACTION: f64 = 0.3;
/// Fraction of a decode server's memory that running answers can fill, since each needs memory for
/// its whole length when it is admitted.
const USABLE_MEMORY: f64 = 0.85;

/// Decaying sums over the recent prompt reads and started streams. The sums of several hosts can be
/// added.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct WorkSums {
    reads: f64,
    prompt_tokens: f64,
    prompt_squares: f64,
    read_seconds: f64,
    /// Sum of the prompt tokens times the seconds of each read.
    read_products: f64,
    streams: f64,
    /// Sum of the memory tokens times the expected seconds of each stream.
    memory_seconds: f64,
    /// Time over which the other sums were collected, with the same decay.
    counted_seconds: f64,
}

/// The work of an average request in each pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestWork {
    /// Time on one prefill server, in seconds.
    pub read_seconds: f64,
    /// Time for which the request would use the whole memory of one decode server, in seconds.
    pub decode_seconds: f64,
}

/// The sums of one host, with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkMeter {
    sums: WorkSums,
    decayed_at: TimePoint,
    /// Seconds per token of the fastest recent reads, which did not wait for others.
    best_pace: Option<f64>,
    /// Seconds per token of the running answers.
    token_pace: Option<f64>,
    /// Number of measurements in `token_pace`; the first ones have equal weights.
    pace_count: u32,
    /// Mean time for which started streams are expected to run, in seconds.
    run_seconds: Option<f64>,
    /// Mean time from when a run is sent with its prompt read until its first event, in seconds.
    start_seconds: Option<f64>,
}

impl WorkMeter {
    /// Records that a prompt of `tokens` was read in `took`.
    pub fn record_read(&mut self, now: TimePoint, tokens: u32, took: Duration) {
        self.start_or_decay(now);
        let (tokens, seconds) = (f64::from(tokens), took.as_secs_f64());
        self.sums.reads += 1.0;
        self.sums.prompt_tokens += tokens;
        self.sums.prompt_squares += tokens * tokens;
        self.sums.read_seconds += seconds;
        self.sums.read_products += tokens * seconds;
        let pace = seconds / tokens.max(1.0);
        let best = self.best_pace.map_or(pace, |best| best + (pace - best) * BEST_PACE_RELAXATION);
        self.best_pace = Some(best.min(pace));
    }

    /// Time in which a prefill server reads `tokens`; zero until a read has been recorded.
    pub fn read_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(self.best_pace.unwrap_or_default() * f64::from(tokens))
    }

    /// Records that the first event of a run whose prompt had been read arrived in `took`.
    pub fn record_start(&mut self, took: Duration) {
        let seconds = took.as_secs_f64();
        let mean = self.start_seconds.unwrap_or(seconds);
        self.start_seconds = Some(mean + (seconds - mean) * RUN_WEIGHT);
    }

    /// Mean time from when a run is sent with its prompt read until its first event; zero until one was recorded.
    pub fn start_time(&self) -> Duration {
        Duration::from_secs_f64(self.start_seconds.unwrap_or_default())
    }

    /// Records that a running stream produced `tokens` in `took`.
    pub fn record_pace(&mut self, tokens: u32, took: Duration) {
        let pace = took.as_secs_f64() / f64::from(tokens.max(1));
        self.pace_count = self.pace_count.saturating_add(1);
        let mean = self.token_pace.unwrap_or(pace);
        let weight = TOKEN_PACE_WEIGHT.max(1.0 / f64::from(self.pace_count));
        self.token_pace = Some(mean + (pace - mean) * weight);
    }

    /// Time in which an answer of `tokens` is generated; `None` until the time per token is known.
    pub fn answer_time(&self, tokens: u32) -> Option<Duration> {
        Some(Duration::from_secs_f64(self.token_pace? * f64::from(tokens)))
    }

    /// Records a started stream whose answer is expected to have `output` tokens. Its memory use is
    /// the prompt and, on average, half of the answer.
    ///
    /// Streams are counted when they start, since the first to end are the short ones. They are not
    /// counted until the time per token is known.
    pub fn record_stream(&mut self, now: TimePoint, prompt: u32, output: u32) {
        let Some(pace) = self.token_pace else { return };
        self.start_or_decay(now);
        let memory = f64::from(prompt) + f64::from(output) / 2.0;
        let seconds = f64::from(output) * pace;
        self.sums.streams += 1.0;
        self.sums.memory_seconds += memory * seconds;
        let mean = self.run_seconds.unwrap_or(seconds);
        self.run_seconds = Some(mean + (seconds - mean) * RUN_WEIGHT);
    }

    /// Mean time for which a stream runs; `None` until one has started whose pace is known.
    pub fn run_time(&self) -> Option<Duration> {
        self.run_seconds.map(Duration::from_secs_f64)
    }

    /// The sums, decayed to `now`.
    pub fn sums(&self, now: TimePoint) -> WorkSums {
        let mut decayed = *self;
        decayed.decay(now);
        decayed.sums
    }

    /// Starts counting time with the first request rather than with the start of the host.
    fn start_or_decay(&mut self, now: TimePoint) {
        if self.sums == WorkSums::default() {
            self.decayed_at = now;
        }
        self.decay(now);
    }

    fn decay(&mut self, now: TimePoint) {
        if self.sums == WorkSums::default() {
            return;
        }
        let half_lives = now.since(self.decayed_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(half_lives);
        self.sums = self.sums.scaled(factor);
        self.sums.counted_seconds += (1.0 - factor) * HALF_LIFE.as_secs_f64() / LN_2;
        self.decayed_at = now;
    }
}

impl WorkSums {
    /// The combined sums of two sets of hosts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            reads: self.reads + other.reads,
            prompt_tokens: self.prompt_tokens + other.prompt_tokens,
            prompt_squares: self.prompt_squares + other.prompt_squares,
            read_seconds: self.read_seconds + other.read_seconds,
            read_products: self.read_products + other.read_products,
            streams: self.streams + other.streams,
            memory_seconds: self.memory_seconds + other.memory_seconds,
            counted_seconds: self.counted_seconds + other.counted_seconds,
        }
    }

    /// Estimated requests per second of `hosts` hosts. Assumes that the hosts in these sums have
    /// the same rate as the others, since one host receives updates from only some hosts of a large
    /// fleet.
    pub fn requests_per_second(&self, hosts: usize) -> f64 {
        self.streams / self.counted_seconds.max(MIN_COUNTED_SECONDS) * hosts as f64
    }

    /// The work of an average request, or `None` until enough requests have started.
    pub fn request_work(&self, memory_tokens: u32) -> Option<RequestWork> {
        if self.reads < MIN_SAMPLES || self.streams < MIN_SAMPLES {
            return None;
        }
        let prompt = self.prompt_tokens / self.reads;
        let memory = f64::from(memory_tokens.max(1)) * USABLE_MEMORY;
        Some(RequestWork {
            read_seconds: self.seconds_per_token() * prompt,
            decode_seconds: self.memory_seconds / self.streams / memory,
        })
    }

    /// Additional read time per additional token (the slope of a linear regression). Time that all
    /// reads spend alike, such as queueing and fixed costs, is not server time that one read takes
    /// from others.
    fn seconds_per_token(&self) -> f64 {
        let (tokens, seconds) = (self.prompt_tokens / self.reads, self.read_seconds / self.reads);
        let variance = self.prompt_squares / self.reads - tokens * tokens;
        let covariance = self.read_products / self.reads - tokens * seconds;
        let mean_pace = seconds / tokens.max(1.0);
        if variance <= 0.0 {
            return mean_pace;
        }
        (covariance / variance).clamp(mean_pace * MIN_SLOPE_FRACTION, mean_pace)
    }

    fn scaled(self, factor: f64) -> Self {
        Self {
            reads: self.reads * factor,
            prompt_tokens: self.prompt_tokens * factor,
            prompt_squares: self.prompt_squares * factor,
            read_seconds: self.read_seconds * factor,
            read_products: self.read_products * factor,
            streams: self.streams * factor,
            memory_seconds: self.memory_seconds * factor,
            counted_seconds: self.counted_seconds * factor,
        }
    }
}
