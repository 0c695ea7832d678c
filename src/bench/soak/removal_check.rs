//! Checks that hosts in touch send nothing to servers that left while other hosts were cut off.

use super::first_try::open_connections;
use super::handover_record::{HandoverRecord, even_tries};
use super::partition_group::PartitionGroup;
use super::soak_cluster::SoakCluster;
use crate::Result;
use crate::bench::links::PartitionScope;
use rand::Rng;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// How long hosts are cut off while a server leaves.
const AWAY_TIME: Duration = Duration::from_millis(5500);
/// How long callers ask after the return of the hosts that were cut off.
const RETURN_TIME: Duration = Duration::from_millis(3000);
/// Time after the server's return, so that all hosts use it again.
const RECOVERY_TIME: Duration = Duration::from_millis(2500);

impl SoakCluster {
    /// Takes a plain server away while a host and then a domain is cut off.
    pub async fn remove_servers(&mut self, name: &str, record: &mut HandoverRecord) -> Result<()> {
        let groups = [
            PartitionGroup::Host(record.random.random_range(0..self.hosts.len())),
            PartitionGroup::Domain(record.random.random_range(0..self.domains)),
        ];
        for (group, index) in groups.into_iter().zip(0..) {
            self.remove_server_once(&format!("{name}-{index}"), group, record).await?;
        }
        Ok(())
    }

    async fn remove_server_once(
        &mut self,
        name: &str,
        group: PartitionGroup,
        record: &mut HandoverRecord,
    ) -> Result<()> {
        let leaving = record.random.random_range(0..self.site.services.len());
        let server = self.site.services[leaving].id.clone();
        self.fault_log.record_disruption(&format!("handover: {server} leaves, {group:?} away"))?;
        self.begin_partition(group, PartitionScope::All);
        sleep(AWAY_TIME / 4).await;
        self.site.store.change(|objects| objects.remove("servers", &server));
        sleep(AWAY_TIME / 4 * 3).await;
        self.end_partition(group, PartitionScope::All);
        let in_touch = (0..self.hosts.len()).filter(|host| !group.contains(*host, self.domains));
        let hosts: Vec<SocketAddr> = in_touch.map(|host| self.hosts[host].callers).collect();
        let plan = even_tries(RETURN_TIME);
        let tries = open_connections(name, &hosts, plan, &mut record.random).await;
        record.tally.asked += tries.len();
        record.tries.extend(tries);
        let prefix = format!("{name}-");
        let arrivals = self.site.services[leaving].arrivals.requests();
        let late = arrivals.into_iter().map(|arrival| arrival.request);
        let late: Vec<String> = late.filter(|id| id.starts_with(&prefix)).collect();
        record.record_broken("hosts in touch send nothing to servers that left", &late);
        self.write_service_entry(leaving, "ready");
        sleep(RECOVERY_TIME).await;
        Ok(())
    }
}
