use std::collections::BTreeMap;
use std::net::IpAddr;
use tokio::sync::watch;

/// Which traffic to and from a partitioned machine is blocked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PartitionScope {
    /// All traffic.
    All,
    /// Traffic with other hosts; the store and the servers remain reachable.
    Hosts,
    /// Traffic with the servers, whose connections fall silent; the store and other hosts remain reachable.
    Servers,
    /// As [`Self::Servers`], but open connections are reset.
    ServersReset,
}

/// The machines that are partitioned from the network, by IP address.
///
/// Each machine needs its own IP address, from which the programs on it open all of their connections.
#[derive(Debug, Clone)]
pub struct NetworkPartitions {
    /// Number of active partitions of each machine and scope.
    active: watch::Sender<BTreeMap<(IpAddr, PartitionScope), usize>>,
}

impl Default for NetworkPartitions {
    fn default() -> Self {
        Self { active: watch::Sender::new(BTreeMap::new()) }
    }
}

impl NetworkPartitions {
    /// Partitions machines. Open connections that the partition blocks stay dead even after it has ended. A machine is
    /// reachable on new connections once all of its partitions have ended.
    pub fn begin(&self, machines: &[IpAddr], scope: PartitionScope) {
        self.active.send_modify(|active| {
            for machine in machines {
                *active.entry((*machine, scope)).or_default() += 1;
            }
        });
    }

    /// Ends one partition of each machine.
    pub fn end(&self, machines: &[IpAddr], scope: PartitionScope) {
        self.active.send_modify(|active| {
            for machine in machines {
                if let Some(count) = active.get_mut(&(*machine, scope)) {
                    *count = count.saturating_sub(1);
                }
            }
            active.retain(|_, count| *count > 0);
        });
    }

    /// Ends all partitions.
    pub fn end_all(&self) {
        self.active.send_modify(BTreeMap::clear);
    }

    /// Whether an active partition of one of `scopes` blocks a link between the machines `ends`.
    pub fn is_blocked(&self, ends: [IpAddr; 2], scopes: &[PartitionScope]) -> bool {
        is_any_partitioned(&self.active.borrow(), ends, scopes)
    }

    /// Waits until a partition of one of `scopes` blocks the link between the machines `ends`.
    pub async fn blocked(&self, ends: [IpAddr; 2], scopes: &[PartitionScope]) {
        let mut changes = self.active.subscribe();
        // `self` owns the sender, so the channel cannot close during this wait.
        if changes.wait_for(|active| is_any_partitioned(active, ends, scopes)).await.is_err() {
            std::future::pending().await
        }
    }
}

fn is_any_partitioned(
    active: &BTreeMap<(IpAddr, PartitionScope), usize>,
    ends: [IpAddr; 2],
    scopes: &[PartitionScope],
) -> bool {
    ends.iter().any(|end| scopes.iter().any(|scope| active.contains_key(&(*end, *scope))))
}
