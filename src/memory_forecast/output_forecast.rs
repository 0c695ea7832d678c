use super::route_lengths::RouteLengths;
use super::run_mix::RunMix;
use super::{AnswerSize, GrowthForecast};
use crate::keys::{NameKey, TimePoint};
use std::collections::HashMap;

/// Most routes and most services whose answers are remembered; at 0.6 KB each. The one that was used longest ago is
/// dropped.
const MAX_ENTRIES: usize = 256;
/// Probability that an answer needs no more than it is expected to. A longer one is likely to outlast runs that free
/// their memory in the meantime; in trials with a pool, 0.8 served less than 0.5 with a larger accepted risk.
const NEED_QUANTILE: f64 = 0.5;

/// The lengths of answers, by route and by service.
#[derive(Debug, Default)]
pub struct OutputForecast {
    routes: HashMap<NameKey, RouteLengths>,
    services: HashMap<NameKey, RunMix>,
}

impl OutputForecast {
    /// Records a run of `service` that starts with `start` tokens of memory.
    pub fn record_start(&mut self, now: TimePoint, service: NameKey, start: u32, size: AnswerSize) {
        make_place(&mut self.services, service, |mix| mix.used_at);
        self.services.entry(service).or_default().record_start(now, start, size.max);
    }

    /// Records a finished answer of `actual` tokens.
    pub fn record(
        &mut self,
        now: TimePoint,
        service: NameKey,
        route: NameKey,
        size: AnswerSize,
        actual: u32,
    ) {
        make_place(&mut self.routes, route, |lengths| lengths.used_at);
        self.routes.entry(route).or_default().record(now, size, actual);
        if let Some(mix) = self.services.get_mut(&service) {
            mix.record_end(size, actual);
        }
    }

    /// Tokens that an answer of `route` is expected to have.
    pub fn expected(&self, route: NameKey, size: AnswerSize) -> u32 {
        self.remaining(route, size, 0)
    }

    /// Tokens that an answer of `route` that has reached `reached` tokens is expected to have still to come.
    pub fn remaining(&self, route: NameKey, size: AnswerSize, reached: u32) -> u32 {
        let length = match self.routes.get(&route) {
            Some(lengths) => lengths.quantile(size, reached, NEED_QUANTILE),
            None => RouteLengths::default().quantile(size, reached, NEED_QUANTILE),
        };
        length.saturating_sub(reached)
    }

    /// How the runs of `service` grow. Before the first one, all are taken to be like a run that starts with `start`
    /// tokens of memory.
    pub fn growth(&self, service: NameKey, start: u32, size: AnswerSize) -> GrowthForecast {
        if let Some(mix) = self.services.get(&service) {
            return mix.growth();
        }
        let mut mix = RunMix::default();
        mix.record_start(TimePoint::default(), start, size.max);
        mix.growth()
    }
}

/// Drops the entry that was used longest ago if there is no place for a new one.
fn make_place<T>(
    entries: &mut HashMap<NameKey, T>,
    key: NameKey,
    used_at: impl Fn(&T) -> TimePoint,
) {
    if entries.len() < MAX_ENTRIES || entries.contains_key(&key) {
        return;
    }
    let oldest = entries.iter().min_by_key(|(key, entry)| (used_at(entry), **key));
    if let Some(oldest) = oldest.map(|(key, _)| *key) {
        entries.remove(&oldest);
    }
}
