use super::{OrgPressure, SearchOutcome, ServicePressure};
use crate::keys::{OrgKey, TimePoint};
use crate::routes::ServiceKey;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// How long a search counts: long enough for about a hundred searches over all hosts, short enough to be the present demand.
const SEARCH_WINDOW: Duration = Duration::from_secs(1);

/// Whose demand a figure counts: rank and organisation within a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct DemandKey {
    pub service: ServiceKey,
    pub rank: u8,
    pub org: Option<OrgKey>,
}

/// The searches and runs of this host.
#[derive(Debug, Clone, Default)]
pub(super) struct OwnDemand {
    searches: VecDeque<(TimePoint, DemandKey, u32, SearchOutcome)>,
    /// Number and tokens of the runs.
    runs: HashMap<DemandKey, (u32, u32)>,
}

impl OwnDemand {
    pub fn record_search(
        &mut self,
        now: TimePoint,
        key: DemandKey,
        tokens: u32,
        outcome: SearchOutcome,
    ) {
        self.searches.push_back((now, key, tokens, outcome));
    }

    pub fn record_begin(&mut self, key: DemandKey, tokens: u32) {
        let (count, sum) = self.runs.entry(key).or_default();
        *count += 1;
        *sum = sum.saturating_add(tokens);
    }

    pub fn record_end(&mut self, key: DemandKey, tokens: u32) {
        let Some((count, sum)) = self.runs.get_mut(&key) else {
            return;
        };
        *count = count.saturating_sub(1);
        *sum = sum.saturating_sub(tokens);
        if *count == 0 {
            self.runs.remove(&key);
        }
    }

    pub fn expire(&mut self, now: TimePoint) {
        let is_old = |at: &TimePoint| now.since(*at) >= SEARCH_WINDOW;
        while self.searches.front().is_some_and(|(at, ..)| is_old(at)) {
            self.searches.pop_front();
        }
    }

    /// The services for which there is any demand.
    pub fn services(&self) -> Vec<ServiceKey> {
        let searched = self.searches.iter().map(|(_, key, ..)| key.service);
        let mut services: Vec<ServiceKey> =
            searched.chain(self.runs.keys().map(|key| key.service)).collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// The demand for a service.
    pub fn figures(&self, service: ServiceKey) -> ServicePressure {
        let mut figures = ServicePressure::none(service);
        let org_row = |org: Option<OrgKey>, tokens, unmet_tokens| {
            org.map(|org| OrgPressure { org: OrgPressure::short_key(org), tokens, unmet_tokens })
        };
        for (key, (count, tokens)) in &self.runs {
            if key.service == service {
                let figures = figures.rank_mut(key.rank);
                figures.running += count;
                figures.tokens = figures.tokens.saturating_add(*tokens);
                org_row(key.org, *tokens, 0).into_iter().for_each(|row| figures.add_org(row));
            }
        }
        for (_, key, tokens, outcome) in &self.searches {
            if key.service != service {
                continue;
            }
            let figures = figures.rank_mut(key.rank);
            match outcome {
                SearchOutcome::Granted => {
                    figures.granted += 1;
                    continue;
                }
                SearchOutcome::Refused => figures.refused += 1,
                SearchOutcome::Withheld => {}
            }
            figures.unmet_tokens = figures.unmet_tokens.saturating_add(*tokens);
            org_row(key.org, 0, *tokens).into_iter().for_each(|row| figures.add_org(row));
        }
        figures
    }
}
