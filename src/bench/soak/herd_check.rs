//! Checks that first tries are served while most new connections go to one host, and hosts are killed, paused and cut off.

use super::first_try::{FirstTry, TryPlan, open_connections};
use super::host_contacts::HostContacts;
use super::host_shock::HostShock;
use super::partition_group::PartitionGroup;
use super::soak_check::{CutTries, SoakRecord, SoakViolation};
use super::soak_cluster::SoakCluster;
use super::soak_options::SoakOptions;
use crate::Result;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use tokio::time::Instant;

/// How new connections are spread evenly before each herd.
const CALM_PLAN: TryPlan = TryPlan {
    time: Duration::from_millis(3000),
    pause: Duration::from_millis(24),
    target: None,
    tokens: None,
};
/// How long most new connections go to one host, and the pause between two of them.
const HERD_TIME: Duration = Duration::from_millis(7000);
const HERD_PAUSE: Duration = Duration::from_millis(8);
/// Time from which on a herd counts.
const CONTACT_TIME: Duration = Duration::from_millis(3000);
const HERD_SALT: u64 = 0x4e_7d;

impl SoakCluster {
    /// Sends most new connections to one host, to another one in each herd, once without a disruption and once beside
    /// each kind. Returns violations; adds the first tries before and during the herds to `tries`.
    pub async fn check_herds(
        &mut self,
        options: &SoakOptions,
        records: &mut Vec<SoakRecord>,
        tries: &mut (CutTries, CutTries),
    ) -> Result<Vec<SoakViolation>> {
        let mut random = StdRng::seed_from_u64(options.seed ^ HERD_SALT);
        let addresses = self.caller_addresses();
        let contacts = HostContacts::new(&addresses, Instant::now());
        let mut violations = Vec::new();
        let shocks = [
            HostShock::None,
            HostShock::Kill(PartitionGroup::Third(1)),
            HostShock::Pause(PartitionGroup::Third(1)),
            HostShock::Cut(PartitionGroup::Third(1)),
        ];
        for (shock, index) in shocks.into_iter().zip(0..) {
            let name = format!("s{}-herd{index}", options.seed);
            self.fault_log.record_disruption(&format!("herd: {shock:?}"))?;
            let calm =
                open_connections(&format!("{name}-calm"), &addresses, CALM_PLAN, &mut random).await;
            // The host of the herd is not hit: Third(1) begins with the second host of each domain.
            let target = random.random_range(0..self.domains);
            let plan =
                TryPlan { time: HERD_TIME, pause: HERD_PAUSE, target: Some(target), tokens: None };
            self.begin_shock(shock, &contacts)?;
            let herd = open_connections(&name, &addresses, plan, &mut random).await;
            self.end_shock(shock, &contacts).await?;
            let counted_from = herd.first().map(|first| first.sent_at + CONTACT_TIME);
            let before = tally(&calm, None);
            let during = tally(&herd, counted_from);
            tries.0.add(before);
            tries.1.add(during);
            if 4 * during.served * before.sent < 3 * before.served * during.sent {
                let guarantee = "what one host reads of most new connections is served";
                let detail = format!(
                    "{name} {shock:?}: {} of {}, {} of {} before",
                    during.served, during.sent, before.served, before.sent
                );
                violations.push(SoakViolation { guarantee, detail });
            }
            for first_try in calm.into_iter().chain(herd) {
                records.push(first_try.record);
                violations.extend(first_try.violation);
            }
        }
        Ok(violations)
    }
}

/// Counts the tries that a host has read, as far as an answer shows that. Hosts that are killed, paused or cut off answer
/// nothing.
fn tally(tries: &[FirstTry], from: Option<Instant>) -> CutTries {
    let counted =
        tries.iter().filter(|first_try| from.is_none_or(|from| first_try.sent_at >= from));
    let mut tally = CutTries::default();
    for status in counted.filter_map(|first_try| first_try.record.status) {
        tally.add(CutTries { sent: 1, served: u64::from(status == 200) });
    }
    tally
}
