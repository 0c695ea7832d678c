use super::RetryBounds;
use std::time::Duration;

/// Fraction of the slack that is divided evenly among the hosts, for retries that need no grant of an owner. The rest
/// belongs to the pools of the failure domains.
pub(super) const OWN_FRACTION: f64 = 0.25;
/// Minimum number of hosts that a host assumes, even if it knows of fewer.
const MIN_HOSTS: usize = 10;

/// Fraction of its share that a host has in its first window. A host that is killed as soon as it has joined has five
/// lives in a window of 10 s, whose parts add up to less than three shares.
const FIRST_FRACTION: f64 = 0.5;
/// A host that started less than this ago may not have met all others yet, of which many started with it.
pub(super) const JOIN_TIME: Duration = Duration::from_secs(2);

/// A host's share of the slack, in retries a window, for which it needs no grant of an owner.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OwnShare(f64);

impl OwnShare {
    /// The share of a host that started `age` ago and assumes that there are `hosts` hosts, itself included; `None` if it has
    /// met none of the others yet.
    ///
    /// While a host still meets the others it has no share: all hosts of a large site that start together would each take
    /// a tenth. In its first window it has a part only, since other lives of it may have used theirs within the same window.
    pub fn new(bounds: &RetryBounds, age: Duration, hosts: Option<usize>) -> Self {
        let Some(hosts) = hosts else { return Self::default() };
        let share = bounds.slack * OWN_FRACTION / hosts.max(MIN_HOSTS) as f64;
        // Ten lives of a host that is the only one take no more than all hosts may.
        if hosts == 1 || age >= bounds.window {
            return Self(share);
        }
        if age < JOIN_TIME { Self::default() } else { Self(share * FIRST_FRACTION) }
    }

    pub(super) fn retries(self) -> f64 {
        self.0
    }
}

/// How many hosts there are, as far as a host can tell that knows `known` of them, `known_here` of these in its own failure
/// domain. Hosts behind a cut that began before it started are unknown to it; domains are of about equal size.
pub fn assumed_hosts(bounds: &RetryBounds, known: usize, known_here: usize) -> usize {
    known.max(known_here * bounds.domains)
}
