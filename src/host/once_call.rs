//! Calls that must run at most once, identified by a claimed key or by a ticket.

use super::host_state::{HostState, lock};
use super::in_flight_guard::InFlightGuard;
use super::once_request::{OnceOutcome, OnceRequest};
use super::service_call::call_service;
use super::ticket_call::run_by_ticket;
use crate::claims::{ClaimKey, ClaimRecord, ClaimRequest, ClaimVerdict, KeyStatus, StoredAnswer};
use crate::engines::SingleCall;
use crate::keys::AttemptId;
use crate::peers::{PeerReply, PeerRequest};
use crate::{Error, Result};
use bytes::Bytes;
use http_body_util::Full;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const PRESENT_TIMEOUT: Duration = Duration::from_millis(500);
pub(super) const RUN_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a call at most once. A started call runs to its end even if the caller leaves; its answer
/// is then kept for the first retry.
pub async fn run_once(host: Arc<HostState>, request: OnceRequest) -> OnceOutcome {
    let _in_flight = InFlightGuard::begin(&host);
    let started_at = host.now();
    let trace = request.trace;
    let outcome = match request.ticket {
        Some(ticket) => run_by_ticket(&host, request, ticket).await,
        None => run_by_key(&host, request).await,
    };
    host.record_span(trace, "once_call", started_at, format!("answer={}", outcome.name()));
    host.metrics().add(outcome.counter(), 1);
    outcome
}

async fn run_by_key(host: &Arc<HostState>, request: OnceRequest) -> OnceOutcome {
    let (key, body_hash) = (request.claim_key(), request.body_hash());
    let attempt = host.new_attempt();
    {
        let mut outcomes = lock(&host.outcomes);
        match outcomes.present(key, body_hash) {
            KeyStatus::NeverSeen => outcomes.begin(host.now(), key, attempt, body_hash),
            known => return OnceOutcome::from(known),
        }
    }
    let now = HostState::now_seconds();
    let record = ClaimRecord { key, attempt, body: body_hash, at_seconds: now };
    let task_host = Arc::clone(host);
    // In a separate task, so that a caller who leaves cannot interrupt it between claim and
    // outcome.
    let task = tokio::spawn(async move {
        let verdict = task_host.claim(ClaimRequest::Take(record)).await;
        match verdict {
            ClaimVerdict::Granted => {
                execute(&task_host, &request, key, attempt).await;
                None
            }
            ClaimVerdict::Unsettled => {
                lock(&task_host.outcomes).abandon(key, attempt);
                Some(OnceOutcome::Unknown("store_away"))
            }
            ClaimVerdict::Taken(existing) => {
                lock(&task_host.outcomes).abandon(key, attempt);
                Some(query_claimant(&task_host, existing, body_hash).await)
            }
        }
    });
    match task.await {
        // It ran here: its outcome is in the table, and this connection may be the first to take
        // it.
        Ok(None) => {
            OnceOutcome::from(lock(&host.outcomes).present_claimed(key, attempt, body_hash))
        }
        Ok(Some(answer)) => answer,
        Err(_) => OnceOutcome::Unknown("internal"),
    }
}

/// Asks the host whose attempt holds the claim, since only that host knows the request's outcome.
async fn query_claimant(
    host: &Arc<HostState>,
    existing: ClaimRecord,
    body_hash: u64,
) -> OnceOutcome {
    if existing.body != body_hash {
        return OnceOutcome::OtherBody;
    }
    let (key, attempt) = (existing.key, existing.attempt);
    if attempt.owner == host.incarnation {
        let status = lock(&host.outcomes).present_claimed(key, attempt, body_hash);
        return OnceOutcome::from(status);
    }
    let Some(claimant) = lock(&host.members).record(attempt.owner).map(|record| record.update)
    else {
        return OnceOutcome::Unknown("claimant_gone");
    };
    let request = PeerRequest::Present(key, attempt, body_hash);
    match host.call_peer(claimant, &request, PRESENT_TIMEOUT).await {
        Ok(PeerReply::KeyStatus(status)) => OnceOutcome::from(status),
        _ => OnceOutcome::Unknown("claimant_gone"),
    }
}

/// Sends the request to the service and records its outcome. Only the attempt that was granted the
/// claim may call this.
pub(super) async fn execute(
    host: &Arc<HostState>,
    request: &OnceRequest,
    key: ClaimKey,
    attempt: AttemptId,
) {
    let _in_flight = InFlightGuard::begin(host);
    let may_run = lock(&host.outcomes).may_run(key, attempt);
    crate::invariant!(may_run, "ran_without_claim", "{attempt} runs without being allowed to");
    if !may_run {
        return;
    }
    let started_at = host.now();
    let start = attempt.serial as usize;
    let count = request.service.addresses.len();
    for offset in 0..count {
        let address = request.service.addresses[(start + offset) % count];
        // A new connection: if it cannot be opened, nothing was sent and the next server may be
        // tried.
        let Ok(call) = SingleCall::connect(address, host.answer_bytes()).await else {
            continue;
        };
        let sent = tokio::time::timeout(RUN_TIMEOUT, send(call, address, request, attempt)).await;
        host.record_span(
            request.trace,
            "service",
            started_at,
            format!("attempt={attempt} server={address}"),
        );
        let mut outcomes = lock(&host.outcomes);
        match sent.map_err(|_elapsed| Error::Timeout).and_then(|answer| answer) {
            Ok(answer) => outcomes.record_answer(key, attempt, answer),
            Err(error) => {
                log::info!("event=once_call_unknown attempt={attempt} cause=\"{error}\"");
                outcomes.record_unknown(key, attempt);
            }
        }
        return;
    }
    lock(&host.outcomes).abandon(key, attempt);
    if request.ticket.is_none() {
        host.release_claim(key, attempt);
    }
}

async fn send(
    call: SingleCall,
    address: SocketAddr,
    request: &OnceRequest,
    attempt: AttemptId,
) -> Result<StoredAnswer> {
    let http_request = http::Request::post(&request.path)
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .header("tealcleat-attempt", attempt.to_string())
        .header("idempotency-key", request.key.clone().unwrap_or_default())
        .header("traceparent", request.trace.to_string())
        .body(Full::new(Bytes::from(request.body.clone())))
        .map_err(|error| Error::Protocol(error.to_string()))?;
    call_service(call, http_request).await
}

impl HostState {
    /// Releases the claim of an attempt that never ran, so that a retry may run.
    pub(super) fn release_claim(self: &Arc<Self>, key: ClaimKey, attempt: AttemptId) {
        let host = Arc::clone(self);
        tokio::spawn(async move { host.claim(ClaimRequest::Release(key, attempt)).await });
    }

    /// Status for a retry that found an attempt of this incarnation to hold the claim.
    pub(super) fn present_claimed(
        self: &Arc<Self>,
        key: ClaimKey,
        attempt: AttemptId,
        body_hash: u64,
    ) -> KeyStatus {
        let status = lock(&self.outcomes).present_claimed(key, attempt, body_hash);
        if status == KeyStatus::NotRun {
            self.release_claim(key, attempt);
        }
        status
    }
}
