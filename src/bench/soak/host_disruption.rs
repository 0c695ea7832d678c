//! Disruptions of hosts that last several seconds while changes are confirmed.

use super::partition_group::PartitionGroup;
use super::soak_cluster::SoakCluster;
use crate::Result;
use crate::bench::links::PartitionScope;
use rand::Rng;
use rand::rngs::StdRng;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// How long machines are partitioned or hosts are frozen.
const DISRUPTION_TIME: Duration = Duration::from_millis(5500);
/// How long machines reach no other host. It is short, so that changes are confirmed only at its beginning, when hosts
/// have not detected the partition yet.
const ISOLATION_TIME: Duration = Duration::from_millis(3300);
/// Time between the starts of overlapping partitions.
const PARTITION_STAGGER: Duration = Duration::from_millis(2000);
/// Pauses between changes. Each disruption uses one of them.
const CHANGE_PAUSES_MS: [u64; 3] = [200, 500, 2000];
/// Time that a killed process needs to disappear.
const KILL_PAUSE: Duration = Duration::from_millis(150);

/// A disruption of hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HostDisruption {
    /// All machines of a failure domain are partitioned from everything else.
    DomainCut(usize),
    /// About a third of the machines are partitioned from everything else.
    ThirdCut,
    /// A third of the machines are partitioned, then each of the other thirds, so that the partitions overlap.
    CutInTurn,
    /// A third of the machines are partitioned, and meanwhile the hosts of another third are killed and restarted.
    CutBesideKills,
    /// A third of the machines reach the store and servers, but no other host.
    Isolated,
    /// All hosts are frozen.
    AllFrozen,
}

/// One action of a disruption.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DisruptionAction {
    BeginCut(PartitionGroup, PartitionScope),
    EndCut(PartitionGroup, PartitionScope),
    Restart(PartitionGroup),
    FreezeAll,
    ThawAll,
}

/// The actions of a disruption in order, each with its time since the start.
type DisruptionPlan = Vec<(Duration, DisruptionAction)>;

impl HostDisruption {
    /// Returns all disruptions. `domain` is the failure domain that the first one partitions.
    pub fn all(domain: usize) -> [Self; 6] {
        [
            Self::DomainCut(domain),
            Self::ThirdCut,
            Self::CutInTurn,
            Self::CutBesideKills,
            Self::Isolated,
            Self::AllFrozen,
        ]
    }

    /// Returns the duration of the disruption.
    fn duration(self) -> Duration {
        match self {
            Self::CutInTurn => DISRUPTION_TIME + PARTITION_STAGGER * 2,
            Self::Isolated => ISOLATION_TIME,
            Self::DomainCut(_) | Self::ThirdCut | Self::CutBesideKills | Self::AllFrozen => {
                DISRUPTION_TIME
            }
        }
    }

    /// Returns the actions before the end of the disruption.
    fn plan(self) -> DisruptionPlan {
        let start = Duration::ZERO;
        match self {
            Self::DomainCut(domain) => {
                vec![(
                    start,
                    DisruptionAction::BeginCut(PartitionGroup::Domain(domain), PartitionScope::All),
                )]
            }
            Self::ThirdCut => {
                vec![(
                    start,
                    DisruptionAction::BeginCut(PartitionGroup::Third(0), PartitionScope::All),
                )]
            }
            Self::CutInTurn => vec![
                (start, DisruptionAction::BeginCut(PartitionGroup::Third(0), PartitionScope::All)),
                (
                    PARTITION_STAGGER,
                    DisruptionAction::BeginCut(PartitionGroup::Third(1), PartitionScope::All),
                ),
                (
                    PARTITION_STAGGER * 2,
                    DisruptionAction::BeginCut(PartitionGroup::Third(2), PartitionScope::All),
                ),
                (
                    DISRUPTION_TIME,
                    DisruptionAction::EndCut(PartitionGroup::Third(0), PartitionScope::All),
                ),
                (
                    DISRUPTION_TIME + PARTITION_STAGGER,
                    DisruptionAction::EndCut(PartitionGroup::Third(1), PartitionScope::All),
                ),
            ],
            Self::CutBesideKills => vec![
                (start, DisruptionAction::BeginCut(PartitionGroup::Third(0), PartitionScope::All)),
                (PARTITION_STAGGER, DisruptionAction::Restart(PartitionGroup::Third(1))),
            ],
            Self::Isolated => {
                vec![(
                    start,
                    DisruptionAction::BeginCut(PartitionGroup::Third(1), PartitionScope::Hosts),
                )]
            }
            Self::AllFrozen => vec![(start, DisruptionAction::FreezeAll)],
        }
    }

