//! What a soak checks when all faults have ended.

use super::soak_caller::{CRASHING, crashing_call, soak_call};
use super::soak_check::{SoakRecord, SoakRoute, SoakViolation, check_reply};
use super::soak_run::SoakStage;
use crate::bench::site::{SiteConnection, call_site};
use crate::quarantine::CRASHES_TO_HOLD;
use std::time::Duration;

const LOOK: Duration = Duration::from_millis(20);
/// Ends a check that hangs; nothing is measured against it.
const PATIENCE: Duration = Duration::from_secs(60);
/// Hosts know of a third crash after this.
const NEWS_BOUND: Duration = Duration::from_millis(3000);
/// Runs of such a request that are allowed after that.
const MOST_SENDS: usize = 3;
/// Hosts know of a restarted server after this.
const RESTART_BOUND: Duration = Duration::from_millis(500);
/// How often it comes again, at each host.
const RETURNS: usize = 3;
/// Servers that drain get no new work after this, when all is calm.
const DRAIN_BOUND: Duration = Duration::from_millis(2000);

impl SoakStage {
    /// When all is calm, everything is served, drained servers get nothing, a planned stop cuts
    /// nothing, and nothing stays held.
    pub async fn check_calm(&mut self, seed: u64) -> (Vec<SoakViolation>, Vec<SoakRecord>) {
        let mut violations = Vec::new();
        let mut records = Vec::new();
        for route in SoakRoute::ALL {
            let served = self.served_in_the_end(seed, route, &mut records).await;
            if !served {
                let detail = route.name().to_owned();
                violations
                    .push(SoakViolation { guarantee: "all is served after the faults", detail });
            }
        }
        violations.extend(self.check_crashing(seed, &mut records).await);
        violations.extend(self.check_drain(seed, &mut records).await);
        violations.extend(self.check_stop(seed, &mut records).await);
        if !self.nothing_held().await {
            let detail = "holds or results of prefills".to_owned();
            violations.push(SoakViolation { guarantee: "nothing stays held", detail });
        }
        (violations, records)
    }

    async fn served_in_the_end(
        &self,
        seed: u64,
        route: SoakRoute,
        records: &mut Vec<SoakRecord>,
    ) -> bool {
        let ends = tokio::time::Instant::now() + PATIENCE;
        let mut serial = 0;
        while tokio::time::Instant::now() < ends {
            serial += 1;
            let id = format!("s{seed}-calm-{}-{serial}", route.name());
            let host = self.hosts[serial % self.hosts.len()].callers;
            let reply = call_site(host, &soak_call(route, &id)).await;
            let status = reply.as_ref().ok().map(|reply| reply.status.as_u16());
            records.push(SoakRecord { id: id.clone(), route, status });
            let whole = reply.is_ok_and(|reply| {
                reply.complete
                    && reply.status.is_success()
                    && check_reply(route, &id, &reply).is_none()
            });
            if whole {
                return true;
            }
            tokio::time::sleep(LOOK).await;
        }
        false
    }

    /// Requests under which three servers have crashed are not sent on, whatever has happened to hosts meanwhile.
    async fn check_crashing(
        &mut self,
        seed: u64,
        records: &mut Vec<SoakRecord>,
    ) -> Vec<SoakViolation> {
        let crashes = self.site.crashes();
        let known: Vec<(usize, usize)> = (0..CRASHING.len())
            .filter(|which| {
                let name = CRASHING[*which].1;
                crashes.iter().filter(|id| id.contains(name)).count() >= CRASHES_TO_HOLD
            })
            .map(|which| (which, self.runs_of(CRASHING[which].1)))
            .collect();
        if known.is_empty() {
            return Vec::new();
        }
        tokio::time::sleep(NEWS_BOUND).await;
        let mut serial = 0;
        for (which, _) in &known {
            for place in 0..RETURNS * self.hosts.len() {
                let host = self.hosts[place % self.hosts.len()].callers;
                self.bring_up().await;
                serial += 1;
                let id = format!("s{seed}-return-{serial}-{}", CRASHING[*which].1);
                let reply = call_site(host, &crashing_call(*which, &id)).await;
                let status = reply.ok().map(|reply| reply.status.as_u16());
                records.push(SoakRecord { id, route: CRASHING[*which].0, status });
            }
        }
        let late = known.into_iter().map(|(which, before)| {
            let name = CRASHING[which].1;
            (name, self.runs_of(name) - before)
        });
        late.filter(|(_, sends)| *sends > MOST_SENDS)
            .map(|(name, sends)| SoakViolation {
                guarantee: "a request that crashes servers is not sent on",
                detail: format!("{name}: {sends} more runs"),
            })
            .collect()
    }

