//! Answers the requests of other daemons.

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
            PeerRequest::Quote(ask) => PeerReply::Offers(self.quote_here(&ask)),
            PeerRequest::Hold(ask) => PeerReply::Held(self.hold_here(&ask)),
            PeerRequest::Enqueue(server, ask) => {
                PeerReply::Start(self.enqueue_here(server, &ask).await)
            }
            PeerRequest::Report(server, attempt, report) => {
                self.report_here(server, attempt, report);
                PeerReply::Acknowledged
            }
            PeerRequest::Claims(server) => PeerReply::Claims(self.claims_on(server)),
            PeerRequest::StillHeld(attempts) => PeerReply::StillHeld(self.still_held(&attempts)),
            PeerRequest::Sync(news) => {
                let (actions, ours) = {
                    let mut members = lock(&self.members);
                    (members.merge_all(self.now(), &news), members.all_updates())
                };
                self.execute_actions(actions);
                PeerReply::Members(ours)
            }
            PeerRequest::Config(version) => {
                let config = self.config();
                PeerReply::Config((config.version > version).then(|| (*config).clone()))
            }
            PeerRequest::Claim(ask) => PeerReply::Claim(self.claim_here(ask).await),
            PeerRequest::Present(key, attempt, body) => {
                PeerReply::KeyStatus(self.present_claimed(key, attempt, body))
            }
            PeerRequest::Ticket { ticket, key, body_hash, service, path, body } => {
                let config = self.config();
                let presented = match config.service(&service) {
                    Some(spec) => {
                        let spec = spec.clone();
                        let trace = TraceParent::new_trace();
                        self.spend_ticket(ticket, key, body_hash, spec, path, body, trace).await
                    }
                    None => KeyStatus::Unknown,
                };
                PeerReply::KeyStatus(presented)
            }
            PeerRequest::HandOver(server, claims) => {
                let now = self.now();
                if let Some(owned) = lock(&self.owned).get_mut(&server) {
                    owned.book.apply_claims(now, &claims);
                }
                PeerReply::Acknowledged
            }
            PeerRequest::Spans(trace) => PeerReply::Spans(lock(&self.traces).spans_of(trace)),
        }
    }
}
