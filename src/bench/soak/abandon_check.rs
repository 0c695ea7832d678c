//! Checks that calls which were given up beside cuts are not delivered later.

use super::first_try::open_connections;
use super::handover_record::{HandoverRecord, even_tries};
use super::partition_group::PartitionGroup;
use super::server_cut::ServerCut;
use super::soak_cluster::SoakCluster;
use crate::Result;
use crate::bench::links::ProxyMode;
use rand::Rng;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// How long the links are cut, how long hosts lack their own paths before, and how long arrivals are watched afterwards.
const CUT_TIME: Duration = Duration::from_millis(3500);
const DETOUR_TIME: Duration = Duration::from_millis(2500);
const WATCH_TIME: Duration = Duration::from_millis(1500);
/// A call that ended this long before the end of a cut is not delivered after it.
const GIVE_UP_TIME: Duration = Duration::from_millis(1000);

/// What a cut of the links meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CutLinks {
    /// The paths to the servers.
    Servers,
    /// The links between hosts of which some have lost their own paths to the servers.
    Hosts(PartitionGroup),
}

/// What happens to hosts in the middle of a cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CutShock {
    Nothing,
    Kill(PartitionGroup),
    Stop(usize),
}

impl SoakCluster {
    /// Cuts links while callers ask, and checks what arrives after each cut.
    pub async fn cut_calls(&mut self, name: &str, record: &mut HandoverRecord) -> Result<()> {
        let third = PartitionGroup::Third(record.random.random_range(0..2));
        let stopped = record.random.random_range(0..self.hosts.len());
        let rounds = [
            (CutLinks::Servers, CutShock::Nothing),
            (CutLinks::Servers, CutShock::Kill(third)),
            (CutLinks::Hosts(PartitionGroup::Domain(0)), CutShock::Nothing),
            (CutLinks::Hosts(third), CutShock::Stop(stopped)),
        ];
        for ((links, shock), index) in rounds.into_iter().zip(0..) {
            self.fault_log.record_disruption(&format!("handover: {links:?} {shock:?}"))?;
            self.cut_calls_once(&format!("{name}-{index}"), links, shock, record).await?;
        }
        Ok(())
    }

    async fn cut_calls_once(
        &mut self,
        name: &str,
        links: CutLinks,
        shock: CutShock,
        record: &mut HandoverRecord,
    ) -> Result<()> {
        if let CutLinks::Hosts(group) = links {
            self.begin_server_cut(group, ServerCut::Hang)?;
            sleep(DETOUR_TIME).await;
        }
        self.set_links(links, ProxyMode::Cut);
        let (hosts, plan) = (self.caller_addresses(), even_tries(CUT_TIME / 2));
        let random = &mut record.random;
        let mut tries = open_connections(&format!("{name}a"), &hosts, plan, random).await;
        self.shock_hosts(shock)?;
        tries.extend(open_connections(&format!("{name}b"), &hosts, plan, random).await);
        let healed_at = Instant::now();
        self.set_links(links, ProxyMode::Pass);
        sleep(WATCH_TIME).await;
        if let CutLinks::Hosts(group) = links {
            self.end_server_cut(group, ServerCut::Hang)?;
        }
        let given_up: BTreeSet<&str> = tries
            .iter()
            .filter(|first_try| first_try.ended_at.into_std() + GIVE_UP_TIME <= healed_at)
            .map(|first_try| first_try.record.id.as_str())
            .collect();
        record.tally.given_up += given_up.len();
        let late = self.arrivals_since(healed_at, |id| given_up.contains(id));
        record.record_broken("what was given up is not delivered later", &late);
        record.tries.extend(tries);
        self.wait_ready().await
    }

    fn shock_hosts(&self, shock: CutShock) -> Result<()> {
        match shock {
            CutShock::Nothing => Ok(()),
            CutShock::Kill(group) => (0..self.hosts.len())
                .filter(|host| group.contains(*host, self.domains))
                .try_for_each(|host| self.hosts[host].signal("-KILL")),
            CutShock::Stop(host) => self.hosts[host].signal("-TERM"),
        }
    }

    fn set_links(&self, links: CutLinks, mode: ProxyMode) {
        match links {
            CutLinks::Servers => self.links.iter().for_each(|link| link.set(mode)),
            CutLinks::Hosts(_) => {
                self.host_links.iter().for_each(|link| link.connections.set(mode));
            }
        }
    }

    /// The requests for which `is_wanted` holds that arrived at servers since `from`.
    fn arrivals_since(&self, from: Instant, is_wanted: impl Fn(&str) -> bool) -> Vec<String> {
        let engines = self.engines().map(|engine| &engine.arrivals);
        let services = self.site.services.iter().map(|service| &service.arrivals);
        let arrivals = engines.chain(services).flat_map(|arrivals| arrivals.requests());
        let late = arrivals.filter(|arrival| arrival.at >= from && is_wanted(&arrival.request));
        late.map(|arrival| arrival.request).collect()
    }
}
