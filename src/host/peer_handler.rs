//! Handles requests from other daemons.

use super::host_state::{HostState, lock};
use crate::claims::KeyStatus;
use crate::peers::{PeerHandler, PeerReply, PeerRequest};
use crate::telemetry::TraceParent;
use std::sync::Arc;

impl PeerHandler for HostState {
    type Request = PeerRequest;
    type Reply = PeerReply;

    async fn handle(self: Arc<Self>, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Quote(request) => PeerReply::Offers(self.quote_locally(&request)),
            PeerRequest::Hold(request) => PeerReply::Held(self.hold_locally(&request)),
            PeerRequest::Enqueue(server, request) => {
                PeerReply::Start(self.enqueue_locally(server, &request).await)
            }
            PeerRequest::Report(server, attempt, report) => {
                self.report_locally(server, attempt, report);
                PeerReply::Acknowledged
            }
            PeerRequest::Claims(server) => PeerReply::Claims(self.claims_on(server)),
            PeerRequest::StillHeld(attempts) => PeerReply::StillHeld(self.still_held(&attempts)),
            PeerRequest::Sync(updates) => {
                let (actions, ours) = {
                    let mut members = lock(&self.members);
                    (members.merge_all(self.now(), &updates), members.all_updates())
                };
                self.execute_actions(actions);
                PeerReply::Members(ours)
            }
            PeerRequest::Config(version) => {
                let config = self.config();
                PeerReply::Config((config.version > version).then(|| (*config).clone()))
            }
            PeerRequest::Claim(request) => PeerReply::Claim(self.claim_locally(request).await),
            PeerRequest::Present(key, attempt, body) => {
                PeerReply::KeyStatus(self.present_claimed(key, attempt, body))
            }
            PeerRequest::Ticket { ticket, key, body_hash, service, path, body } => {
                let config = self.config();
                let status = match config.service(&service) {
                    Some(spec) => {
                        let spec = spec.clone();
                        let trace = TraceParent::new_trace();
                        self.spend_ticket(ticket, key, body_hash, spec, path, body, trace).await
                    }
                    None => KeyStatus::Unknown,
                };
                PeerReply::KeyStatus(status)
            }
            PeerRequest::HandOver(server, claims) => {
                let now = self.now();
                if let Some(owned) = lock(&self.owned).get_mut(&server) {
                    owned.ledger.apply_claims(now, &claims);
                }
                PeerReply::Acknowledged
            }
            PeerRequest::Spans(trace) => PeerReply::Spans(lock(&self.traces).spans_of(trace)),
        }
    }
}
