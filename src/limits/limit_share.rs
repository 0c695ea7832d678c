use crate::organisations::OrgLimit;
use std::time::Duration;

/// Fraction of the tolerance that owners grant as if it belonged to the limit. A limit that is divided over domains
/// refuses requests that an undivided one would allow, because one prompt can exceed the burst of a small share.
const GRANTED_TOLERANCE: f64 = 0.65;
/// Fraction of the tolerance that all new owners together may grant without knowing what was used before. The rest is
/// left for requests that reach their server late, and for hosts that reach no owner.
const INITIAL_TOLERANCE: f64 = 0.1;

/// Minimum number of hosts that a host assumes for its failure domain, even if it knows of fewer.
const MIN_HOSTS: usize = 10;

/// How a limit is measured, and the number of failure domains over which it is divided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitBounds {
    /// Length of the sliding window over which use is counted.
    pub window: Duration,
    /// Fraction by which the use in a window may exceed the limit.
    pub over: f64,
    /// Units by which the use may exceed the limit in addition to `over`.
    pub slack: f64,
    /// Failure domains that have hosts.
    pub domains: usize,
}

/// The share of a limit that one owner may grant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitShare {
    /// Units a second.
    pub rate: f64,
    /// Maximum number of units that accumulate.
    pub burst: f64,
    /// Units with which a new owner starts if no host reports what the previous owner had left.
    pub initial: f64,
}

impl LimitShare {
    /// The share of `limit` that one failure domain has.
    ///
    /// The initial units are derived from the tolerance, because after a loss of all hosts the new owners know nothing
    /// about the preceding window.
    pub fn for_domain(limit: &OrgLimit, bounds: &LimitBounds) -> Self {
        let domains = bounds.domains.max(1) as f64;
        let in_window = limit.rate.mul_add(bounds.window.as_secs_f64(), limit.burst);
        let tolerance = bounds.over.mul_add(in_window, bounds.slack);
        let over = bounds.over.mul_add(GRANTED_TOLERANCE, 1.0);
        let burst = limit.burst.mul_add(over, bounds.slack * GRANTED_TOLERANCE) / domains;
        Self {
            rate: limit.rate * over / domains,
            burst,
            initial: burst.min(tolerance * INITIAL_TOLERANCE / domains),
        }
    }

    /// The part of this share that `seen` of `known` hosts have.
    pub fn scaled(self, seen: usize, known: usize) -> Self {
        let ratio = seen as f64 / known.max(1) as f64;
        Self { rate: self.rate * ratio, burst: self.burst * ratio, initial: self.initial * ratio }
    }

    /// What one of `hosts` may use while it reaches no owner. Nothing accumulates, but a request may make the level
    /// negative, because one request costs more than a host's part of a second.
    pub fn for_host(self, hosts: usize) -> Self {
        Self { rate: self.rate / hosts.max(MIN_HOSTS) as f64, burst: 0.0, initial: 0.0 }
    }
}
