use super::RetryBounds;
use std::time::Duration;

/// Fraction of the slack that is divided evenly among the hosts, for retries that need no grant of an owner. The rest
/// belongs to the pools of the failure domains.
pub(super) const OWN_FRACTION: f64 = 0.25;
/// Minimum number of hosts that a host assumes, even if it knows of fewer.
const MIN_HOSTS: usize = 10;

/// A host's share of the slack, in retries a window, for which it needs no grant of an owner.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OwnShare(f64);

impl OwnShare {
    /// The share of a host that started `age` ago and assumes that there are `hosts` hosts, itself included; `None` if it has
    /// met none of the others yet.
    ///
    /// In its first window a host has no share. Another life of it may have used the share within the same window, and it
    /// does not know yet how many hosts there are: all hosts of a large site that start together would each take a tenth.
    pub fn new(bounds: &RetryBounds, age: Duration, hosts: Option<usize>) -> Self {
        match hosts {
            Some(hosts) if age >= bounds.window => {
                Self(bounds.slack * OWN_FRACTION / hosts.max(MIN_HOSTS) as f64)
            }
            _ => Self(0.0),
        }
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
