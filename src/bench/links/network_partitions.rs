use std::collections::BTreeMap;
use std::net::IpAddr;
use tokio::sync::watch;

/// What a machine that is cut off no longer reaches, and is no longer reached by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PartitionScope {
    /// Anything.
    All,
    /// Other hosts; the store and the servers still.
    Hosts,
}

/// Machines that are cut off, by their addresses.
///
/// Whoever puts programs on machines gives each an address of its own, from which all of its connections come.
#[derive(Debug, Clone)]
pub struct NetworkPartitions {
    /// By how many cuts each of them is cut off.
    cuts: watch::Sender<BTreeMap<(IpAddr, PartitionScope), usize>>,
}

impl Default for NetworkPartitions {
    fn default() -> Self {
        Self { cuts: watch::Sender::new(BTreeMap::new()) }
    }
}

impl NetworkPartitions {
    /// Cuts machines off. Their open connections are dead from now on; a machine is back when each of its cuts has
    /// ended.
    pub fn begin(&self, machines: &[IpAddr], scope: PartitionScope) {
        self.cuts.send_modify(|cuts| {
            for machine in machines {
                *cuts.entry((*machine, scope)).or_default() += 1;
            }
        });
    }

    /// Ends a cut.
    pub fn end(&self, machines: &[IpAddr], scope: PartitionScope) {
        self.cuts.send_modify(|cuts| {
            for machine in machines {
                if let Some(count) = cuts.get_mut(&(*machine, scope)) {
                    *count = count.saturating_sub(1);
                }
            }
            cuts.retain(|_, count| *count > 0);
        });
    }

    /// Ends all cuts.
    pub fn end_all(&self) {
        self.cuts.send_modify(BTreeMap::clear);
    }

    /// Whether nothing passes now on a link that cuts of these scopes part, between machines at its ends.
    pub fn parts(&self, ends: [IpAddr; 2], scopes: &[PartitionScope]) -> bool {
        is_parted(&self.cuts.borrow(), ends, scopes)
    }

    /// Waits until nothing passes there.
    pub async fn parted(&self, ends: [IpAddr; 2], scopes: &[PartitionScope]) {
        let mut news = self.cuts.subscribe();
        // The sender of these news is this very value.
        if news.wait_for(|cuts| is_parted(cuts, ends, scopes)).await.is_err() {
            std::future::pending().await
        }
    }
}

fn is_parted(
    cuts: &BTreeMap<(IpAddr, PartitionScope), usize>,
    ends: [IpAddr; 2],
    scopes: &[PartitionScope],
) -> bool {
    ends.iter().any(|end| scopes.iter().any(|scope| cuts.contains_key(&(*end, *scope))))
}
