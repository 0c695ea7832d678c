//! Machines of a soak that are cut off from all others, from the store and from servers.

use super::soak_run::SoakStage;
use crate::bench::links::PartitionScope;
use rand::Rng;
use rand::rngs::StdRng;
use std::net::{IpAddr, Ipv4Addr};

/// One group in three of each failure domain's hosts.
const GROUPS: usize = 3;

/// Hosts whose machines are cut off together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CutGroup {
    /// One host.
    Host(usize),
    /// All hosts of a failure domain.
    Domain(usize),
    /// A third of the hosts, of all failure domains.
    Third(usize),
}

impl CutGroup {
    /// Draws which hosts are cut off.
    pub fn draw(random: &mut StdRng, hosts: usize, domains: usize) -> Self {
        match random.random_range(0..3) {
            0 => Self::Host(random.random_range(0..hosts)),
            1 => Self::Domain(random.random_range(0..domains)),
            _ => Self::Third(random.random_range(0..GROUPS)),
        }
    }

    /// Whether the host at a place belongs to it, if hosts are dealt out to failure domains in turn.
    pub const fn contains(self, place: usize, domains: usize) -> bool {
        match self {
            Self::Host(host) => place == host,
            Self::Domain(domain) => place % domains == domain,
            Self::Third(group) => (place / domains) % GROUPS == group,
        }
    }
}

/// Address of the machine of the host at a place.
pub(super) fn machine_address(place: usize) -> IpAddr {
    let place = u16::try_from(place + 1).unwrap_or(u16::MAX).to_be_bytes();
    Ipv4Addr::new(127, 2, place[0], place[1]).into()
}

impl SoakStage {
    /// Cuts the machines of a group off; their open connections are dead from now on.
    pub fn begin_cut(&self, group: CutGroup, scope: PartitionScope) {
        self.sockets.partitions.begin(&self.machines(group), scope);
    }

    /// Ends a cut: new connections and datagrams pass again.
    pub fn end_cut(&self, group: CutGroup, scope: PartitionScope) {
        self.sockets.partitions.end(&self.machines(group), scope);
    }

    fn machines(&self, group: CutGroup) -> Vec<IpAddr> {
        let places = (0..self.hosts.len()).filter(|place| group.contains(*place, self.domains));
        places.map(machine_address).collect()
    }
}
