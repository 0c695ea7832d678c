use crate::organisations::OrgLimit;
use std::time::Duration;

/// Part of the tolerance that owners grant as if it belonged to the limit. A limit that is divided over
/// domains refuses requests that the whole would allow: one prompt is more than a small part's burst.
const GRANTED_PART: f64 = 0.65;
/// Part of the tolerance that new owners may hand out together without knowing what was used before them.
/// The rest is left for requests that reach their server late, and hosts that reach no owner.
const FIRST_PART: f64 = 0.1;

/// Hosts that a failure domain is taken to have at least by one that knows fewer.
const LEAST_HOSTS: usize = 10;

/// How a limit is measured, and over how many failure domains it is divided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitBounds {
    /// Length of the sliding window in which use is counted.
    pub window: Duration,
    /// Part by which the use in a window may exceed what the limit allows.
    pub over: f64,
    /// Units by which it may exceed that besides.
    pub slack: f64,
    /// Failure domains that have hosts.
    pub domains: usize,
}

/// What one owner may hand out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitShare {
    /// Units a second.
    pub rate: f64,
    /// Most units that are saved up.
    pub burst: f64,
    /// Units that an owner begins with if nobody tells it what its predecessor had left.
    pub initial: f64,
}

impl LimitShare {
    /// A failure domain's part of `limit`.
    ///
    /// What owners begin with follows from the tolerance: after a loss of all hosts, the new owners know
    /// nothing of the window before.
    pub fn for_domain(limit: &OrgLimit, bounds: &LimitBounds) -> Self {
        let domains = bounds.domains.max(1) as f64;
        let in_window = limit.rate.mul_add(bounds.window.as_secs_f64(), limit.burst);
        let tolerance = bounds.over.mul_add(in_window, bounds.slack);
        let over = bounds.over.mul_add(GRANTED_PART, 1.0);
        let burst = limit.burst.mul_add(over, bounds.slack * GRANTED_PART) / domains;
        Self {
            rate: limit.rate * over / domains,
            burst,
            initial: burst.min(tolerance * FIRST_PART / domains),
        }
    }

    /// The part of it that `seen` of `known` hosts have.
    pub fn scaled(self, seen: usize, known: usize) -> Self {
        let part = seen as f64 / known.max(1) as f64;
        Self { rate: self.rate * part, burst: self.burst * part, initial: self.initial * part }
    }

    /// What one of `hosts` may use that reaches no owner: nothing is saved up, but a request may go below
    /// zero, since one of them is more than a host's part of a second.
    pub fn for_host(self, hosts: usize) -> Self {
        Self { rate: self.rate / hosts.max(LEAST_HOSTS) as f64, burst: 0.0, initial: 0.0 }
    }
}
