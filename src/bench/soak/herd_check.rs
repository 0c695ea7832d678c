//! Checks that first tries are served while most new connections go to one host, and hosts are killed, paused and cut off.

use super::host_contacts::HostContacts;
use super::host_shock::HostShock;
use super::partition_group::PartitionGroup;
use super::soak_caller::soak_call;
use super::soak_check::{CutTries, SoakRecord, SoakRoute, SoakViolation, check_reply};
use super::soak_cluster::SoakCluster;
use super::soak_options::SoakOptions;
use crate::Result;
use crate::bench::site::SiteConnection;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// Pauses between two new connections, before and while most of them go to one host.
const CALM_PAUSE: Duration = Duration::from_millis(24);
const HERD_PAUSE: Duration = Duration::from_millis(8);
/// How long new connections are spread evenly before each herd, and how long most of them go to one host.
const CALM_TIME: Duration = Duration::from_millis(3000);
const HERD_TIME: Duration = Duration::from_millis(7000);
/// Time from which on a herd counts.
const CONTACT_TIME: Duration = Duration::from_millis(3000);
/// Fraction of the new connections that go to the one host.
const HERD_FRACTION: f64 = 0.9;
/// A caller gives up an answer in which nothing arrives for this long: hosts that are paused answer nothing.
const ANSWER_GAP: Duration = Duration::from_millis(2000);
const HERD_SALT: u64 = 0x4e_7d;

/// One first try.
#[derive(Debug)]
struct HerdTry {
    sent_at: Instant,
    record: SoakRecord,
    violation: Option<SoakViolation>,
}

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
        let addresses: Vec<SocketAddr> = self.hosts.iter().map(|host| host.callers).collect();
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
                open_connections(&format!("{name}-calm"), &addresses, None, &mut random).await;
            // The host of the herd is not hit: Third(1) begins with the second host of each domain.
            let target = random.random_range(0..self.domains);
            self.begin_shock(shock, &contacts)?;
            let herd = open_connections(&name, &addresses, Some(target), &mut random).await;
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
            for herd_try in calm.into_iter().chain(herd) {
                records.push(herd_try.record);
                violations.extend(herd_try.violation);
            }
        }
        Ok(violations)
    }
}

/// Opens a connection for each request: evenly to all hosts, or most of them to the host `target`.
async fn open_connections(
    name: &str,
    hosts: &[SocketAddr],
    target: Option<usize>,
    random: &mut StdRng,
) -> Vec<HerdTry> {
    let (time, pause) =
        if target.is_some() { (HERD_TIME, HERD_PAUSE) } else { (CALM_TIME, CALM_PAUSE) };
    let deadline = Instant::now() + time;
    let mut tries = JoinSet::new();
    for index in 0.. {
        if Instant::now() >= deadline {
            break;
        }
        let drawn = random.random_range(0..hosts.len());
        let herded = target.filter(|_| random.random_bool(HERD_FRACTION));
        let host = hosts[herded.unwrap_or(drawn)];
        let route = SoakRoute::ALL[index % SoakRoute::ALL.len()];
        tries.spawn(try_once(host, route, format!("{name}-{index}")));
        sleep(pause).await;
    }
    let mut tries = tries.join_all().await;
    tries.sort_by_key(|herd_try| herd_try.sent_at);
    tries
}

async fn try_once(host: SocketAddr, route: SoakRoute, id: String) -> HerdTry {
    let sent_at = Instant::now();
    let reply = match timeout(ANSWER_GAP, SiteConnection::open(host)).await {
        Ok(Ok(mut connection)) => {
            connection.call_within(&soak_call(route, &id), ANSWER_GAP).await.ok()
        }
        Ok(Err(_)) | Err(_) => None,
    };
    let violation = reply.as_ref().and_then(|reply| check_reply(route, &id, reply));
    let whole = reply.filter(|reply| reply.complete || !reply.status.is_success());
    let status = whole.map(|reply| reply.status.as_u16());
    HerdTry { sent_at, record: SoakRecord { id, route, status }, violation }
}

/// Counts the tries that a host has read, as far as an answer shows that. Hosts that are killed, paused or cut off answer
/// nothing.
fn tally(tries: &[HerdTry], from: Option<Instant>) -> CutTries {
    let counted = tries.iter().filter(|herd_try| from.is_none_or(|from| herd_try.sent_at >= from));
    let mut tally = CutTries::default();
    for status in counted.filter_map(|herd_try| herd_try.record.status) {
        tally.add(CutTries { sent: 1, served: u64::from(status == 200) });
    }
    tally
}
