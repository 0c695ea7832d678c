//! Applies the reports of other hosts.

use super::host_failure::HostFailure;
use super::service_majority::majority_services;
use super::suspect_server::{REPORT_TTL, SuspectServer};
use super::{HealthChange, HealthReport, MAX_ENTRIES, ServerObservation, SharedHealth};
use crate::fleet::FleetView;
use crate::keys::{IncarnationId, NameKey, ServerKey, TimePoint};
use crate::routes::ServiceKey;
use std::collections::HashSet;
use std::time::Duration;

impl SharedHealth {
    /// Applies the report of another host of the failure domain `domain`.
    pub fn apply(
        &mut self,
        now: TimePoint,
        domain: NameKey,
        report: &HealthReport,
        fleet: &FleetView,
    ) -> Vec<HealthChange> {
        self.detect_pause(now);
        let reporter = report.from;
        if now < self.suspended_until || reporter == self.own {
            return Vec::new();
        }
        // A copy or a late report: the newer one was complete.
        let known = self.versions.get(&reporter);
        if known.is_some_and(|(version, _)| report.version <= *version) {
            return Vec::new();
        }
        self.versions.insert(reporter, (report.version, now));
        let failed: HashSet<ServerKey> = report
            .entries
            .iter()
            .filter(|entry| entry.observation.is_failure())
            .map(|entry| entry.server)
            .collect();
        let at_fault = majority_services(&failed, fleet);
        let mut changes = Vec::new();
        let mut counted = HashSet::new();
        for entry in &report.entries {
            let Some(server) = fleet.entry(entry.server) else { continue };
            if domain != self.domain && domain != server.domain {
                continue;
            }
            let key = entry.server;
            let at = now - Duration::from_millis(entry.age_ms.into());
            let kind = match entry.observation {
                ServerObservation::Served => self
                    .suspects
                    .get_mut(&key)
                    .and_then(|known| known.record_served(now, at, domain != self.domain)),
                ServerObservation::BrokeOff | ServerObservation::Unresponsive => {
                    let is_old = now.since(at) >= REPORT_TTL;
                    if is_old || !fleet.is_ready(key) || at_fault.contains(&server.service) {
                        continue;
                    }
                    counted.insert(key);
                    let suspect = || SuspectServer::new(server.domain);
                    let known = self.suspects.entry(key).or_insert_with(suspect);
                    known.record_failure(now, reporter, HostFailure { domain, at })
                }
            };
            changes.extend(kind.map(|kind| HealthChange { server: key, kind }));
        }
        // A full report may have left out older failures, which is no withdrawal.
        let is_complete = report.entries.len() < MAX_ENTRIES;
        for (key, known) in &mut self.suspects {
            if (is_complete || failed.contains(key)) && !counted.contains(key) {
                let kind = known.withdraw(now, reporter);
                changes.extend(kind.map(|kind| HealthChange { server: *key, kind }));
            }
        }
        changes
    }

    /// Withdraws what a host reported of the servers of a service.
    pub(super) fn withdraw_service(
        &mut self,
        now: TimePoint,
        reporter: IncarnationId,
        service: ServiceKey,
        fleet: &FleetView,
    ) -> Vec<HealthChange> {
        let mut changes = Vec::new();
        for (key, known) in &mut self.suspects {
            if fleet.entry(*key).is_some_and(|entry| entry.service == service) {
                let kind = known.withdraw(now, reporter);
                changes.extend(kind.map(|kind| HealthChange { server: *key, kind }));
            }
        }
        changes
    }
}
