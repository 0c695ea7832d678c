//! Exchanges observations of the health of backend servers with other hosts.

use super::gateway_host::GatewayHost;
use super::gateway_state::GatewayState;
use super::peer_messages::GatewayDatagram;
use crate::fleet::ServerEntry;
use crate::keys::{IncarnationId, NameKey, TimePoint};
use crate::membership::MemberState;
use crate::placement::ServerEvent;
use crate::shared_health::{HealthChange, HealthChangeKind, HealthReport, PoolStandings};
use std::sync::Arc;
use std::time::Duration;

/// How often this host checks for reports that could not be sent immediately: the shortest interval between two reports.
const TICK_PERIOD: Duration = Duration::from_millis(50);

/// Sends reports that are due later and drops what has expired.
pub(super) async fn run_health_reports(host: Arc<GatewayHost>) {
    let mut ticker = tokio::time::interval(TICK_PERIOD);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticker.tick().await;
        let now = host.now();
        let changes = {
            let mut state = host.state();
            let GatewayState { shared_health, fleet, .. } = &mut *state;
            shared_health.tick(now, fleet)
        };
        host.log_health_changes(&changes);
        host.send_health_report();
    }
}

impl GatewayHost {
    /// Records the outcome of a step of a call to a server, and sends a report to other hosts if one is due.
    pub(super) fn share_server_event(&self, server: &ServerEntry, event: ServerEvent) {
        if !self.settings.features.shared_health {
            return;
        }
        let now = self.now();
        let changes = {
            let mut state = self.state();
            // The quarantine holds back requests that crash servers, and the crash says nothing about the server.
            let is_failure = matches!(event, ServerEvent::BrokeOff | ServerEvent::Unresponsive);
            let is_quarantined = is_failure
                && (state.crashes.was_crashed_by_request(server.key())
                    || state.part_crashes.was_crashed_by_part(server.key()));
            if is_quarantined || state.fleet.has_restarted(server) {
                return;
            }
            let GatewayState { shared_health, fleet, .. } = &mut *state;
            shared_health.record_own(now, server, event, fleet)
        };
        self.log_health_changes(&changes);
        self.send_health_report();
    }

    /// Handles a report of another host.
    pub(super) fn receive_health_report(&self, report: &HealthReport) {
        if !self.settings.features.shared_health {
            return;
        }
        let now = self.now();
        let changes = {
            let mut state = self.state();
            let sender = state.members.record(report.from).map(|record| record.update);
            // The failure domain of an unknown host is not known, and reports of a host declared dead do not count.
            let Some(sender) = sender.filter(|sender| sender.state != MemberState::Dead) else {
                drop(state);
                self.metrics().add("health_from_strangers", 1);
                return;
            };
            let GatewayState { shared_health, fleet, .. } = &mut *state;
            shared_health.apply(now, sender.domain, report, fleet)
        };
        self.log_health_changes(&changes);
    }

    /// Standings of the servers of one pool according to the reports of all hosts.
    pub(super) fn server_standings<'a>(
        &self,
        now: TimePoint,
        state: &GatewayState,
        pool: impl Iterator<Item = &'a ServerEntry>,
        is_usable: impl Fn(&ServerEntry) -> bool,
    ) -> PoolStandings {
        if !self.settings.features.shared_health {
            return PoolStandings::default();
        }
        let hosts = |domain: NameKey| -> Vec<IncarnationId> {
            state.members.living_in(domain).map(|(_, member)| member.incarnation).collect()
        };
        state.shared_health.standings(now, pool, is_usable, hosts)
    }

    fn send_health_report(&self) {
        let now = self.now();
        let mut targets = Vec::new();
        let report = {
            let mut state = self.state();
            let GatewayState { shared_health, fleet, .. } = &mut *state;
            let Some(report) = shared_health.due_report(now, fleet) else {
                return;
            };
            let records = state.members.records().map(|record| record.update);
            targets.extend(records.filter(|update| update.state != MemberState::Dead));
            report
        };
        let local = GatewayDatagram::Health(report.local);
        let remote = report.remote.map(GatewayDatagram::Health);
        for target in targets {
            let datagram =
                if target.domain == self.domain() { Some(&local) } else { remote.as_ref() };
            if let Some(datagram) = datagram {
                self.send(target.address, datagram);
            }
        }
    }

    fn log_health_changes(&self, changes: &[HealthChange]) {
        for HealthChange { server, kind } in changes {
            let id = self.state().fleet.entry(*server).map(|entry| entry.id.clone());
            let (id, life) = (id.unwrap_or_default(), server.0);
            let (event, metric) = kind.names();
            self.metrics().add(metric, 1);
            match kind {
                HealthChangeKind::Excluded { reporters, pause, is_own_domain_only } => log::warn!(
                    "event={event} server={id} life={life:016x} reporters={reporters} \
                     pause_ms={} own_domain_only={is_own_domain_only}",
                    pause.as_millis()
                ),
                HealthChangeKind::TrialFailed { pause } => log::info!(
                    "event={event} server={id} life={life:016x} pause_ms={}",
                    pause.as_millis()
                ),
                HealthChangeKind::TrialSent
                | HealthChangeKind::Readmitted
                | HealthChangeKind::Withdrawn
                | HealthChangeKind::Lapsed => {
                    log::info!("event={event} server={id} life={life:016x}");
                }
            }
        }
    }
}
