//! Calls that must run at most once: by a claimed key, or by a ticket.

use super::host_state::{HostState, lock};
use super::in_flight::InFlight;
use super::once_ask::{OnceAnswer, OnceAsk};
use super::service_call::call_service;
use super::ticket_call::run_by_ticket;
use crate::claims::{ClaimKey, ClaimRecord, ClaimRequest, ClaimVerdict, KeyStatus, StoredAnswer};
use crate::engines::HttpPool;
use crate::keys::AttemptId;
use crate::peers::{PeerReply, PeerRequest};
use crate::{Error, Result};
use bytes::Bytes;
use http_body_util::Full;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const PRESENT_LIMIT: Duration = Duration::from_millis(500);
pub(super) const RUN_LIMIT: Duration = Duration::from_secs(30);

/// Runs a call at most once. Once begun it is run to its end, even if the caller leaves; its
/// answer is then kept for the first repeat.
pub async fn run_once(host: Arc<HostState>, ask: OnceAsk) -> OnceAnswer {
    let _flight = InFlight::begin(&host);
    let began = host.now();
    let trace = ask.trace;
    let answer = match ask.ticket {
        Some(ticket) => run_by_ticket(&host, ask, ticket).await,
        None => run_by_key(&host, ask).await,
    };
    host.note_span(trace, "once_call", began, format!("answer={}", answer.name()));
    host.metrics().add(answer.counter(), 1);
    answer
}

async fn run_by_key(host: &Arc<HostState>, ask: OnceAsk) -> OnceAnswer {
    let (key, body) = (ask.claim_key(), ask.body_hash());
    let attempt = host.new_attempt();
    {
        let mut book = lock(&host.outcomes);
        match book.present(key, body) {
            KeyStatus::NeverSeen => book.begin(host.now(), key, attempt, body),
            known => return OnceAnswer::from(known),
        }
    }
    let now = HostState::now_seconds();
    let record = ClaimRecord { key, attempt, body, at_seconds: now };
    let task_host = Arc::clone(host);
    // A task of its own: a caller who leaves must not cut a claim from its outcome.
    let task = tokio::spawn(async move {
        let verdict = task_host.claim(ClaimRequest::Take(record)).await;
        match verdict {
            ClaimVerdict::Granted => {
                execute(&task_host, &ask, key, attempt).await;
                None
            }
            ClaimVerdict::Unsettled => {
                lock(&task_host.outcomes).abandon(key, attempt);
                Some(OnceAnswer::Unknown("store_away"))
            }
            ClaimVerdict::Taken(standing) => {
                lock(&task_host.outcomes).abandon(key, attempt);
                Some(ask_claimant(&task_host, standing, body).await)
            }
        }
    });
    match task.await {
        // It ran here: the outcome is in the book, and this connection may be the one to take it.
        Ok(None) => OnceAnswer::from(lock(&host.outcomes).present_claimed(key, attempt, body)),
        Ok(Some(answer)) => answer,
        Err(_) => OnceAnswer::Unknown("internal"),
    }
}

/// Asks the host whose attempt holds the claim; only it can speak for the request.
async fn ask_claimant(host: &Arc<HostState>, standing: ClaimRecord, body: u64) -> OnceAnswer {
    if standing.body != body {
        return OnceAnswer::OtherBody;
    }
    let (key, attempt) = (standing.key, standing.attempt);
    if attempt.owner == host.incarnation {
        let presented = lock(&host.outcomes).present_claimed(key, attempt, body);
        return OnceAnswer::from(presented);
    }
    let Some(claimant) = lock(&host.members).record(attempt.owner).map(|record| record.update)
    else {
        return OnceAnswer::Unknown("claimant_gone");
    };
    let request = PeerRequest::Present(key, attempt, body);
    match host.call_peer(claimant, &request, PRESENT_LIMIT).await {
        Ok(PeerReply::KeyStatus(presented)) => OnceAnswer::from(presented),
        _ => OnceAnswer::Unknown("claimant_gone"),
    }
}

/// Sends the request to the service and settles its outcome in the book; only the attempt that
/// was granted ever comes here.
pub(super) async fn execute(
    host: &Arc<HostState>,
    ask: &OnceAsk,
    key: ClaimKey,
    attempt: AttemptId,
) {
    let _flight = InFlight::begin(host);
    let may_run = lock(&host.outcomes).may_run(key, attempt);
    crate::invariant!(may_run, "ran_without_claim", "{attempt} runs without being allowed to");
    if !may_run {
        return;
    }
    let began = host.now();
    let start = attempt.serial as usize;
    let count = ask.service.addresses.len();
    for turn in 0..count {
        let address = ask.service.addresses[(start + turn) % count];
        // A connection of its own: if it cannot be opened, certainly nothing was sent.
        let Ok(sender) = HttpPool::connect(address).await else {
            continue;
        };
        let sent = tokio::time::timeout(RUN_LIMIT, send(sender, address, ask, attempt)).await;
        host.note_span(ask.trace, "service", began, format!("attempt={attempt} server={address}"));
        let mut book = lock(&host.outcomes);
        match sent.map_err(|_elapsed| Error::Timeout).and_then(|answer| answer) {
            Ok(answer) => book.record_answer(key, attempt, answer),
            Err(error) => {
                log::info!("event=once_call_unknown attempt={attempt} cause=\"{error}\"");
                book.record_unknown(key, attempt);
            }
        }
        return;
    }
    lock(&host.outcomes).abandon(key, attempt);
    if ask.ticket.is_none() {
        host.give_back(key, attempt);
    }
}

async fn send(
    sender: hyper::client::conn::http1::SendRequest<Full<Bytes>>,
    address: SocketAddr,
    ask: &OnceAsk,
    attempt: AttemptId,
) -> Result<StoredAnswer> {
    let request = http::Request::post(&ask.path)
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .header("tealcleat-attempt", attempt.to_string())
        .header("idempotency-key", ask.key.clone().unwrap_or_default())
        .header("traceparent", ask.trace.to_string())
        .body(Full::new(Bytes::from(ask.body.clone())))
        .map_err(|error| Error::Protocol(error.to_string()))?;
    call_service(sender, request).await
}

impl HostState {
    /// Removes the claim of an attempt that never ran, so that a repeat may run.
    pub(super) fn give_back(self: &Arc<Self>, key: ClaimKey, attempt: AttemptId) {
        let host = Arc::clone(self);
        tokio::spawn(async move { host.claim(ClaimRequest::Release(key, attempt)).await });
    }

    /// What a repeat meets that found an attempt of this incarnation as the claimant.
    pub(super) fn present_claimed(
        self: &Arc<Self>,
        key: ClaimKey,
        attempt: AttemptId,
        body: u64,
    ) -> KeyStatus {
        let presented = lock(&self.outcomes).present_claimed(key, attempt, body);
        if presented == KeyStatus::NotRun {
            self.give_back(key, attempt);
        }
        presented
    }
}