    /// Returns the action that ends the disruption.
    const fn end_action(self) -> DisruptionAction {
        match self {
            Self::DomainCut(domain) => {
                DisruptionAction::EndCut(PartitionGroup::Domain(domain), PartitionScope::All)
            }
            Self::ThirdCut | Self::CutBesideKills => {
                DisruptionAction::EndCut(PartitionGroup::Third(0), PartitionScope::All)
            }
            Self::CutInTurn => {
                DisruptionAction::EndCut(PartitionGroup::Third(2), PartitionScope::All)
            }
            Self::Isolated => {
                DisruptionAction::EndCut(PartitionGroup::Third(1), PartitionScope::Hosts)
            }
            Self::AllFrozen => DisruptionAction::ThawAll,
        }
    }

    /// Returns whether the host at `index` can follow the store without interruption in the last seconds of the
    /// disruption.
    const fn is_unaffected(self, index: usize, domains: usize) -> bool {
        match self {
            Self::DomainCut(domain) => !PartitionGroup::Domain(domain).contains(index, domains),
            Self::ThirdCut => !PartitionGroup::Third(0).contains(index, domains),
            Self::CutBesideKills => PartitionGroup::Third(2).contains(index, domains),
            Self::Isolated => true,
            Self::CutInTurn | Self::AllFrozen => false,
        }
    }
}

impl SoakCluster {
    /// Runs a disruption up to its end, confirms changes until `quiet` before the end, and drains a server. Returns
    /// the indices of the hosts that the disruption does not affect; the caller ends it with [`Self::end_disruption`].
    pub async fn begin_disruption(
        &mut self,
        disruption: HostDisruption,
        draining: usize,
        quiet: Duration,
        random: &mut StdRng,
    ) -> Result<Vec<usize>> {
        let pause = CHANGE_PAUSES_MS[random.random_range(0..CHANGE_PAUSES_MS.len())];
        let pause = Duration::from_millis(pause);
        let start = Instant::now();
        let last_change = start + disruption.duration().saturating_sub(quiet);
        for (offset, action) in disruption.plan() {
            self.confirm_versions_until(last_change.min(start + offset), pause).await;
            sleep_until(start + offset).await;
            self.apply_action(action).await?;
            self.write_service_entry(draining, "draining");
        }
        self.confirm_versions_until(last_change, pause).await;
        sleep_until(last_change).await;
        self.confirm_version();
        // The actions may have taken longer than planned.
        sleep_until((start + disruption.duration()).max(Instant::now() + quiet)).await;
        let unaffected =
            (0..self.hosts.len()).filter(|index| disruption.is_unaffected(*index, self.domains));
        Ok(unaffected.collect())
    }

    /// Ends a disruption. In half of the cases another change is confirmed just before.
    pub async fn end_disruption(
        &mut self,
        disruption: HostDisruption,
        random: &mut StdRng,
    ) -> Result<()> {
        if random.random_bool(0.5) {
            self.confirm_version();
        }
        self.apply_action(disruption.end_action()).await
    }

    /// Confirms versions at intervals of `pause`, none later than `until`.
    async fn confirm_versions_until(&mut self, until: Instant, pause: Duration) {
        while Instant::now() + pause <= until {
            sleep(pause).await;
            self.confirm_version();
        }
    }

    async fn apply_action(&mut self, action: DisruptionAction) -> Result<()> {
        self.fault_log.record_disruption(&format!("{action:?}"))?;
        match action {
            DisruptionAction::BeginCut(group, scope) => self.begin_partition(group, scope),
            DisruptionAction::EndCut(group, scope) => self.end_partition(group, scope),
            DisruptionAction::Restart(group) => {
                for (host, index) in self.hosts.iter().zip(0..) {
                    if group.contains(index, self.domains) {
                        host.signal("-KILL")?;
                    }
                }
                sleep(KILL_PAUSE).await;
                self.wait_ready().await?;
            }
            DisruptionAction::FreezeAll => {
                for host in &self.hosts {
                    host.signal("-STOP")?;
                }
            }
            DisruptionAction::ThawAll => {
                for host in &mut self.hosts {
                    host.resume()?;
                }
            }
        }
        Ok(())
    }
}
