use crate::keys::TimePoint;
use serde::{Deserialize, Serialize};
use std::f64::consts::LN_2;
use std::time::Duration;

/// Requests count half after this time, so that the means follow the traffic.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Reads, and streams begun, before the means are believed. At ten requests a second this is one
/// second; waiting for 25 streams to end took eight, with a server too few for decoding.
const LEAST_SAMPLES: f64 = 8.0;
/// Weight of one timing in the pace of tokens: about the last fifty count, so that neither a stalled
/// stream nor one full batch decides.
const TOKEN_PACE_WEIGHT: f64 = 0.02;
/// How far the best pace of reading moves towards that of each slower read, so that it follows
/// servers that turn slow for good.
const PACE_FORGETTING: f64 = 0.01;
/// Requests counted in less time than this tell no rate yet, in seconds.
const LEAST_COUNTED: f64 = 0.1;
/// Least part of a read's mean pace that is believed to be its own work.
const LEAST_SLOPE: f64 = 0.3;
/// Part of a decode server's memory that running answers can fill, since each needs room for its
/// whole length when it is admitted.
const MEMORY_FILL: f64 = 0.85;

/// Sums over the prompts read and the streams begun lately; those of several hosts add up.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct WorkSums {
    reads: f64,
    prompt_tokens: f64,
    prompt_squares: f64,
    read_seconds: f64,
    /// Sum of prompt tokens times seconds of their read.
    read_products: f64,
    streams: f64,
    /// Sum of the memory tokens times the seconds that each stream is expected to take.
    memory_seconds: f64,
    /// Time in which the rest was counted, fading like it.
    counted_seconds: f64,
}

/// What an average request takes of each pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestWork {
    /// Seconds of one prefill server.
    pub read_seconds: f64,
    /// Seconds of the whole memory of one decode server.
    pub decode_seconds: f64,
}

/// One host's sums, fading with time.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkMeter {
    sums: WorkSums,
    faded_at: TimePoint,
    /// Seconds for each token of the fastest reads lately: those that waited for no other.
    best_pace: Option<f64>,
    /// Seconds for each token of the answers that run.
    token_pace: Option<f64>,
    /// Timings that went into it; the first ones count alike.
    paces: u32,
}

impl WorkMeter {
    /// A prompt of `tokens` was read in `took`.
    pub fn record_read(&mut self, now: TimePoint, tokens: u32, took: Duration) {
        self.begin_or_fade(now);
        let (tokens, seconds) = (f64::from(tokens), took.as_secs_f64());
        self.sums.reads += 1.0;
        self.sums.prompt_tokens += tokens;
        self.sums.prompt_squares += tokens * tokens;
        self.sums.read_seconds += seconds;
        self.sums.read_products += tokens * seconds;
        let pace = seconds / tokens.max(1.0);
        let best = self.best_pace.map_or(pace, |best| best + (pace - best) * PACE_FORGETTING);
        self.best_pace = Some(best.min(pace));
    }

    /// Time in which a prefill server reads `tokens`; zero until one has read something.
    pub fn read_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(self.best_pace.unwrap_or_default() * f64::from(tokens))
    }

    /// A running stream made `tokens` in `took`.
    pub fn record_pace(&mut self, tokens: u32, took: Duration) {
        let pace = took.as_secs_f64() / f64::from(tokens.max(1));
        self.paces = self.paces.saturating_add(1);
        let mean = self.token_pace.unwrap_or(pace);
        let weight = TOKEN_PACE_WEIGHT.max(1.0 / f64::from(self.paces));
        self.token_pace = Some(mean + (pace - mean) * weight);
    }

    /// A stream began whose answer is expected to have `output` tokens: it takes its prompt and, on
    /// average, half of its answer. Streams are counted as they begin, since the first to end are
    /// the short ones; before the pace of tokens is known, they are not counted.
    pub fn record_stream(&mut self, now: TimePoint, prompt: u32, output: u32) {
        let Some(pace) = self.token_pace else { return };
        self.begin_or_fade(now);
        let memory = f64::from(prompt) + f64::from(output) / 2.0;
        self.sums.streams += 1.0;
        self.sums.memory_seconds += memory * f64::from(output) * pace;
    }

    /// The sums as they stand.
    pub fn sums(&self, now: TimePoint) -> WorkSums {
        let mut faded = *self;
        faded.fade(now);
        faded.sums
    }

    /// Time counts from the first request on, not from the start of the host.
    fn begin_or_fade(&mut self, now: TimePoint) {
        if self.sums == WorkSums::default() {
            self.faded_at = now;
        }
        self.fade(now);
    }

    fn fade(&mut self, now: TimePoint) {
        if self.sums == WorkSums::default() {
            return;
        }
        let halves = now.since(self.faded_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let part = 0.5_f64.powf(halves);
        self.sums = self.sums.times(part);
        self.sums.counted_seconds += (1.0 - part) * HALF_LIFE.as_secs_f64() / LN_2;
        self.faded_at = now;
    }
}

impl WorkSums {
    /// The sums of two hosts together.
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

    /// Requests a second of `hosts` hosts, if those whose sums these are have as many as the others: one host hears
    /// only some of a large fleet.
    pub fn requests_per_second(&self, hosts: usize) -> f64 {
        self.streams / self.counted_seconds.max(LEAST_COUNTED) * hosts as f64
    }

    /// What an average request takes, once enough have begun.
    pub fn request_work(&self, memory_tokens: u32) -> Option<RequestWork> {
        if self.reads < LEAST_SAMPLES || self.streams < LEAST_SAMPLES {
            return None;
        }
        let prompt = self.prompt_tokens / self.reads;
        let memory = f64::from(memory_tokens.max(1)) * MEMORY_FILL;
        Some(RequestWork {
            read_seconds: self.seconds_per_token() * prompt,
            decode_seconds: self.memory_seconds / self.streams / memory,
        })
    }

    /// How much longer a read takes for each token more: what all reads wait for alike, as queues
    /// and fixed costs, takes no server's time away from others.
    fn seconds_per_token(&self) -> f64 {
        let (tokens, seconds) = (self.prompt_tokens / self.reads, self.read_seconds / self.reads);
        let variance = self.prompt_squares / self.reads - tokens * tokens;
        let covariance = self.read_products / self.reads - tokens * seconds;
        let whole = seconds / tokens.max(1.0);
        if variance <= 0.0 {
            return whole;
        }
        (covariance / variance).clamp(whole * LEAST_SLOPE, whole)
    }

    fn times(self, part: f64) -> Self {
        Self {
            reads: self.reads * part,
            prompt_tokens: self.prompt_tokens * part,
            prompt_squares: self.prompt_squares * part,
            read_seconds: self.read_seconds * part,
            read_products: self.read_products * part,
            streams: self.streams * part,
            memory_seconds: self.memory_seconds * part,
            counted_seconds: self.counted_seconds * part,
        }
    }
}
