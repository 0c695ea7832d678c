//! Shocks that strike hosts for seconds while changes are confirmed.

use super::soak_cut::CutGroup;
use super::soak_run::SoakStage;
use crate::Result;
use crate::bench::links::PartitionScope;
use rand::Rng;
use rand::rngs::StdRng;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// How long machines are cut off, or hosts stand still.
const SHOCK_TIME: Duration = Duration::from_millis(5500);
/// How long machines reach no other host: changes come in the first moments only, which is when hosts notice nothing yet.
const ISOLATED_TIME: Duration = Duration::from_millis(3300);
/// How long after a cut has begun the next one does, while it goes on.
const TURN_PAUSE: Duration = Duration::from_millis(2000);
/// Pauses between changes, of which each shock has one.
const CHANGE_PAUSES_MS: [u64; 3] = [200, 500, 2000];
/// How long a killed process takes to be gone.
const KILL_PAUSE: Duration = Duration::from_millis(150);

/// A shock to hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HostShock {
    /// All machines of a failure domain are cut off.
    DomainCut(usize),
    /// About a third of the machines are.
    ThirdCut,
    /// A third of the machines are, then another one before the first is back, and then the last.
    CutInTurn,
    /// A third of the machines are, and hosts of another third are killed and start again meanwhile.
    CutBesideKills,
    /// A third of the machines reach the store and servers, but no other host.
    Isolated,
    /// All hosts stand still.
    AllFrozen,
}

/// What is done to hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HostTrouble {
    BeginCut(CutGroup, PartitionScope),
    EndCut(CutGroup, PartitionScope),
    Restart(CutGroup),
    FreezeAll,
    ThawAll,
}

/// What is done at which time of a shock, in order.
type TroublePlan = Vec<(Duration, HostTrouble)>;

impl HostShock {
    /// All of them.
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

    /// How long it lasts.
    fn lasts(self) -> Duration {
        match self {
            Self::CutInTurn => SHOCK_TIME + TURN_PAUSE * 2,
            Self::Isolated => ISOLATED_TIME,
            Self::DomainCut(_) | Self::ThirdCut | Self::CutBesideKills | Self::AllFrozen => {
                SHOCK_TIME
            }
        }
    }

    /// What is done before its end.
    fn plan(self) -> TroublePlan {
        let at_once = Duration::ZERO;
        match self {
            Self::DomainCut(domain) => {
                vec![(
                    at_once,
                    HostTrouble::BeginCut(CutGroup::Domain(domain), PartitionScope::All),
                )]
            }
            Self::ThirdCut => {
                vec![(at_once, HostTrouble::BeginCut(CutGroup::Third(0), PartitionScope::All))]
            }
            Self::CutInTurn => vec![
                (at_once, HostTrouble::BeginCut(CutGroup::Third(0), PartitionScope::All)),
                (TURN_PAUSE, HostTrouble::BeginCut(CutGroup::Third(1), PartitionScope::All)),
                (TURN_PAUSE * 2, HostTrouble::BeginCut(CutGroup::Third(2), PartitionScope::All)),
                (SHOCK_TIME, HostTrouble::EndCut(CutGroup::Third(0), PartitionScope::All)),
                (
                    SHOCK_TIME + TURN_PAUSE,
                    HostTrouble::EndCut(CutGroup::Third(1), PartitionScope::All),
                ),
            ],
            Self::CutBesideKills => vec![
                (at_once, HostTrouble::BeginCut(CutGroup::Third(0), PartitionScope::All)),
                (TURN_PAUSE, HostTrouble::Restart(CutGroup::Third(1))),
            ],
            Self::Isolated => {
                vec![(at_once, HostTrouble::BeginCut(CutGroup::Third(1), PartitionScope::Hosts))]
            }
            Self::AllFrozen => vec![(at_once, HostTrouble::FreezeAll)],
        }
    }

    /// What ends it.
    const fn end(self) -> HostTrouble {
        match self {
            Self::DomainCut(domain) => {
                HostTrouble::EndCut(CutGroup::Domain(domain), PartitionScope::All)
            }
            Self::ThirdCut | Self::CutBesideKills => {
                HostTrouble::EndCut(CutGroup::Third(0), PartitionScope::All)
            }
            Self::CutInTurn => HostTrouble::EndCut(CutGroup::Third(2), PartitionScope::All),
            Self::Isolated => HostTrouble::EndCut(CutGroup::Third(1), PartitionScope::Hosts),
            Self::AllFrozen => HostTrouble::ThawAll,
        }
    }

    /// Whether the host at a place has nothing that keeps it from following the store in the last seconds.
    const fn spares(self, place: usize, domains: usize) -> bool {
        match self {
            Self::DomainCut(domain) => !CutGroup::Domain(domain).contains(place, domains),
            Self::ThirdCut => !CutGroup::Third(0).contains(place, domains),
            Self::CutBesideKills => CutGroup::Third(2).contains(place, domains),
            Self::Isolated => true,
            Self::CutInTurn | Self::AllFrozen => false,
        }
    }
}

impl SoakStage {
    /// Brings a shock about and confirms changes beside it until `quiet` before its end, and a server leaves. Returns, as it
    /// is about to end, the hosts that it spared.
    pub async fn begin_shock(
        &mut self,
        shock: HostShock,
        leaving: usize,
        quiet: Duration,
        random: &mut StdRng,
    ) -> Result<Vec<usize>> {
        let pause = CHANGE_PAUSES_MS[random.random_range(0..CHANGE_PAUSES_MS.len())];
        let pause = Duration::from_millis(pause);
        let began = Instant::now();
        let last_change = began + shock.lasts().saturating_sub(quiet);
        for (at, trouble) in shock.plan() {
            self.change_until(last_change.min(began + at), pause).await;
            sleep_until(began + at).await;
            self.bring(trouble).await?;
            self.state_service(leaving, "draining");
        }
        self.change_until(last_change, pause).await;
        sleep_until(last_change).await;
        self.confirm_version();
        // What was done to hosts may have taken longer than planned.
        sleep_until((began + shock.lasts()).max(Instant::now() + quiet)).await;
        let spared = (0..self.hosts.len()).filter(|place| shock.spares(*place, self.domains));
        Ok(spared.collect())
    }

    /// Ends a shock; a further change is confirmed now and then as it does.
    pub async fn end_shock(&mut self, shock: HostShock, random: &mut StdRng) -> Result<()> {
        if random.random_bool(0.5) {
            self.confirm_version();
        }
        self.bring(shock.end()).await
    }

    async fn change_until(&mut self, until: Instant, pause: Duration) {
        while Instant::now() + pause <= until {
            sleep(pause).await;
            self.confirm_version();
        }
    }

    async fn bring(&mut self, trouble: HostTrouble) -> Result<()> {
        self.trace.note_shock(&format!("{trouble:?}"))?;
        match trouble {
            HostTrouble::BeginCut(group, scope) => self.begin_cut(group, scope),
            HostTrouble::EndCut(group, scope) => self.end_cut(group, scope),
            HostTrouble::Restart(group) => {
                for (host, place) in self.hosts.iter().zip(0..) {
                    if group.contains(place, self.domains) {
                        host.signal("-KILL")?;
                    }
                }
                sleep(KILL_PAUSE).await;
                self.wait_ready().await?;
            }
            HostTrouble::FreezeAll => {
                for host in &self.hosts {
                    host.signal("-STOP")?;
                }
            }
            HostTrouble::ThawAll => {
                for host in &mut self.hosts {
                    host.resume()?;
                }
            }
        }
        Ok(())
    }
}
