//! Calls to the owners of server ledgers, on this host or on others.

use super::host_state::{HostState, lock};
use crate::intents::ClusterConfig;
use crate::keys::{AttemptId, IncarnationId, NameKey, ServerKey};
use crate::membership::MemberUpdate;
use crate::peers::{
    AttemptReport, HoldRequest, PeerReply, PeerRequest, PlaceOffers, PlaceRequest, StartReply,
};
use crate::placement::{RefusalReason, rendezvous_owner};
use crate::{Error, Result};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

const QUOTE_TIMEOUT: Duration = Duration::from_millis(60);
const HOLD_TIMEOUT: Duration = Duration::from_millis(60);
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
const REPORT_TRIES: u32 = 3;

impl HostState {
    /// Owner of a server's ledger: the living host of its domain with the highest rendezvous rank.
    pub(super) fn owner_of(&self, server: ServerKey, domain: NameKey) -> Option<MemberUpdate> {
        rendezvous_owner(server.0, lock(&self.members).living_in(domain))
    }

    /// Calls another daemon; a refused connection marks it as suspect.
    pub(super) async fn call_peer(
        &self,
        peer: MemberUpdate,
        request: &PeerRequest,
        limit: Duration,
    ) -> Result<PeerReply> {
        let result = self.peers.call(peer.address, request, limit).await;
        if let Err(Error::Io(error)) = &result
            && error.kind() == std::io::ErrorKind::ConnectionRefused
        {
            lock(&self.members).record_refusal(self.now(), peer.incarnation);
        }
        result
    }

    /// Requests quotes for all servers named in `request`, with one call to each owner.
    pub(super) async fn request_quotes(
        self: &Arc<Self>,
        config: &ClusterConfig,
        request: &PlaceRequest,
    ) -> PlaceOffers {
        let mut offers = PlaceOffers::default();
        let mut calls = tokio::task::JoinSet::new();
        for (owner, part) in self.split_by_owner(config, request) {
            if owner.incarnation == self.incarnation {
                merge_offers(&mut offers, self.quote_locally(&part));
                continue;
            }
            let host = Arc::clone(self);
            calls.spawn(async move {
                host.call_peer(owner, &PeerRequest::Quote(part), QUOTE_TIMEOUT).await
            });
        }
        while let Some(joined) = calls.join_next().await {
            if let Ok(Ok(PeerReply::Offers(more))) = joined {
                merge_offers(&mut offers, more);
            }
        }
        offers
    }

    fn split_by_owner(
        &self,
        config: &ClusterConfig,
        request: &PlaceRequest,
    ) -> Vec<(MemberUpdate, PlaceRequest)> {
        let empty = PlaceRequest { prefills: Vec::new(), decodes: Vec::new(), ..request.clone() };
        let mut parts: HashMap<IncarnationId, (MemberUpdate, PlaceRequest)> = HashMap::new();
        let mut part_of = |key: ServerKey, add: &dyn Fn(&mut PlaceRequest)| {
            let Some(domain) = config.server(key).map(|server| server.domain_key()) else {
                return;
            };
            let Some(owner) = self.owner_of(key, domain) else {
                return;
            };
            let part = parts.entry(owner.incarnation).or_insert_with(|| (owner, empty.clone()));
            add(&mut part.1);
        };
        for key in &request.prefills {
            part_of(*key, &|part| part.prefills.push(*key));
        }
        for key in &request.decodes {
            part_of(*key, &|part| part.decodes.push(*key));
        }
        parts.into_values().collect()
    }

    /// Asks a decode server's owner to hold a slot.
    pub(super) async fn hold_slot(
        self: &Arc<Self>,
        domain: NameKey,
        request: HoldRequest,
    ) -> std::result::Result<u64, RefusalReason> {
        let owner = self.owner_of(request.server, domain).ok_or(RefusalReason::NotServing)?;
        if owner.incarnation == self.incarnation {
            return self.hold_locally(&request);
        }
        match self.call_peer(owner, &PeerRequest::Hold(request), HOLD_TIMEOUT).await {
            Ok(PeerReply::Held(result)) => result,
            _ => Err(RefusalReason::NotOwner),
        }
    }

    /// Queues a prefill at its server's owner and waits until it may start.
    pub(super) async fn enqueue(
        self: &Arc<Self>,
        server: ServerKey,
        domain: NameKey,
        request: &PlaceRequest,
        limit: Duration,
    ) -> StartReply {
        let Some(owner) = self.owner_of(server, domain) else {
            return StartReply::Refused(RefusalReason::NotServing);
        };
        if owner.incarnation == self.incarnation {
            let waiting = tokio::time::timeout(limit, self.enqueue_locally(server, request));
            return waiting.await.unwrap_or(StartReply::Refused(RefusalReason::TooLate));
        }
        let message = PeerRequest::Enqueue(server, request.clone());
        match self.call_peer(owner, &message, limit).await {
            Ok(PeerReply::Start(reply)) => reply,
            Err(Error::Timeout) => StartReply::Refused(RefusalReason::TooLate),
            _ => StartReply::Refused(RefusalReason::NotOwner),
        }
    }

    /// Reports to a server's owner how an attempt progressed there; a failed call is retried. If
    /// all tries fail, the owner finds the change when it compares its ledger with the engine.
    pub(super) fn report(
        self: &Arc<Self>,
        server: ServerKey,
        domain: NameKey,
        attempt: AttemptId,
        report: AttemptReport,
    ) {
        let Some(owner) = self.owner_of(server, domain) else {
            return;
        };
        if owner.incarnation == self.incarnation {
            return self.report_locally(server, attempt, report);
        }
        let host = Arc::clone(self);
        tokio::spawn(async move {
            for _ in 0..REPORT_TRIES {
                let Some(owner) = host.owner_of(server, domain) else {
                    return;
                };
                let request = PeerRequest::Report(server, attempt, report);
                if host.call_peer(owner, &request, REPORT_TIMEOUT).await.is_ok() {
                    return;
                }
            }
        });
    }
}

fn merge_offers(offers: &mut PlaceOffers, more: PlaceOffers) {
    offers.prefills.extend(more.prefills);
    offers.decodes.extend(more.decodes);
    offers.refusals.extend(more.refusals);
}
