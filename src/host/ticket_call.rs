//! Calls that run at most once, identified by a ticket that one incarnation of a host issued.

use super::host_state::{HostState, lock};
use super::once_call::{RUN_TIMEOUT, execute};
use super::once_request::{OnceOutcome, OnceRequest};
use crate::claims::{ClaimKey, KeyStatus, TicketId, TicketVerdict};
use crate::intents::ServiceSpec;
use crate::peers::{PeerReply, PeerRequest};
use crate::telemetry::TraceParent;
use std::sync::Arc;

/// Runs the call on the host that holds the ticket, which may be this one.
pub(super) async fn run_by_ticket(
    host: &Arc<HostState>,
    request: OnceRequest,
    ticket: TicketId,
) -> OnceOutcome {
    if ticket.holder == host.incarnation {
        let (key, body_hash) = (request.claim_key(), request.body_hash());
        let status = host
            .spend_ticket(
                ticket,
                key,
                body_hash,
                request.service,
                request.path,
                request.body,
                request.trace,
            )
            .await;
        return status.into();
    }
    let Some(holder) = lock(&host.members).record(ticket.holder).map(|record| record.update) else {
        return OnceOutcome::Unknown("ticket_holder_gone");
    };
    let message = PeerRequest::Ticket {
        ticket,
        key: request.claim_key(),
        body_hash: request.body_hash(),
        service: request.service.name.clone(),
        path: request.path,
        body: request.body,
    };
    match host.call_peer(holder, &message, RUN_TIMEOUT).await {
        Ok(PeerReply::KeyStatus(status)) => status.into(),
        _ => OnceOutcome::Unknown("ticket_holder_gone"),
    }
}

impl HostState {
    /// Redeems a ticket of this incarnation and runs its call, or returns the status of an earlier
    /// use.
    #[expect(clippy::too_many_arguments, reason = "one for each field of the peers' message")]
    pub(super) async fn spend_ticket(
        self: &Arc<Self>,
        ticket: TicketId,
        key: ClaimKey,
        body_hash: u64,
        service: ServiceSpec,
        path: String,
        body: Vec<u8>,
        trace: TraceParent,
    ) -> KeyStatus {
        let attempt = self.new_attempt();
        {
            // Holds the outcome table's lock while the ticket is spent and its entry made, so that
            // no retry finds the ticket spent without an entry.
            let mut outcomes = lock(&self.outcomes);
            match lock(&self.tickets).present(self.now(), ticket) {
                TicketVerdict::Void => return KeyStatus::Unknown,
                TicketVerdict::Spent => {
                    return match outcomes.present(key, body_hash) {
                        // The ticket was spent on another body or by another organisation, or its
                        // call did not run: it cannot be used again.
                        KeyStatus::NeverSeen => KeyStatus::OtherBody,
                        known => known,
                    };
                }
                TicketVerdict::Spend => outcomes.begin(self.now(), key, attempt, body_hash),
            }
        }
        let request = OnceRequest {
            service,
            path,
            organisation: String::new(),
            key: None,
            ticket: Some(ticket),
            body,
            trace,
        };
        let host = Arc::clone(self);
        let task = tokio::spawn(async move { execute(&host, &request, key, attempt).await });
        match task.await {
            Ok(()) => lock(&self.outcomes).present_claimed(key, attempt, body_hash),
            Err(_) => KeyStatus::Unknown,
        }
    }
}

impl HostState {
    /// Issues a ticket bound to this incarnation; `None` if too many are outstanding or the host is
    /// draining.
    pub fn issue_ticket(&self) -> Option<TicketId> {
        if self.is_draining() {
            return None;
        }
        lock(&self.tickets).issue(self.now(), self.incarnation, rand::random())
    }
}
