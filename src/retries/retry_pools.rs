use super::own_share::{JOIN_TIME, OWN_FRACTION};
use super::{RetryBounds, RetryRequest};
use crate::keys::TimePoint;
use crate::limits::{LimitBucket, LimitShare, OwnerTerm};
use crate::routes::ServiceKey;
use std::collections::HashMap;

/// Fraction of a pool that may accumulate at its owner, and fraction that refills in each window. The last third is
/// left for a second owner, which some hosts may recognize while a change of the set of hosts spreads: that owner
/// starts with an empty bucket and grants at the same rate.
const BURST_FRACTION: f64 = 1.0 / 3.0;
const RATE_FRACTION: f64 = 1.0 / 3.0;

/// The share of each service's slack that the owner of one failure domain's pool may grant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryShare(LimitShare);

impl RetryShare {
    /// The share of an owner that sees `seen` of the `known` hosts of its failure domain. The other hosts may be cut off
    /// from it and have the rest of the pool.
    pub fn for_domain(bounds: &RetryBounds, seen: usize, known: usize) -> Self {
        let pool = bounds.slack * (1.0 - OWN_FRACTION) / bounds.domains.max(1) as f64;
        let rate = pool * RATE_FRACTION / bounds.window.as_secs_f64();
        let whole = LimitShare { rate, burst: pool * BURST_FRACTION, initial: 0.0 };
        Self(whole.scaled(seen, known))
    }
}

/// The pools of services from which this host grants retries as the owner.
#[derive(Debug, Default)]
pub struct RetryPools {
    buckets: HashMap<ServiceKey, LimitBucket>,
    /// How long this host has been checking its ownership without a gap.
    term: OwnerTerm,
}

impl RetryPools {
    /// Decides whether the requested retries are granted. `is_settled` means that the set of hosts has not changed for a
    /// whole window, so no other host was the owner and a new pool starts full. An owner that cannot know what the
    /// previous owner granted starts with an empty pool.
    pub fn receive(
        &mut self,
        now: TimePoint,
        request: &RetryRequest,
        share: &RetryShare,
        is_settled: bool,
    ) -> bool {
        let RetryShare(share) = share;
        // The first request after a suspension may arrive before the periodic check.
        if self.term.is_broken(now) {
            self.check_ownership(now, |_| false);
        }
        // Of hosts that start together and know few others, many would choose themselves.
        if !is_settled && now.since(TimePoint::CLOCK_START) < JOIN_TIME {
            return false;
        }
        let initial = if is_settled { share.burst } else { 0.0 };
        let bucket = self.buckets.entry(request.service);
        let bucket = bucket.or_insert_with(|| LimitBucket::new(now, initial));
        bucket.clamp(now, share);
        let units = f64::from(request.count);
        // The level never becomes negative: if all hosts of a domain were cut off from each other, each of them would
        // turn its fraction of a retry into a whole one.
        let granted = bucket.level(now, share) >= units;
        if granted {
            bucket.charge(now, share, units);
        }
        granted
    }

    /// The term for which this host has been checking its ownership without a gap.
    pub fn term(&self) -> OwnerTerm {
        self.term
    }

    /// Drops the pools that this host has not owned ever since the last check, and all of them if it was suspended:
    /// another host granted from them while they refilled here. Must be called several times a second.
    pub fn check_ownership(&mut self, now: TimePoint, has_owned: impl Fn(ServiceKey) -> bool) {
        let is_unbroken = self.term.renew(now);
        self.buckets.retain(|service, _| is_unbroken && has_owned(*service));
    }
}
