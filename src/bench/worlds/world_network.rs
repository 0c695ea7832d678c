use crate::keys::TimePoint;
use crate::membership::MemberUpdate;
use std::collections::BTreeMap;

/// A datagram in flight.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueuedDatagram<M> {
    pub due: TimePoint,
    pub from: MemberUpdate,
    pub to: MemberUpdate,
    pub body: M,
}

/// The simulated network: isolated domains and hosts, and the datagrams in flight.
#[derive(Debug)]
pub(super) struct WorldNetwork<M> {
    domain_hosts: usize,
    isolated_domains: BTreeMap<usize, TimePoint>,
    isolated_hosts: BTreeMap<usize, TimePoint>,
    queued: Vec<QueuedDatagram<M>>,
}

impl<M> WorldNetwork<M> {
    /// Creates a network for `hosts` hosts, with `domain_hosts` in each failure domain.
    pub fn new(hosts: usize, domain_hosts: usize) -> Self {
        Self {
            domain_hosts,
            isolated_domains: BTreeMap::new(),
            isolated_hosts: BTreeMap::new(),
            queued: Vec::with_capacity(hosts),
        }
    }

    /// Isolates a domain from the other domains.
    pub fn isolate_domain(&mut self, domain: usize, until: TimePoint) {
        self.isolated_domains.insert(domain, until);
    }

    /// Isolates a host from all other hosts.
    pub fn isolate_host(&mut self, index: usize, until: TimePoint) {
        self.isolated_hosts.insert(index, until);
    }

    /// Ends isolations that have expired.
    pub fn heal(&mut self, now: TimePoint) {
        self.isolated_domains.retain(|_, until| now < *until);
        self.isolated_hosts.retain(|_, until| now < *until);
    }

    /// Whether two hosts can reach each other.
    pub fn is_connected(&self, from: usize, to: usize) -> bool {
        let (one, other) = (from / self.domain_hosts, to / self.domain_hosts);
        let domain_isolated = |domain: usize| self.isolated_domains.contains_key(&domain);
        let host_isolated = |index: usize| self.isolated_hosts.contains_key(&index);
        let is_partitioned = one != other && (domain_isolated(one) || domain_isolated(other));
        !(is_partitioned || host_isolated(from) || host_isolated(to))
    }

    /// Sends a datagram.
    pub fn send(&mut self, datagram: QueuedDatagram<M>) {
        self.queued.push(datagram);
    }

    /// Removes and returns the datagrams that have arrived by `now`.
    pub fn take_due(&mut self, now: TimePoint) -> Vec<QueuedDatagram<M>> {
        let (due, later) = self.queued.drain(..).partition(|datagram| datagram.due <= now);
        self.queued = later;
        due
    }
}
