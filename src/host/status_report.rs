use super::host_state::{HostState, lock};
use crate::membership::MemberState;
use crate::peers::{PeerReply, PeerRequest};
use crate::telemetry::SpanRecord;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

const SPANS_LIMIT: Duration = Duration::from_millis(500);

/// A host as this host sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its incarnation.
    pub incarnation: String,
    /// Where its peers reach it.
    pub address: String,
    /// What is believed of it.
    pub state: MemberState,
    /// Whether it is in this host's failure domain.
    pub same_domain: bool,
}

/// A backend server whose book this host keeps.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Its name.
    pub name: String,
    /// Its role.
    pub role: String,
    /// Whether its book is rebuilt.
    pub ready: bool,
    /// Slots used or promised, for a decode server.
    pub slots_used: usize,
    /// Prefills that wait, for a prefill server.
    pub waiting: usize,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What a host tells operators of itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostStatus {
    /// Its name.
    pub host: String,
    /// Its failure domain.
    pub domain: String,
    /// This life of it.
    pub incarnation: String,
    /// Configuration version in force.
    pub config_version: u64,
    /// Whether it serves.
    pub ready: bool,
    /// Whether it drains.
    pub draining: bool,
    /// Requests in flight.
    pub in_flight: u64,
    /// Violated invariants since its start.
    pub invariant_violations: u64,
    /// The other hosts.
    pub members: Vec<MemberStatus>,
    /// The books it keeps.
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
                name: server.book.spec().name.clone(),
                role: server.book.spec().role.name().to_owned(),
                ready: server.book.is_ready(),
                slots_used: server.book.slots.used(),
                waiting: server.book.queue.waiting_count(),
                leaving: server.book.spec().leaving,
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

    /// Metrics in Prometheus text, with this moment's traffic counters.
    pub fn metrics_text(&self) -> String {
        let (bytes, calls) = self.peers.traffic();
        let mut text = self.metrics().prometheus_text();
        text.push_str(&format!("tealcleat_peer_bytes_total {bytes}\n"));
        text.push_str(&format!("tealcleat_peer_calls_total {calls}\n"));
        let reports = self.engines.report_bytes();
        text.push_str(&format!("tealcleat_report_bytes_total {reports}\n"));
        let foreign = self.engines.foreign_answers();
        text.push_str(&format!("tealcleat_answers_of_others_total {foreign}\n"));
        text
    }

    /// The spans of a trace from all living hosts.
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
                host.call_peer(peer, &PeerRequest::Spans(trace), SPANS_LIMIT).await
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
