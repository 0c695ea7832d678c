use super::received_pressure::ReceivedPressure;
use super::{PressureScope, PressureUpdate, ServicePressure};
use crate::keys::{IncarnationId, NameKey, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

/// Lifetime of another host's figures. Unless the pool is calm, a host in a domain of 24 receives those of each other
/// one every 0.6 s on average, so one lost update leaves no gap. While it is calm, figures are extrapolated to the
/// hosts whose own have expired. A dead host's runs end within about 3 s.
pub(super) const FIGURES_LIFETIME: Duration = Duration::from_millis(1500);
/// With figures of fewer hosts, they are not extrapolated to the others: a host that is cut off decides by its own.
const MIN_SAMPLE: usize = 4;
/// Largest factor of the extrapolation. Of 1,000 hosts in three domains, a host receives the figures of about 60 of 333
/// within the lifetime, a factor of 5.5.
const MAX_FACTOR: f64 = 8.0;

/// The figures of other hosts and failure domains.
#[derive(Debug, Clone, Default)]
pub(super) struct PressureTable {
    hosts: HashMap<IncarnationId, ReceivedPressure>,
    domains: HashMap<NameKey, ReceivedPressure>,
}

impl PressureTable {
    /// Applies an update, unless it is a late or repeated one.
    pub fn apply(&mut self, now: TimePoint, update: PressureUpdate) {
        let PressureUpdate { from, version, scope, services } = update;
        let received = ReceivedPressure { at: now, from, version, services };
        let is_late = |known: &ReceivedPressure| {
            known.from == received.from && known.version >= received.version
        };
        match scope {
            PressureScope::Host if !self.hosts.get(&from).is_some_and(is_late) => {
                self.hosts.insert(from, received);
            }
            PressureScope::Domain(domain) if !self.domains.get(&domain).is_some_and(is_late) => {
                self.domains.insert(domain, received);
            }
            PressureScope::Host | PressureScope::Domain(_) => {}
        }
    }

    /// Drops figures that nobody has renewed.
    pub fn expire(&mut self, now: TimePoint) {
        let is_current = |received: &ReceivedPressure| now.since(received.at) < FIGURES_LIFETIME;
        self.hosts.retain(|_, received| is_current(received));
        self.domains.retain(|_, received| is_current(received));
    }

    /// Drops all figures.
    pub fn clear(&mut self) {
        self.hosts.clear();
        self.domains.clear();
    }

    /// The demand of this host's failure domain, which has `host_count` hosts: the sum of the known figures,
    /// extrapolated to the other hosts.
    pub fn domain_total(&self, own: ServicePressure, host_count: usize) -> ServicePressure {
        let service = own.service;
        let mut total = own;
        for known in self.hosts.values().filter_map(|received| received.service(service)) {
            total.add(known);
        }
        let sample = self.hosts.len() + 1;
        if sample >= MIN_SAMPLE && host_count > sample {
            total.scale((host_count as f64 / sample as f64).min(MAX_FACTOR));
        }
        total
    }

    /// The demand over all failure domains.
    pub fn total(&self, own: ServicePressure, host_count: usize) -> ServicePressure {
        let service = own.service;
        let mut total = self.domain_total(own, host_count);
        for known in self.domains.values().filter_map(|received| received.service(service)) {
            total.add(known);
        }
        total
    }
}
