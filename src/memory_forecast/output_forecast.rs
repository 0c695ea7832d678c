use super::AnswerSize;
use super::route_lengths::RouteLengths;
use crate::keys::{NameKey, TimePoint};
use std::collections::HashMap;

/// Most routes whose answers are remembered, at 0.6 KB each. The one that was used longest ago is dropped.
const MAX_ROUTES: usize = 256;
/// Probability that an answer needs no more than its hold names. An answer that outgrows its hold is preempted if no
/// memory is left: its caller waits while its prompt is read again.
/// But the engine reserves what the hold named for the whole run, so a higher quantile, or memory for the growth of
/// other runs, refuses more callers than it saves from preemption.
const HOLD_QUANTILE: f64 = 0.65;

/// The lengths of answers by route.
#[derive(Debug, Default)]
pub struct OutputForecast {
    routes: HashMap<NameKey, RouteLengths>,
}

impl OutputForecast {
    /// Records a finished answer of `actual` tokens.
    pub fn record(&mut self, now: TimePoint, route: NameKey, size: AnswerSize, actual: u32) {
        self.evict_oldest(route);
        self.routes.entry(route).or_default().record(now, size, actual);
    }

    /// Length in tokens that a hold assumes for an answer of `route` that has reached `reached` tokens; never less than
    /// `reached`.
    pub fn hold_length(&self, route: NameKey, size: AnswerSize, reached: u32) -> u32 {
        self.length(route, size, reached, HOLD_QUANTILE)
    }

    /// Length in tokens that an answer of `route` that has reached `reached` tokens does not exceed with this probability.
    pub fn length(&self, route: NameKey, size: AnswerSize, reached: u32, probability: f64) -> u32 {
        let length = match self.routes.get(&route) {
            Some(lengths) => lengths.quantile(size, reached, probability),
            None => RouteLengths::default().quantile(size, reached, probability),
        };
        length.max(reached)
    }

    /// Drops the route that was used longest ago if `route` is new and the table is full.
    fn evict_oldest(&mut self, route: NameKey) {
        if self.routes.len() < MAX_ROUTES || self.routes.contains_key(&route) {
            return;
        }
        let oldest = self.routes.iter().min_by_key(|(key, lengths)| (lengths.used_at, **key));
        if let Some(oldest) = oldest.map(|(key, _)| *key) {
            self.routes.remove(&oldest);
        }
    }
}
