//! Disruptions of groups of hosts, one after the other, while a check of the soak test runs.

use super::host_contacts::HostContacts;
use super::partition_group::PartitionGroup;
use super::soak_cluster::SoakCluster;
use crate::Result;
use crate::bench::links::PartitionScope;
use rand::Rng;
use rand::rngs::StdRng;
use std::time::Duration;

/// How long hosts are killed, paused or cut off.
const KILL_TIME: Duration = Duration::from_millis(1200);
const PAUSE_TIME: Duration = Duration::from_millis(3000);
const CUT_TIME: Duration = Duration::from_millis(5500);

/// A disruption of hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HostShock {
    Kill(PartitionGroup),
    KillAll,
    Pause(PartitionGroup),
    Cut(PartitionGroup),
    /// Nothing; servers are disturbed all the same.
    None,
}

impl HostShock {
    fn hits(self, index: usize, domains: usize) -> bool {
        match self {
            Self::Kill(group) | Self::Pause(group) | Self::Cut(group) => {
                group.contains(index, domains)
            }
            Self::KillAll => true,
            Self::None => false,
        }
    }
}

impl SoakCluster {
    /// Every kind of disruption, beginning with any of them.
    pub fn draw_shocks(&self, random: &mut StdRng) -> Vec<HostShock> {
        let mut shocks = vec![
            HostShock::Kill(PartitionGroup::Third(0)),
            HostShock::Kill(PartitionGroup::Domain(random.random_range(0..self.domains))),
            HostShock::KillAll,
            HostShock::Cut(PartitionGroup::Domain(random.random_range(0..self.domains))),
            HostShock::Pause(PartitionGroup::Third(1)),
            HostShock::None,
        ];
        let first = random.random_range(0..shocks.len());
        shocks.rotate_left(first);
        shocks
    }

    /// Begins a disruption; returns how long it lasts.
    pub fn begin_shock(&mut self, shock: HostShock, contacts: &HostContacts) -> Result<Duration> {
        let hit = self.hit_hosts(shock);
        for index in &hit {
            contacts.set_disturbed(*index, true);
        }
        match shock {
            HostShock::Kill(_) | HostShock::KillAll => {
                self.signal_hosts(&hit, "-KILL")?;
                Ok(KILL_TIME)
            }
            HostShock::Pause(_) => {
                self.signal_hosts(&hit, "-STOP")?;
                Ok(PAUSE_TIME)
            }
            HostShock::Cut(group) => {
                self.begin_partition(group, PartitionScope::All);
                Ok(CUT_TIME)
            }
            HostShock::None => Ok(Duration::ZERO),
        }
    }

    /// Ends a disruption, and waits until killed hosts are ready again.
    pub async fn end_shock(&mut self, shock: HostShock, contacts: &HostContacts) -> Result<()> {
        let hit = self.hit_hosts(shock);
        match shock {
            HostShock::Kill(_) | HostShock::KillAll => self.wait_ready().await?,
            HostShock::Pause(_) => self.signal_hosts(&hit, "-CONT")?,
            HostShock::Cut(group) => self.end_partition(group, PartitionScope::All),
            HostShock::None => {}
        }
        for index in &hit {
            contacts.set_disturbed(*index, false);
        }
        Ok(())
    }

    fn hit_hosts(&self, shock: HostShock) -> Vec<usize> {
        (0..self.hosts.len()).filter(|index| shock.hits(*index, self.domains)).collect()
    }

    fn signal_hosts(&self, hosts: &[usize], signal: &str) -> Result<()> {
        hosts.iter().try_for_each(|index| self.hosts[*index].signal(signal))
    }
}
