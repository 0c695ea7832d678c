use super::Deployment;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Share of the calls that go to the plain service and must run at most once.
const ONCE_SHARE: f64 = 0.06;
/// Share of these calls that are sent twice, to two hosts.
const DUPLICATE_SHARE: f64 = 0.5;
/// Share of the completions whose caller disconnects early.
const DISCONNECT_SHARE: f64 = 0.02;
/// Number of series; a long prompt of a reader platform begins with the history of one of them.
const SERIES_COUNT: u32 = 40;
/// Tokens of a series' history, which prompts share.
const SERIES_TOKENS: u32 = 256;

/// Content of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallKind {
    /// A completion.
    Completion {
        /// The prompt.
        prompt: String,
        /// Number of its tokens.
        tokens: u32,
        /// Whether it counts as long, which means more than half a second of prefill.
        long: bool,
        /// Number of tokens after which the caller disconnects, if it does.
        disconnect_after: Option<usize>,
    },
    /// A call that must run at most once.
    Once {
        /// The body, unique in the run.
        body: String,
        /// Whether it is sent twice, to two hosts.
        is_duplicated: bool,
    },
}

/// One call of a load mix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadCall {
    /// Time from the start of the run at which it is sent.
    pub at: Duration,
    /// Organisation that sends it.
    pub organisation: &'static str,
    /// What is sent.
    pub kind: CallKind,
}

/// Generates the calls of a run; the same seed gives the same calls for every policy.
#[derive(Debug)]
pub struct LoadMix {
    rng: StdRng,
    deployment: Deployment,
    rate: f64,
    next_at: f64,
    serial: u64,
}

impl LoadMix {
    /// Creates a mix of `rate` completions per second.
    pub fn new(deployment: &Deployment, rate: f64, seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            deployment: deployment.clone(),
            rate,
            next_at: 0.0,
            serial: 0,
        }
    }

    /// Generates the next call.
    pub fn next_call(&mut self) -> LoadCall {
        let total = self.rate / (1.0 - ONCE_SHARE);
        self.next_at += -(1.0 - self.rng.random::<f64>()).ln() / total;
        self.serial += 1;
        let organisations = self.deployment.organisations;
        let organisation = organisations[self.rng.random_range(0..organisations.len())];
        let kind = if self.rng.random::<f64>() < ONCE_SHARE {
            let is_duplicated = self.rng.random::<f64>() < DUPLICATE_SHARE;
            CallKind::Once { body: format!("{{\"job\":{}}}", self.serial), is_duplicated }
        } else {
            self.completion()
        };
        LoadCall { at: Duration::from_secs_f64(self.next_at), organisation, kind }
    }

    fn completion(&mut self) -> CallKind {
        let is_long = self.rng.random::<f64>() < self.deployment.long_share;
        let (low, high) =
            if is_long { self.deployment.long_tokens } else { self.deployment.short_tokens };
        let tokens = self.rng.random_range(low..=high);
        let shared_tokens = if is_long { SERIES_TOKENS } else { 0 };
        let series = self.rng.random_range(0..SERIES_COUNT);
        let mut prompt = String::new();
        for index in 0..tokens {
            if index < shared_tokens {
                prompt.push_str(&format!("s{series}w{index} "));
            } else {
                prompt.push_str(&format!("q{}w{index} ", self.serial));
            }
        }
        let disconnects = self.rng.random::<f64>() < DISCONNECT_SHARE;
        let disconnect_after = disconnects.then(|| self.rng.random_range(0..10));
        let rate = super::EngineTiming::STANDARD.prefill_tokens_per_second;
        let long = f64::from(tokens) / rate > 0.5;
        CallKind::Completion { prompt, tokens, long, disconnect_after }
    }
}
