//! Calls to the owners of books, wherever they are.

use super::host_state::{HostState, lock};
use crate::intents::ClusterConfig;
use crate::keys::{AttemptId, IncarnationId, NameKey, ServerKey};
use crate::membership::MemberUpdate;
use crate::peers::{
    HoldRequest, PeerReply, PeerRequest, PlaceOffers, PlaceRequest, StartReply, StopReport,
};
use crate::placement::{RefusalReason, rendezvous_owner};
use crate::{Error, Result};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

const QUOTE_LIMIT: Duration = Duration::from_millis(60);
const HOLD_LIMIT: Duration = Duration::from_millis(60);
const REPORT_LIMIT: Duration = Duration::from_millis(500);
const REPORT_TRIES: u32 = 3;

impl HostState {
    /// The owner of a server's book: the first by rendezvous among its domain's living hosts.
    pub(super) fn owner_of(&self, server: ServerKey, domain: NameKey) -> Option<MemberUpdate> {
        rendezvous_owner(server.0, lock(&self.members).owners(domain))
    }

    /// Calls another daemon; a refused connection makes it a suspect.
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

    /// Asks the owners of all servers named in `ask` for quotes, each owner once.
    pub(super) async fn ask_quotes(
        self: &Arc<Self>,
        config: &ClusterConfig,
        ask: &PlaceRequest,
    ) -> PlaceOffers {
        let mut offers = PlaceOffers::default();
        let mut calls = tokio::task::JoinSet::new();
        for (owner, part) in self.split_by_owner(config, ask) {
            if owner.incarnation == self.incarnation {
                merge_offers(&mut offers, self.quote_here(&part));
                continue;
            }
            let host = Arc::clone(self);
            calls.spawn(async move {
                host.call_peer(owner, &PeerRequest::Quote(part), QUOTE_LIMIT).await
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
        ask: &PlaceRequest,
    ) -> Vec<(MemberUpdate, PlaceRequest)> {
        let empty = PlaceRequest { prefills: Vec::new(), decodes: Vec::new(), ..ask.clone() };
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
        for key in &ask.prefills {
            part_of(*key, &|part| part.prefills.push(*key));
        }
        for key in &ask.decodes {
            part_of(*key, &|part| part.decodes.push(*key));
        }
        parts.into_values().collect()
    }

    /// Holds a decode slot at its owner.
    pub(super) async fn hold_slot(
        self: &Arc<Self>,
        domain: NameKey,
        ask: HoldRequest,
    ) -> std::result::Result<u64, RefusalReason> {
        let owner = self.owner_of(ask.server, domain).ok_or(RefusalReason::NotServing)?;
        if owner.incarnation == self.incarnation {
            return self.hold_here(&ask);
        }
        match self.call_peer(owner, &PeerRequest::Hold(ask), HOLD_LIMIT).await {
            Ok(PeerReply::Held(result)) => result,
            _ => Err(RefusalReason::NotOwner),
        }
    }

    /// Queues at a prefill server's owner and waits for the start.
    pub(super) async fn enqueue(
        self: &Arc<Self>,
        server: ServerKey,
        domain: NameKey,
        ask: &PlaceRequest,
        limit: Duration,
    ) -> StartReply {
        let Some(owner) = self.owner_of(server, domain) else {
            return StartReply::Refused(RefusalReason::NotServing);
        };
        if owner.incarnation == self.incarnation {
            let waiting = tokio::time::timeout(limit, self.enqueue_here(server, ask));
            return waiting.await.unwrap_or(StartReply::Refused(RefusalReason::TooLate));
        }
        let request = PeerRequest::Enqueue(server, ask.clone());
        match self.call_peer(owner, &request, limit).await {
            Ok(PeerReply::Start(reply)) => reply,
            Err(Error::Timeout) => StartReply::Refused(RefusalReason::TooLate),
            _ => StartReply::Refused(RefusalReason::NotOwner),
        }
    }

    /// Tells a server's owner how an attempt's stay changed; tried again if the call fails. What
    /// is lost all the same, the owner finds when it compares its book with the engine.
    pub(super) fn report(
        self: &Arc<Self>,
        server: ServerKey,
        domain: NameKey,
        attempt: AttemptId,
        report: StopReport,
    ) {
        let Some(owner) = self.owner_of(server, domain) else {
            return;
        };
        if owner.incarnation == self.incarnation {
            return self.report_here(server, attempt, report);
        }
        let host = Arc::clone(self);
        tokio::spawn(async move {
            for _ in 0..REPORT_TRIES {
                let Some(owner) = host.owner_of(server, domain) else {
                    return;
                };
                let request = PeerRequest::Report(server, attempt, report);
                if host.call_peer(owner, &request, REPORT_LIMIT).await.is_ok() {
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
