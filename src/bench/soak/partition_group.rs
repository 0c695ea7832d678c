//! Network partitions in a soak test: they separate machines from the other hosts, and in some cases from the store
//! and the servers as well.

use super::soak_cluster::SoakCluster;
use crate::bench::links::PartitionScope;
use rand::Rng;
use rand::rngs::StdRng;
use std::net::{IpAddr, Ipv4Addr};

/// Number of groups into which the hosts of each failure domain are divided.
const GROUP_COUNT: usize = 3;

/// The hosts whose machines are partitioned from the others at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PartitionGroup {
    /// One host.
    Host(usize),
    /// All hosts of a failure domain.
    Domain(usize),
    /// A third of the hosts, taken from all failure domains.
    Third(usize),
    /// All hosts but one.
    AllBut(usize),
}

impl PartitionGroup {
    /// Draws the group of a partition.
    pub fn draw(random: &mut StdRng, hosts: usize, domains: usize) -> Self {
        match random.random_range(0..3) {
            0 => Self::Host(random.random_range(0..hosts)),
            1 => Self::Domain(random.random_range(0..domains)),
            _ => Self::Third(random.random_range(0..GROUP_COUNT)),
        }
    }

    /// Returns whether the host at `index` belongs to the group. Hosts are assigned to failure domains round-robin.
    pub const fn contains(self, index: usize, domains: usize) -> bool {
        match self {
            Self::Host(host) => index == host,
            Self::Domain(domain) => index % domains == domain,
            Self::Third(group) => (index / domains) % GROUP_COUNT == group,
            Self::AllBut(host) => index != host,
        }
    }
}

/// Returns the address of the machine on which the host at `index` runs.
pub(super) fn machine_address(index: usize) -> IpAddr {
    let index = u16::try_from(index + 1).unwrap_or(u16::MAX).to_be_bytes();
    Ipv4Addr::new(127, 2, index[0], index[1]).into()
}

impl SoakCluster {
    /// Partitions the machines of a group from the others. Their open connections never recover.
    pub fn begin_partition(&self, group: PartitionGroup, scope: PartitionScope) {
        self.sockets.partitions.begin(&self.machines(group), scope);
    }

    /// Ends a partition: new connections and datagrams pass again.
    pub fn end_partition(&self, group: PartitionGroup, scope: PartitionScope) {
        self.sockets.partitions.end(&self.machines(group), scope);
    }

    /// The addresses of the machines of a group.
    pub fn machines(&self, group: PartitionGroup) -> Vec<IpAddr> {
        let targets = (0..self.hosts.len()).filter(|index| group.contains(*index, self.domains));
        targets.map(machine_address).collect()
    }
}
