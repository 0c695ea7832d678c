//! Probes hosts to find out which configuration and server states are in effect there.

use super::soak_check::{SoakRecord, SoakRoute, SoakViolation};
use super::soak_cluster::SoakCluster;
use super::soak_config::{dropped_marker, marker_path};
use crate::bench::site::{SiteCall, call_site};
use http::StatusCode;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// How long a probe is retried at a host that refuses it temporarily, before the host counts as not showing its
/// configuration.
const PROBE_TIMEOUT: Duration = Duration::from_millis(2500);
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of requests to each host that could reach the draining server.
const DRAIN_CALLS: usize = 4;
/// Part of the ids of requests that the draining server must not receive.
const DRAINING_TAG: &str = "leaving";

/// What a probe expects of each host.
#[derive(Debug, Clone)]
pub(super) struct PropagationProbe {
    /// Prefix of the ids of requests that belong to this probe.
    pub name: String,
    /// The newest confirmed version of the configuration.
    pub version: u64,
    /// Index of the draining server of the plain service.
    pub draining: usize,
}

/// The result of probing one host.
#[derive(Debug, Default)]
struct ProbeResult {
    violations: Vec<SoakViolation>,
    records: Vec<SoakRecord>,
}

impl SoakCluster {
    /// Probes the hosts at these indices concurrently. The confirmed configuration must be in effect at each of them,
    /// and each must answer the probe.
    pub async fn probe_hosts(
        &self,
        probe: &PropagationProbe,
        indices: &[usize],
        records: &mut Vec<SoakRecord>,
    ) -> Vec<SoakViolation> {
        let before = self.draining_runs(probe);
        let mut probes = JoinSet::new();
        for index in indices {
            probes.spawn(probe_host(probe.clone(), *index, self.hosts[*index].callers));
        }
        let mut violations = Vec::new();
        for result in probes.join_all().await {
            violations.extend(result.violations);
            records.extend(result.records);
        }
        let after = self.draining_runs(probe);
        if after > before {
            let detail = format!("{}: {} runs", probe.name, after - before);
            violations
                .push(SoakViolation { guarantee: "a draining server gets no new work", detail });
        }
        violations
    }

    /// Returns how many requests of this probe ran on the draining server. They were sent when every probed host
    /// should have known that it drains.
    fn draining_runs(&self, probe: &PropagationProbe) -> usize {
        let prefix = format!("{}-{DRAINING_TAG}-", probe.name);
        self.site.services[probe.draining]
            .runs()
            .iter()
            .filter(|id| id.starts_with(&prefix))
            .count()
    }
}

async fn probe_host(probe: PropagationProbe, index: usize, host: SocketAddr) -> ProbeResult {
    let mut result = ProbeResult::default();
    let dropped = dropped_marker(probe.version);
    result.probe_marker(&probe, index, host, probe.version, true).await;
    result.probe_marker(&probe, index, host, dropped, false).await;
    for serial in 0..DRAIN_CALLS {
        let id = format!("{}-{DRAINING_TAG}-{index}-{serial}", probe.name);
        result.send("/safe/", id, host).await;
    }
    result
}

impl ProbeResult {
    /// Sends requests to the marker route of a version until an answer shows whether the route is in effect.
    async fn probe_marker(
        &mut self,
        probe: &PropagationProbe,
        index: usize,
        host: SocketAddr,
        version: u64,
        is_expected: bool,
    ) {
        let path = marker_path(version);
        let deadline = Instant::now() + PROBE_TIMEOUT;
        let mut serial = 0;
        let (guarantee, status) = loop {
            serial += 1;
            let id = format!("{}-force-{index}-{is_expected}-{serial}", probe.name);
            let status = self.send(&path, id, host).await;
            let conclusive = status.filter(|status| *status == 404 || is_success(*status));
            match conclusive.map(|status| status != 404) {
                Some(is_found) if is_found == is_expected => return,
                Some(_) => break ("what was confirmed is in force at each host", status),
                None if Instant::now() >= deadline => {
                    break ("each host shows that what was confirmed is in force", status);
                }
                None => sleep(PROBE_INTERVAL).await,
            }
        };
        let detail = format!("{}, host-{index}: {path} was answered {status:?}", probe.name);
        self.violations.push(SoakViolation { guarantee, detail });
    }

    /// Sends one request and records its status.
    async fn send(&mut self, path: &str, id: String, host: SocketAddr) -> Option<u16> {
        let call = SiteCall {
            method: "GET",
            path: format!("{path}x"),
            id: id.clone(),
            headers: vec![("x-deadline-ms", "5000".to_owned())],
            body: "",
        };
        let reply = call_site(host, &call).await;
        let status = reply.ok().map(|reply| reply.status.as_u16());
        self.records.push(SoakRecord::answered(id, SoakRoute::Safe, status));
        status
    }
}

fn is_success(status: u16) -> bool {
    StatusCode::from_u16(status).is_ok_and(|status| status.is_success())
}
