use crate::keys::{OrgKey, TimePoint};
use std::collections::BTreeMap;
use std::time::Duration;

const HALF_LIFE_SECONDS: f64 = 10.0;
const MIN_KEPT_MICROS: f64 = 1000.0;
/// Multiple of the mean work up to which an organisation is not penalised.
const TOLERANCE: f64 = 1.5;
/// Multiple of the mean work at which the penalty reaches its maximum.
const MAX_PENALTY_AT: f64 = 2.0;

#[derive(Debug, Clone, Copy)]
struct ShareAccount {
    micros: f64,
    at: TimePoint,
}

impl ShareAccount {
    fn decayed(&self, now: TimePoint) -> f64 {
        self.micros * 0.5f64.powf(now.since(self.at).as_secs_f64() / HALF_LIFE_SECONDS)
    }
}

/// Recent work of each organisation, with exponential decay.
#[derive(Debug, Clone, Default)]
pub struct ShareLedger {
    accounts: BTreeMap<OrgKey, ShareAccount>,
}

impl ShareLedger {
    /// Records admitted work of `org`.
    pub fn record_work(&mut self, now: TimePoint, org: OrgKey, work: Duration) {
        let account = self.accounts.entry(org).or_insert(ShareAccount { micros: 0.0, at: now });
        let micros = account.decayed(now) + work.as_micros() as f64;
        *account = ShareAccount { micros, at: now };
        if self.accounts.len() > 64 {
            self.accounts.retain(|_, account| account.decayed(now) > MIN_KEPT_MICROS);
        }
    }

    /// How far the deadlines of `org` are postponed in the queue: zero within its fair share, and
    /// `max_penalty` at most.
    pub fn penalty(&self, now: TimePoint, org: OrgKey, max_penalty: Duration) -> Duration {
        let Some(own) = self.accounts.get(&org).map(|account| account.decayed(now)) else {
            return Duration::ZERO;
        };
        let total: f64 = self.accounts.values().map(|account| account.decayed(now)).sum();
        let mean = total / self.accounts.len() as f64;
        let excess = (own / mean.max(1.0) - TOLERANCE) / (MAX_PENALTY_AT - TOLERANCE);
        max_penalty.mul_f64(excess.clamp(0.0, 1.0))
    }
}
