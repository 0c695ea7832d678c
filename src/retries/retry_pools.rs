use super::retry_window::OWN_PART;
use super::{RetryBounds, RetryRequest};
use crate::keys::TimePoint;
use crate::limits::{LimitBucket, LimitShare, OwnerTerm};
use crate::routes::ServiceKey;
use std::collections::HashMap;

/// Part of a pool that its owner saves up, and part that it hands out anew in each window. The last third is for a
/// second owner that some hosts believe in while they learn that hosts have come or gone: it begins with nothing saved
/// up, and hands out no faster.
const SAVED_PART: f64 = 1.0 / 3.0;
const WINDOW_PART: f64 = 1.0 / 3.0;

/// What the owner of one failure domain's pool may hand out of each service's slack.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryShare(LimitShare);

impl RetryShare {
    /// The share of an owner that sees `seen` of the `known` hosts of its failure domain. The others may be cut off
    /// from it, and have the rest.
    pub fn for_domain(bounds: &RetryBounds, seen: usize, known: usize) -> Self {
        let pool = bounds.slack * (1.0 - OWN_PART) / bounds.domains.max(1) as f64;
        let rate = pool * WINDOW_PART / bounds.window.as_secs_f64();
        let whole = LimitShare { rate, burst: pool * SAVED_PART, initial: 0.0 };
        Self(whole.scaled(seen, known))
    }
}

/// The pools of services from which this host grants repeats as the owner.
#[derive(Debug, Default)]
pub struct RetryPools {
    buckets: HashMap<ServiceKey, LimitBucket>,
    /// How long they have been kept without a break.
    term: OwnerTerm,
}

impl RetryPools {
    /// Grants what a host asks for, or refuses. `is_settled` tells that hosts have neither come nor gone for a whole
    /// window: then nobody else was the owner, and what nobody asked for is saved up. An owner that cannot know what
    /// its predecessor granted begins with nothing.
    pub fn receive(
        &mut self,
        now: TimePoint,
        ask: &RetryRequest,
        share: &RetryShare,
        is_settled: bool,
    ) -> bool {
        let RetryShare(share) = share;
        // The first question after a suspension may come before the host has looked.
        if self.term.is_broken(now) {
            self.check_ownership(now, |_| false);
        }
        let first = if is_settled { share.burst } else { 0.0 };
        let bucket = self.buckets.entry(ask.service);
        let bucket = bucket.or_insert_with(|| LimitBucket::new(now, first));
        bucket.clamp(now, share);
        let units = f64::from(ask.count);
        // Never on credit: of a domain whose hosts are all cut off from each other, each would make a whole repeat of its
        // part of one.
        let granted = bucket.level(now, share) >= units;
        if granted {
            bucket.charge(now, share, units);
        }
        granted
    }

    /// How long this owner has looked after its pools.
    pub fn term(&self) -> OwnerTerm {
        self.term
    }

    /// Forgets pools of which this host has not been the owner ever since the last look, and all of them if it was
    /// suspended: another one granted from them, while they filled up here. Called several times a second.
    pub fn check_ownership(&mut self, now: TimePoint, has_owned: impl Fn(ServiceKey) -> bool) {
        let is_unbroken = self.term.renew(now);
        self.buckets.retain(|service, _| is_unbroken && has_owned(*service));
    }
}
