use crate::keys::TimePoint;
use crate::membership::MemberUpdate;
use std::collections::BTreeMap;

/// A datagram on its way.
#[derive(Debug, Clone, Copy)]
pub(super) struct Parcel<B> {
    pub due: TimePoint,
    pub from: MemberUpdate,
    pub to: MemberUpdate,
    pub body: B,
}

/// Links between the hosts, and the datagrams on them.
#[derive(Debug)]
pub(super) struct WorldNet<B> {
    domain_hosts: usize,
    cut_domains: BTreeMap<usize, TimePoint>,
    cut_hosts: BTreeMap<usize, TimePoint>,
    parcels: Vec<Parcel<B>>,
}

impl<B> WorldNet<B> {
    /// A net of hosts in domains of `domain_hosts` each.
    pub fn new(hosts: usize, domain_hosts: usize) -> Self {
        Self {
            domain_hosts,
            cut_domains: BTreeMap::new(),
            cut_hosts: BTreeMap::new(),
            parcels: Vec::with_capacity(hosts),
        }
    }

    /// Cuts a domain off from the others.
    pub fn cut_domain(&mut self, domain: usize, until: TimePoint) {
        self.cut_domains.insert(domain, until);
    }

    /// Cuts a host off from all others.
    pub fn cut_host(&mut self, place: usize, until: TimePoint) {
        self.cut_hosts.insert(place, until);
    }

    /// Ends cuts whose time has come.
    pub fn heal(&mut self, now: TimePoint) {
        self.cut_domains.retain(|_, until| now < *until);
        self.cut_hosts.retain(|_, until| now < *until);
    }

    /// Whether two hosts reach each other.
    pub fn is_open(&self, from: usize, to: usize) -> bool {
        let (one, other) = (from / self.domain_hosts, to / self.domain_hosts);
        let cut_domain = |domain: usize| self.cut_domains.contains_key(&domain);
        let cut_host = |place: usize| self.cut_hosts.contains_key(&place);
        let domains_cut = one != other && (cut_domain(one) || cut_domain(other));
        !(domains_cut || cut_host(from) || cut_host(to))
    }

    /// Sends a datagram.
    pub fn post(&mut self, parcel: Parcel<B>) {
        self.parcels.push(parcel);
    }

    /// Datagrams that arrive by now.
    pub fn due(&mut self, now: TimePoint) -> Vec<Parcel<B>> {
        let (due, later) = self.parcels.drain(..).partition(|parcel| parcel.due <= now);
        self.parcels = later;
        due
    }
}
