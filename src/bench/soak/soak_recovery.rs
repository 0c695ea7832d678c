//! The checks that a soak test performs after all faults have ended.

use super::soak_caller::{CRASH_REQUESTS, crash_call, soak_call};
use super::soak_check::{SoakRecord, SoakRoute, SoakViolation, check_reply};
use super::soak_cluster::SoakCluster;
use crate::bench::site::{SiteConnection, call_site};
use crate::quarantine::CRASHES_TO_HOLD;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Ends a check that hangs. No guarantee depends on this value.
const CHECK_TIMEOUT: Duration = Duration::from_secs(60);
/// Time within which all hosts learn of the third crash under a request.
const CRASH_PROPAGATION_BOUND: Duration = Duration::from_millis(3000);
/// Number of further runs of such a request that are allowed after that time.
const MAX_FURTHER_RUNS: usize = 3;
/// Time within which hosts learn of a restarted server.
const RESTART_BOUND: Duration = Duration::from_millis(500);
/// How often such a request is sent to each host again.
const REPEATS_PER_HOST: usize = 3;
/// Time after which a draining server receives no new work, in the absence of faults.
const DRAIN_BOUND: Duration = Duration::from_millis(2000);

impl SoakCluster {
    /// Checks that without faults every route is served, draining servers receive no requests, a planned stop
    /// interrupts no answer, and all holds and prefill results are released.
    pub async fn check_recovery(&mut self, seed: u64) -> (Vec<SoakViolation>, Vec<SoakRecord>) {
        let mut violations = Vec::new();
        let mut records = Vec::new();
        for route in SoakRoute::ALL {
            let is_served = self.is_served(seed, route, &mut records).await;
            if !is_served {
                let detail = route.name().to_owned();
                violations
                    .push(SoakViolation { guarantee: "all is served after the faults", detail });
            }
        }
        violations.extend(self.check_crashing(seed, &mut records).await);
        violations.extend(self.check_drain(seed, &mut records).await);
        violations.extend(self.check_stop(seed, &mut records).await);
        if !self.all_released().await {
            let detail = "holds or results of prefills".to_owned();
            violations.push(SoakViolation { guarantee: "nothing stays held", detail });
        }
        (violations, records)
    }