    /// Starts crashed servers again, so that there are some to send to, and lets hosts hear of it.
    async fn bring_up(&mut self) {
        // Without them nothing is sent, which breaks no promise.
        let is_up = self.restart_crashed().await.is_ok_and(|count| count == 0);
        if !is_up {
            tokio::time::sleep(RESTART_BOUND).await;
        }
    }

    /// Runs of requests whose ids have `name`.
    fn runs_of(&self, name: &str) -> usize {
        let decodes = self.site.decodes.iter().flat_map(|engine| engine.runs());
        let decoded = decodes.map(|run| run.request);
        let all = decoded.chain(self.site.services.iter().flat_map(|service| service.runs()));
        all.filter(|id| id.contains(name)).count()
    }

    /// Requests that merely were there when servers crashed are not refused for it.
    pub fn check_innocents(&self) -> crate::Result<Vec<SoakViolation>> {
        let mut violations = Vec::new();
        for host in &self.hosts {
            let log = host.log()?;
            let refused = log.lines().filter(|line| line.contains("event=request_held_back"));
            let innocent = refused.filter(|line| !line.contains("-crash-"));
            violations.extend(innocent.map(|line| SoakViolation {
                guarantee: "only requests that crash servers are refused for it",
                detail: line.to_owned(),
            }));
        }
        Ok(violations)
    }

    async fn check_drain(&self, seed: u64, records: &mut Vec<SoakRecord>) -> Option<SoakViolation> {
        self.state_service(0, "draining");
        tokio::time::sleep(DRAIN_BOUND).await;
        let before = self.site.services[0].runs().len();
        for (place, host) in self.hosts.iter().enumerate() {
            let id = format!("s{seed}-drain-{place}");
            let route = SoakRoute::Once;
            let reply = call_site(host.callers, &soak_call(route, &id)).await;
            let status = reply.ok().map(|reply| reply.status.as_u16());
            records.push(SoakRecord { id, route, status });
        }
        let after = self.site.services[0].runs().len();
        self.state_service(0, "ready");
        let guarantee = "a draining server gets no new work";
        (after > before)
            .then(|| SoakViolation { guarantee, detail: format!("{} runs", after - before) })
    }

    /// A kept connection is used until the stopping daemon closes it: each request that was read
    /// is answered.
    async fn check_stop(
        &mut self,
        seed: u64,
        records: &mut Vec<SoakRecord>,
    ) -> Option<SoakViolation> {
        let host = &mut self.hosts[0];
        let mut open = SiteConnection::open(host.callers).await.ok()?;
        host.signal("-TERM").ok()?;
        let mut serial = 0;
        while open.is_open() {
            serial += 1;
            let id = format!("s{seed}-stop-{serial}");
            let route = SoakRoute::Stream;
            let reply = open.call(&soak_call(route, &id)).await;
            let status = reply.as_ref().ok().map(|reply| reply.status.as_u16());
            records.push(SoakRecord { id: id.clone(), route, status });
            match reply {
                Ok(reply) if !reply.complete => {
                    let guarantee = "a planned stop cuts nothing";
                    return Some(SoakViolation { guarantee, detail: id });
                }
                // A request that crosses the close was not read.
                Err(_) => break,
                Ok(_) => {}
            }
        }
        None
    }

    async fn nothing_held(&self) -> bool {
        let ends = tokio::time::Instant::now() + PATIENCE;
        while tokio::time::Instant::now() < ends {
            let holds: usize = self.site.decodes.iter().map(|engine| engine.open_holds()).sum();
            let handles: usize = self.site.prefills.iter().map(|e| e.open_handles()).sum();
            if holds + handles == 0 {
                return true;
            }
            tokio::time::sleep(LOOK).await;
        }
        false
    }
}
