use crate::keys::{OrgKey, TimePoint};
use std::collections::BTreeMap;
use std::time::Duration;

const HALF_LIFE_SECONDS: f64 = 10.0;
const FORGET_BELOW_MICROS: f64 = 1000.0;
/// An organisation may have this many times the mean work before it is put back.
const TOLERANCE: f64 = 1.5;
/// It is put back in full at this many times the mean.
const FULL_AT: f64 = 2.0;

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

/// Recent work of each organisation, forgotten by half every few seconds.
#[derive(Debug, Clone, Default)]
pub struct ShareLedger {
    accounts: BTreeMap<OrgKey, ShareAccount>,
}

impl ShareLedger {
    /// Adds admitted work of `org`.
    pub fn record_work(&mut self, now: TimePoint, org: OrgKey, work: Duration) {
        let account = self.accounts.entry(org).or_insert(ShareAccount { micros: 0.0, at: now });
        let micros = account.decayed(now) + work.as_micros() as f64;
        *account = ShareAccount { micros, at: now };
        if self.accounts.len() > 64 {
            self.accounts.retain(|_, account| account.decayed(now) > FORGET_BELOW_MICROS);
        }
    }

    /// How far `org` is put back in the order: zero within its share, at most `most`.
    pub fn penalty(&self, now: TimePoint, org: OrgKey, most: Duration) -> Duration {
        let Some(own) = self.accounts.get(&org).map(|account| account.decayed(now)) else {
            return Duration::ZERO;
        };
        let total: f64 = self.accounts.values().map(|account| account.decayed(now)).sum();
        let mean = total / self.accounts.len() as f64;
        let excess = (own / mean.max(1.0) - TOLERANCE) / (FULL_AT - TOLERANCE);
        most.mul_f64(excess.clamp(0.0, 1.0))
    }
}
