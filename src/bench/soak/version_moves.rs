//! A version that comes, leaves or returns beside a kill of all hosts. Until then all engines run one version: once hosts
//! have seen several, they prove nothing for a minute.

use super::host_contacts::HostContacts;
use super::host_shock::HostShock;
use super::soak_cluster::SoakCluster;
use crate::Result;
use rand::Rng;
use rand::rngs::StdRng;
use std::ops::Range;
use std::time::Duration;
use tokio::time::sleep;

/// The version that engines run from the start, and the new one.
pub(super) const FORMER_VERSION: &str = "v1";
const NEW: &str = "v2";
/// Time after which hosts know the version, or are in touch again.
const SETTLE_TIME: Duration = Duration::from_millis(3500);
/// Time between a move and the kill, in milliseconds: before and after the store knows of the move.
const LEAD_MS: Range<u64> = 0..2000;

/// What the versions of all engines do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum VersionMove {
    /// The former one leaves for the new one just before the kill.
    LeavesBeforeKill,
    /// It leaves while all hosts are dead.
    LeavesWhileDead,
    /// The new one comes at one engine before the kill, and leaves while all hosts are dead.
    ComesAndLeaves,
    /// All engines change to the new one before the kill, and back while all hosts are dead.
    ReturnsWhileDead,
}

impl VersionMove {
    const ALL: [Self; 4] = [
        Self::LeavesBeforeKill,
        Self::LeavesWhileDead,
        Self::ComesAndLeaves,
        Self::ReturnsWhileDead,
    ];
}

impl SoakCluster {
    /// Plays one move.
    pub async fn run_version_move(
        &mut self,
        contacts: &HostContacts,
        random: &mut StdRng,
    ) -> Result<()> {
        let version_move = VersionMove::ALL[random.random_range(0..VersionMove::ALL.len())];
        let lead = Duration::from_millis(random.random_range(LEAD_MS));
        sleep(SETTLE_TIME).await;
        self.fault_log.record_disruption(&format!("versions: {version_move:?} {lead:?}"))?;
        match version_move {
            VersionMove::LeavesBeforeKill | VersionMove::ReturnsWhileDead => {
                self.replace_engines(NEW).await?;
            }
            VersionMove::ComesAndLeaves => self.replace_engine(0, NEW).await?,
            VersionMove::LeavesWhileDead => {}
        }
        sleep(lead).await;
        let time = self.begin_shock(HostShock::KillAll, contacts)?;
        match version_move {
            VersionMove::LeavesWhileDead => self.replace_engines(NEW).await?,
            VersionMove::ReturnsWhileDead => self.replace_engines(FORMER_VERSION).await?,
            VersionMove::ComesAndLeaves => self.replace_engine(0, FORMER_VERSION).await?,
            VersionMove::LeavesBeforeKill => {}
        }
        sleep(time).await;
        self.end_shock(HostShock::KillAll, contacts).await?;
        sleep(SETTLE_TIME).await;
        Ok(())
    }

    /// Replaces all engines.
    pub async fn replace_engines(&self, version: &str) -> Result<()> {
        for index in 0..self.site.servers.len() {
            if self.site.servers[index].stage.is_some() {
                self.replace_engine(index, version).await?;
            }
        }
        Ok(())
    }
}
