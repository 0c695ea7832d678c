use super::OrgPressure;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::time::Duration;

/// The demand of one rank for decode memory.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RankPressure {
    /// The priority of the routes; zero is the most urgent.
    pub rank: u8,
    /// Searches of the last second that were granted.
    pub granted: u32,
    /// Searches of the last second that found no memory.
    pub refused: u32,
    /// Running requests.
    pub running: u32,
    /// Memory tokens that the running requests need.
    pub tokens: u32,
    /// Memory tokens that the refused requests of the last second needed, including those refused without a search.
    pub unmet_tokens: u32,
    /// The most active organisations.
    pub orgs: Vec<OrgPressure>,
}

impl RankPressure {
    /// Adds the figures of `other`, which has the same rank.
    pub fn add(&mut self, other: &Self) {
        self.granted = self.granted.saturating_add(other.granted);
        self.refused = self.refused.saturating_add(other.refused);
        self.running = self.running.saturating_add(other.running);
        self.tokens = self.tokens.saturating_add(other.tokens);
        self.unmet_tokens = self.unmet_tokens.saturating_add(other.unmet_tokens);
        for org in &other.orgs {
            self.add_org(*org);
        }
    }

    /// Adds the figures of an organisation.
    pub fn add_org(&mut self, org: OrgPressure) {
        match self.orgs.iter_mut().find(|known| known.org == org.org) {
            Some(known) => {
                known.tokens = known.tokens.saturating_add(org.tokens);
                known.unmet_tokens = known.unmet_tokens.saturating_add(org.unmet_tokens);
            }
            None => self.orgs.push(org),
        }
    }

    /// Multiplies all figures by `factor`.
    pub fn scale(&mut self, factor: f64) {
        let scaled = |figure: &mut u32| *figure = (f64::from(*figure) * factor).round() as u32;
        scaled(&mut self.granted);
        scaled(&mut self.refused);
        scaled(&mut self.running);
        scaled(&mut self.tokens);
        scaled(&mut self.unmet_tokens);
        for org in &mut self.orgs {
            scaled(&mut org.tokens);
            scaled(&mut org.unmet_tokens);
        }
    }

    /// Keeps the `limit` organisations with the most demand.
    pub fn truncate_orgs(&mut self, limit: usize) {
        let demand = |org: &OrgPressure| org.tokens.saturating_add(org.unmet_tokens);
        self.orgs.sort_unstable_by_key(|org| (Reverse(demand(org)), org.org));
        self.orgs.truncate(limit);
    }

    /// Fraction of the searches that found no memory.
    pub fn refused_fraction(&self) -> f64 {
        f64::from(self.refused) / f64::from((self.granted + self.refused).max(1))
    }

    /// How long a request runs, in seconds, by Little's law; at most `longest`, for it is far off when almost nothing was
    /// granted in the last second.
    pub fn run_seconds(&self, longest: Duration) -> f64 {
        let seconds = f64::from(self.running) / f64::from(self.granted.max(1));
        seconds.min(longest.as_secs_f64())
    }

    /// Tokens that all requests of an organisation or rank would need at the same time if none were refused and each ran
    /// for `run_seconds`.
    pub fn demand_tokens(tokens: u32, unmet_tokens: u32, run_seconds: f64) -> f64 {
        f64::from(unmet_tokens).mul_add(run_seconds, f64::from(tokens))
    }
}
