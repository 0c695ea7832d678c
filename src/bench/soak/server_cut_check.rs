//! Checks that callers of hosts without a path to the servers are served about as often as callers of other hosts.

use super::partition_group::PartitionGroup;
use super::server_cut::ServerCut;
use super::soak_caller::soak_call;
use super::soak_check::{CutTries, SoakRecord, SoakRoute, SoakViolation, check_reply};
use super::soak_cluster::SoakCluster;
use super::soak_options::SoakOptions;
use crate::Result;
use crate::bench::site::call_site;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Time from which on callers of hosts without servers must be served.
const CONTACT_TIME: Duration = Duration::from_millis(3000);
/// Time between two cuts, so that each one begins with hosts that use the servers themselves.
const RECOVERY_TIME: Duration = Duration::from_millis(2500);
/// First tries at each host during one cut, and the pause between them: some 3 s in all.
const TRIES_PER_HOST: usize = 48;
const TRY_PAUSE: Duration = Duration::from_millis(60);
const CUT_SALT: u64 = 0x5e_4c07;

/// The first tries at the hosts of one cut, by whether their host was cut off.
#[derive(Debug, Clone, Copy, Default)]
struct CutResult {
    cut: CutTries,
    others: CutTries,
}

impl CutResult {
    /// Whether the cut hosts served less than two thirds as often as the others, and more than 10 + 1 in 50 of all tries
    /// failed there. These are the users' bounds.
    fn is_violation(self) -> bool {
        let (cut, others) = (self.cut, self.others);
        let is_worse = 3 * cut.served * others.sent < 2 * others.served * cut.sent;
        is_worse && cut.sent - cut.served > 10 + (cut.sent + others.sent) / 50
    }
}

impl SoakCluster {
    /// Separates a host, a failure domain, all hosts but one and a third of all hosts from all servers, each with another
    /// kind of cut, and sends requests to all hosts meanwhile.
    pub async fn check_server_cuts(
        &mut self,
        options: &SoakOptions,
        records: &mut Vec<SoakRecord>,
        tries: &mut (CutTries, CutTries),
    ) -> Result<Vec<SoakViolation>> {
        let mut random = StdRng::seed_from_u64(options.seed ^ CUT_SALT);
        let first_kind = random.random_range(0..ServerCut::ALL.len());
        let mut violations = Vec::new();
        for (kind, index) in ServerCut::ALL.iter().cycle().skip(first_kind).zip(0..4) {
            let group = match index {
                0 => PartitionGroup::Host(random.random_range(0..self.hosts.len())),
                1 => PartitionGroup::Domain(random.random_range(0..self.domains)),
                2 => PartitionGroup::AllBut(random.random_range(0..self.hosts.len())),
                _ => PartitionGroup::Third(0),
            };
            self.restart_crashed().await?;
            self.fault_log.record_disruption(&format!("servers cut: {group:?} {kind:?}"))?;
            self.begin_server_cut(group, *kind)?;
            sleep(CONTACT_TIME).await;
            let result = self.try_hosts(options.seed, index, group, records, &mut violations).await;
            self.end_server_cut(group, *kind)?;
            let what = format!(
                "{group:?} {kind:?}: cut hosts served {} of {}, the others {} of {}",
                result.cut.served, result.cut.sent, result.others.served, result.others.sent
            );
            self.fault_log.record_disruption(&what)?;
            tries.0.add(result.cut);
            tries.1.add(result.others);
            if result.is_violation() {
                let guarantee = "callers of hosts without servers are served like others";
                violations.push(SoakViolation { guarantee, detail: what });
            }
            sleep(RECOVERY_TIME).await;
        }
        Ok(violations)
    }

    /// Sends requests to all hosts at the same time, each of them once.
    async fn try_hosts(
        &self,
        seed: u64,
        cut_index: usize,
        group: PartitionGroup,
        records: &mut Vec<SoakRecord>,
        violations: &mut Vec<SoakViolation>,
    ) -> CutResult {
        let mut hosts = JoinSet::new();
        for (host, index) in self.hosts.iter().zip(0..) {
            let name = format!("s{seed}-cut{cut_index}-h{index}");
            let is_cut = group.contains(index, self.domains);
            let address = host.callers;
            hosts.spawn(async move { (is_cut, try_host(name, address).await) });
        }
        let mut result = CutResult::default();
        for (is_cut, tries) in hosts.join_all().await {
            let side = if is_cut { &mut result.cut } else { &mut result.others };
            for (record, violation) in tries {
                side.sent += 1;
                side.served += u64::from(record.status == Some(200));
                records.push(record);
                violations.extend(violation);
            }
        }
        result
    }
}

/// Sends requests of all routes to one host, each on a connection of its own.
async fn try_host(name: String, host: SocketAddr) -> Vec<(SoakRecord, Option<SoakViolation>)> {
    let mut tries = JoinSet::new();
    for index in 0..TRIES_PER_HOST {
        let route = SoakRoute::ALL[index % SoakRoute::ALL.len()];
        let id = format!("{name}-{index}");
        tries.spawn(async move {
            let reply = call_site(host, &soak_call(route, &id)).await.ok();
            let violation = reply.as_ref().and_then(|reply| check_reply(route, &id, reply));
            let whole = reply.filter(|reply| reply.complete || !reply.status.is_success());
            let status = whole.map(|reply| reply.status.as_u16());
            (SoakRecord::answered(id, route, status), violation)
        });
        sleep(TRY_PAUSE).await;
    }
    tries.join_all().await
}
