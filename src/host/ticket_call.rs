//! Calls that run at most once by a ticket of one incarnation.

use super::host_state::{HostState, lock};
use super::once_ask::{OnceAnswer, OnceAsk};
use super::once_call::{RUN_LIMIT, execute};
use crate::claims::{ClaimKey, KeyStatus, TicketId, TicketVerdict};
use crate::intents::ServiceSpec;
use crate::peers::{PeerReply, PeerRequest};
use crate::telemetry::TraceParent;
use std::sync::Arc;

/// Runs the call on the ticket's holder, wherever it is.
pub(super) async fn run_by_ticket(
    host: &Arc<HostState>,
    ask: OnceAsk,
    ticket: TicketId,
) -> OnceAnswer {
    if ticket.holder == host.incarnation {
        let (key, body) = (ask.claim_key(), ask.body_hash());
        let presented =
            host.spend_ticket(ticket, key, body, ask.service, ask.path, ask.body, ask.trace).await;
        return presented.into();
    }
    let Some(holder) = lock(&host.members).record(ticket.holder).map(|record| record.update) else {
        return OnceAnswer::Unknown("ticket_holder_gone");
    };
    let request = PeerRequest::Ticket {
        ticket,
        key: ask.claim_key(),
        body_hash: ask.body_hash(),
        service: ask.service.name.clone(),
        path: ask.path,
        body: ask.body,
    };
    match host.call_peer(holder, &request, RUN_LIMIT).await {
        Ok(PeerReply::KeyStatus(presented)) => presented.into(),
        _ => OnceAnswer::Unknown("ticket_holder_gone"),
    }
}

impl HostState {
    /// Spends a ticket of this incarnation, or tells what became of it.
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
            // The book entry stands before the ticket is spent, so that no repeat falls between.
            let mut book = lock(&self.outcomes);
            match lock(&self.tickets).present(self.now(), ticket) {
                TicketVerdict::Void => return KeyStatus::Unknown,
                TicketVerdict::Spent => {
                    return match book.present(key, body_hash) {
                        // Spent by another body or organisation, or not run: never again.
                        KeyStatus::NeverSeen => KeyStatus::OtherBody,
                        known => known,
                    };
                }
                TicketVerdict::Spend => book.begin(self.now(), key, attempt, body_hash),
            }
        }
        let ask = OnceAsk {
            service,
            path,
            organisation: String::new(),
            key: None,
            ticket: Some(ticket),
            body,
            trace,
        };
        let host = Arc::clone(self);
        let task = tokio::spawn(async move { execute(&host, &ask, key, attempt).await });
        match task.await {
            Ok(()) => lock(&self.outcomes).present_claimed(key, attempt, body_hash),
            Err(_) => KeyStatus::Unknown,
        }
    }
}

impl HostState {
    /// Issues a ticket bound to this incarnation; none if too many are out or it drains.
    pub fn issue_ticket(&self) -> Option<TicketId> {
        if self.is_draining() {
            return None;
        }
        lock(&self.tickets).issue(self.now(), self.incarnation, rand::random())
    }
}
