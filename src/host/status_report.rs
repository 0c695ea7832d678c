use super::host_state::{HostState, lock};
use crate::membership::MemberState;
use crate::peers::{PeerReply, PeerRequest};
use crate::telemetry::SpanRecord;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

const SPANS_TIMEOUT: Duration = Duration::from_millis(500);

/// Status of another host, as this host sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Incarnation of the host.
    pub incarnation: String,
    /// Address on which its peers reach it.
    pub address: String,
    /// State of the host in this host's member table.
    pub state: MemberState,
    /// Whether it is in the same failure domain as this host.
    pub same_domain: bool,
}

/// Status of a backend server that this host owns.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Name of the server.
    pub name: String,
    /// Role of the server.
    pub role: String,
    /// Whether its ledger is ready, not still being rebuilt.
    pub ready: bool,
    /// Slots in use or held, on a decode server.
    pub slots_used: usize,
    /// Queued prefills, on a prefill server.
    pub waiting: usize,
    /// Whether it is draining in order to leave.
    pub leaving: bool,
}

/// Status of a host, as shown to operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostStatus {
    /// Name of the host.
    pub host: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Current incarnation of the host.
    pub incarnation: String,
    /// Configuration version in force.
    pub config_version: u64,
    /// Whether it serves requests.
    pub ready: bool,
    /// Whether it is draining.
    pub draining: bool,
    /// Requests in flight.
    pub in_flight: u64,
    /// Number of invariant violations since it started.
    pub invariant_violations: u64,
    /// Status of the other hosts.
    pub members: Vec<MemberStatus>,
    /// Status of the servers that it owns.
    pub servers: Vec<ServerStatus>,
}

impl HostState {
    /// This host's status.
    pub fn status(&self) -> HostStatus {
        let members = lock(&self.members)
            .records()
            .map(|record| MemberStatus {
                incarnation: record.update.incarnation.to_string(),
                address: record.update.address.to_string(),
                state: record.update.state,
                same_domain: record.update.domain == self.domain(),
            })
            .collect();
        let mut servers: Vec<ServerStatus> = lock(&self.owned)
            .values()
            .map(|server| ServerStatus {
                name: server.ledger.spec().name.clone(),
                role: server.ledger.spec().role.name().to_owned(),
                ready: server.ledger.is_ready(),
                slots_used: server.ledger.slots.used(),
                waiting: server.ledger.queue.waiting_count(),
                leaving: server.ledger.spec().leaving,
            })
            .collect();
        servers.sort_by(|left, right| left.name.cmp(&right.name));
        HostStatus {
            host: self.settings.host.clone(),
            domain: self.settings.domain.clone(),
            incarnation: self.incarnation.to_string(),
            config_version: self.config().version,
            ready: self.is_ready(),
            draining: self.is_draining(),
            in_flight: self.in_flight.load(Ordering::Relaxed),
            invariant_violations: crate::invariant::violations(),
            members,
            servers,
        }
    }

    /// Metrics in Prometheus text format, with the current traffic counters.
    pub fn metrics_text(&self) -> String {
        let (bytes, calls) = self.peers.traffic();
        let mut text = self.metrics().prometheus_text();
        text.push_str(&self.callers.prometheus_text());
        text.push_str(&self.unproven.prometheus_text());
        text.push_str(&format!("tealcleat_peer_bytes_total {bytes}\n"));
        text.push_str(&format!("tealcleat_peer_calls_total {calls}\n"));
        let reports = self.engines.report_bytes();
        text.push_str(&format!("tealcleat_report_bytes_total {reports}\n"));
        let foreign = self.engines.foreign_answers();
        text.push_str(&format!("tealcleat_answers_of_others_total {foreign}\n"));
        text
    }

    /// Collects the spans of a trace from all living hosts.
    pub async fn gather_spans(self: &Arc<Self>, trace: u128) -> Vec<SpanRecord> {
        let mut spans = lock(&self.traces).spans_of(trace);
        let peers: Vec<_> = lock(&self.members)
            .records()
            .map(|record| record.update)
            .filter(|update| update.state != MemberState::Dead)
            .collect();
        let mut calls = tokio::task::JoinSet::new();
        for peer in peers {
            let host = Arc::clone(self);
            calls.spawn(async move {
                host.call_peer(peer, &PeerRequest::Spans(trace), SPANS_TIMEOUT).await
            });
        }
        while let Some(joined) = calls.join_next().await {
            if let Ok(Ok(PeerReply::Spans(more))) = joined {
                spans.extend(more);
            }
        }
        spans.sort_by_key(|span| span.start_micros);
        spans
    }
}
