//! Hosts that reach no server while callers, the store and the other hosts reach them.

use super::partition_group::PartitionGroup;
use super::soak_cluster::SoakCluster;
use crate::Result;
use crate::bench::ConnectionCut;
use crate::bench::links::PartitionScope;
use rand::Rng;
use rand::rngs::StdRng;

/// What becomes of the connections of a host that loses its path to all servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ServerCut {
    /// Open connections fall silent, and new ones hang.
    Hang,
    /// Open connections fall silent, and new ones are accepted and silent.
    Silent,
    /// Open connections are reset, and new ones refused.
    Reset,
    /// Open connections work, and new ones are refused.
    RefuseNew,
}

impl ServerCut {
    pub const ALL: [Self; 4] = [Self::Hang, Self::Silent, Self::Reset, Self::RefuseNew];

    /// Draws a cut.
    pub fn draw(random: &mut StdRng) -> Self {
        Self::ALL[random.random_range(0..Self::ALL.len())]
    }

    /// How new connections end at the operating system of the host.
    const fn new_connections(self) -> Option<ConnectionCut> {
        match self {
            Self::Hang => Some(ConnectionCut::Hang),
            Self::Silent => None,
            Self::Reset | Self::RefuseNew => Some(ConnectionCut::Refuse),
        }
    }

    /// What becomes of open connections.
    const fn open_connections(self) -> Option<PartitionScope> {
        match self {
            Self::Hang | Self::Silent => Some(PartitionScope::Servers),
            Self::Reset => Some(PartitionScope::ServersReset),
            Self::RefuseNew => None,
        }
    }
}

impl SoakCluster {
    /// Separates the hosts of a group from all servers. Their connections that fall silent never recover.
    pub fn begin_server_cut(&self, group: PartitionGroup, cut: ServerCut) -> Result<()> {
        self.set_new_connections(group, cut.new_connections())?;
        if let Some(scope) = cut.open_connections() {
            self.sockets.partitions.begin(&self.machines(group), scope);
        }
        Ok(())
    }

    /// Ends a cut: new connections of the hosts reach the servers again.
    pub fn end_server_cut(&self, group: PartitionGroup, cut: ServerCut) -> Result<()> {
        if let Some(scope) = cut.open_connections() {
            self.sockets.partitions.end(&self.machines(group), scope);
        }
        self.set_new_connections(group, None)
    }

    /// Ends all cuts.
    pub fn end_server_cuts(&self) -> Result<()> {
        self.hosts.iter().try_for_each(|host| host.set_server_cut(None))
    }

    fn set_new_connections(&self, group: PartitionGroup, cut: Option<ConnectionCut>) -> Result<()> {
        for (host, index) in self.hosts.iter().zip(0..) {
            if group.contains(index, self.domains) {
                host.set_server_cut(cut)?;
            }
        }
        Ok(())
    }
}