    /// Sends requests on a route until one of them receives a complete and correct answer. Returns false on timeout.
    async fn is_served(&self, seed: u64, route: SoakRoute, records: &mut Vec<SoakRecord>) -> bool {
        let deadline = tokio::time::Instant::now() + CHECK_TIMEOUT;
        let mut serial = 0;
        while tokio::time::Instant::now() < deadline {
            serial += 1;
            let id = format!("s{seed}-calm-{}-{serial}", route.name());
            let host = self.hosts[serial % self.hosts.len()].callers;
            let reply = call_site(host, &soak_call(route, &id)).await;
            let status = reply.as_ref().ok().map(|reply| reply.status.as_u16());
            records.push(SoakRecord::answered(id.clone(), route, status));
            let is_complete = reply.is_ok_and(|reply| {
                reply.complete
                    && reply.status.is_success()
                    && check_reply(route, &id, &reply).is_none()
            });
            if is_complete {
                return true;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        false
    }

    /// Checks that requests under which three servers crashed are not forwarded to servers any more, regardless of the
    /// faults that hosts went through.
    async fn check_crashing(
        &mut self,
        seed: u64,
        records: &mut Vec<SoakRecord>,
    ) -> Vec<SoakViolation> {
        let crashes = self.site.crashes();
        let held: Vec<(usize, usize)> = (0..CRASH_REQUESTS.len())
            .filter(|request| {
                let name = CRASH_REQUESTS[*request].1;
                crashes.iter().filter(|id| id.contains(name)).count() >= CRASHES_TO_HOLD
            })
            .map(|request| (request, self.count_runs(CRASH_REQUESTS[request].1)))
            .collect();
        if held.is_empty() {
            return Vec::new();
        }
        tokio::time::sleep(CRASH_PROPAGATION_BOUND).await;
        let mut serial = 0;
        for (request, _) in &held {
            for index in 0..REPEATS_PER_HOST * self.hosts.len() {
                let host = self.hosts[index % self.hosts.len()].callers;
                self.restart_for_probe().await;
                serial += 1;
                let id = format!("s{seed}-return-{serial}-{}", CRASH_REQUESTS[*request].1);
                let reply = call_site(host, &crash_call(*request, &id)).await;
                let status = reply.ok().map(|reply| reply.status.as_u16());
                records.push(SoakRecord::answered(id, CRASH_REQUESTS[*request].0, status));
            }
        }
        let further_runs = held.into_iter().map(|(request, before)| {
            let name = CRASH_REQUESTS[request].1;
            (name, self.count_runs(name) - before)
        });
        further_runs
            .filter(|(_, runs)| *runs > MAX_FURTHER_RUNS)
            .map(|(name, runs)| SoakViolation {
                guarantee: "a request that crashes servers is not sent on",
                detail: format!("{name}: {runs} more runs"),
            })
            .collect()
    }

    /// Restarts crashed servers, so that hosts have servers to send requests to, and waits until hosts know of it.
    async fn restart_for_probe(&mut self) {
        // A failed restart is ignored: without servers, hosts forward nothing, which violates no guarantee.
        let none_crashed = self.restart_crashed().await.is_ok_and(|count| count == 0);
        if !none_crashed {
            tokio::time::sleep(RESTART_BOUND).await;
        }
    }

    /// Counts the runs of requests whose ids contain `name`.
    fn count_runs(&self, name: &str) -> usize {
        let decodes = self.site.decodes.iter().flat_map(|engine| engine.runs());
        let decoded = decodes.map(|run| run.request);
        let all = decoded.chain(self.site.services.iter().flat_map(|service| service.runs()));
        all.filter(|id| id.contains(name)).count()
    }

    /// Checks that hosts hold back only requests that crash servers, and not requests that were merely in flight at a
    /// crash.
    pub fn check_bystanders(&self) -> crate::Result<Vec<SoakViolation>> {
        let mut violations = Vec::new();
        for host in &self.hosts {
            let log = host.log()?;
            let refused = log.lines().filter(|line| line.contains("event=request_held_back"));
            let is_crashing = |line: &str| line.contains("-crash-") || line.contains("-bad-part");
            let bystanders = refused.filter(|line| !is_crashing(line));
            violations.extend(bystanders.map(|line| SoakViolation {
                guarantee: "only requests that crash servers are refused for it",
                detail: line.to_owned(),
            }));
        }
        Ok(violations)
    }

    /// Checks that a draining server receives no new work.
    async fn check_drain(&self, seed: u64, records: &mut Vec<SoakRecord>) -> Option<SoakViolation> {
        self.write_service_entry(0, "draining");
        tokio::time::sleep(DRAIN_BOUND).await;
        let before = self.site.services[0].runs().len();
        for (index, host) in self.hosts.iter().enumerate() {
            let id = format!("s{seed}-drain-{index}");
            let route = SoakRoute::Once;
            let reply = call_site(host.callers, &soak_call(route, &id)).await;
            let status = reply.ok().map(|reply| reply.status.as_u16());
            records.push(SoakRecord::answered(id, route, status));
        }
        let after = self.site.services[0].runs().len();
        self.write_service_entry(0, "ready");
        let guarantee = "a draining server gets no new work";
        (after > before)
            .then(|| SoakViolation { guarantee, detail: format!("{} runs", after - before) })
    }

    /// Checks that a planned stop interrupts no answer. A caller keeps using one connection until the stopping daemon
    /// closes it, and each request that the daemon has read must be answered.
    async fn check_stop(
        &mut self,
        seed: u64,
        records: &mut Vec<SoakRecord>,
    ) -> Option<SoakViolation> {
        let host = &mut self.hosts[0];
        let mut connection = SiteConnection::open(host.callers).await.ok()?;
        host.signal("-TERM").ok()?;
        let mut serial = 0;
        while connection.is_open() {
            serial += 1;
            let id = format!("s{seed}-stop-{serial}");
            let route = SoakRoute::Stream;
            let reply = connection.call(&soak_call(route, &id)).await;
            let status = reply.as_ref().ok().map(|reply| reply.status.as_u16());
            records.push(SoakRecord::answered(id.clone(), route, status));
            match reply {
                Ok(reply) if !reply.complete => {
                    let guarantee = "a planned stop cuts nothing";
                    return Some(SoakViolation { guarantee, detail: id });
                }
                // The daemon has not read a request that was sent while it closed the connection.
                Err(_) => break,
                Ok(_) => {}
            }
        }
        None
    }

    /// Waits until no hold and no prefill result is held. Returns false on timeout.
    async fn all_released(&self) -> bool {
        let deadline = tokio::time::Instant::now() + CHECK_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            let holds: usize = self.site.decodes.iter().map(|engine| engine.open_holds()).sum();
            let handles: usize = self.site.prefills.iter().map(|e| e.open_handles()).sum();
            if holds + handles == 0 {
                return true;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        false
    }
}
