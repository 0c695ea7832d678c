//! Requests places at contended plain servers from their owners, and grants them as an owner.
//!
//! The owner of a server's places is the owner of its sends (`send_owner`), and replies are awaited in the same way
//! (`pending_replies`). Permits themselves are not reused: they count sends in a window of four seconds, while a place
//! is in use until its release.

use super::gateway_host::GatewayHost;
use super::gateway_state::GatewayState;
use super::peer_messages::GatewayDatagram;
use crate::fleet::ServerEntry;
use crate::keys::{IncarnationId, ServerKey, TimePoint};
use crate::limits::OwnerChoice;
use crate::placement::RankingCriterion;
use crate::routes::ServiceKey;
use crate::server_slots::{PlaceDecision, PlaceEnd, PlaceReply, PlaceRequest, SlotMessage};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How often an owner looks for places that become free without a message, because they expired or requests without a
/// place have left: about the time between two answers of a server of six slots with a service time of 30 ms.
const POLL_PERIOD: Duration = Duration::from_millis(5);
/// How often ownership is checked and expired entries are dropped.
const EXPIRY_PERIOD: Duration = Duration::from_millis(100);
/// How long a request of the owner's own host waits for its decision; as long as a request to another host.
const OWN_TIMEOUT: Duration = Duration::from_millis(65);

/// Decides on waiting requests and drops expired entries.
pub(super) async fn run_slots(host: Arc<GatewayHost>) {
    let mut expired_at = TimePoint::CLOCK_START;
    loop {
        let is_waiting = host.poll_places();
        let now = host.now();
        if now.since(expired_at) >= EXPIRY_PERIOD {
            expired_at = now;
            host.expire_places();
        }
        if is_waiting {
            tokio::time::sleep(POLL_PERIOD).await;
        } else {
            // A timeout is the regular case: nothing waits, and expired entries are due.
            drop(tokio::time::timeout(EXPIRY_PERIOD, host.slot_waits.notified()).await);
        }
    }
}

impl GatewayHost {
    /// The weights with which servers of a plain service are chosen at random; `None` if the best one is chosen, because
    /// the part is off or does not act for this service.
    pub(super) fn spread_weights(
        &self,
        now: TimePoint,
        state: &GatewayState,
        service: ServiceKey,
        criterion: RankingCriterion,
    ) -> Option<HashMap<ServerKey, f64>> {
        if !self.settings.features.server_slots || criterion != RankingCriterion::Requests {
            return None;
        }
        let hosts = state.members.living().count();
        let ready = || state.fleet.ready(service);
        let acts = ready().any(|server| {
            state.slot_control.needs_random_choice(now, server.key(), hosts, server.slots)
        });
        let servers: Vec<_> = ready().map(|server| (server.key(), server.slots)).collect();
        acts.then(|| state.slot_control.weights(&servers))
    }

    /// Requests a place from the owner of a server; `None` if there is no owner that answers.
    pub(super) async fn query_slot_owner(&self, request: &PlaceRequest) -> Option<PlaceDecision> {
        match self.send_owner(request.server) {
            OwnerChoice::Own => {
                let reply = self.slot_replies.register(request.sequence);
                if let Some(decision) = self.decide_place(request) {
                    return Some(decision);
                }
                let reply = tokio::time::timeout(OWN_TIMEOUT, reply).await.ok()?.ok()?;
                Some(reply.decision)
            }
            OwnerChoice::Other(owner) => {
                let message = SlotMessage::Request(request.clone());
                let datagram = GatewayDatagram::Slots(message);
                let sequence = request.sequence;
                // A host without the setting does not reply, and the reply to a request that waits is sent once. Neither
                // shows that the host is silent to requests for limits and permits.
                let reply = self.exchange_datagrams(&self.slot_replies, sequence, owner, &datagram);
                reply.await.map(|reply| reply.decision)
            }
            OwnerChoice::Unknown => None,
        }
    }

    /// Releases a place, or withdraws a request for one.
    pub(super) fn release_place(
        &self,
        server: ServerKey,
        sequence: u32,
        end: (PlaceEnd, Duration),
    ) {
        let now = self.now();
        let release = {
            let mut state = self.state();
            if end.0 == PlaceEnd::Rejected {
                state.slot_control.record_rejection(now, server);
            }
            state.slot_control.release(now, self.incarnation, server, sequence, end)
        };
        self.notify_slot_owner(server, SlotMessage::Release(release));
    }

    /// Records that a server rejected a request that had no place, and tells the server's owner.
    pub(super) fn report_rejection(&self, server: ServerKey) {
        let now = self.now();
        let is_new = self.state().slot_control.record_rejection(now, server);
        if is_new {
            log::info!("event=server_contended life={:016x} from=answer", server.0);
        }
        let message = SlotMessage::Rejected { from: self.incarnation, server };
        self.notify_slot_owner(server, message);
    }

    fn notify_slot_owner(&self, server: ServerKey, message: SlotMessage) {
        match self.send_owner(server) {
            OwnerChoice::Own => self.apply_slot_message(message),
            OwnerChoice::Other(owner) => {
                self.send(owner.address, &GatewayDatagram::Slots(message));
            }
            OwnerChoice::Unknown => {}
        }
    }

    /// Handles a message of another host. With the part off there is no reply, as from a host that does not know the
    /// message.
    pub(super) fn receive_slot_message(&self, from: SocketAddr, message: &SlotMessage) {
        if !self.settings.features.server_slots {
            return;
        }
        match message {
            SlotMessage::Request(request) => {
                let Some(decision) = self.decide_place(request) else { return };
                let sequence = request.sequence;
                let reply = PlaceReply { from: self.incarnation, sequence, decision };
                self.send(from, &GatewayDatagram::Slots(SlotMessage::Reply(reply)));
            }
            other => self.apply_slot_message(other.clone()),
        }
    }

    fn apply_slot_message(&self, message: SlotMessage) {
        let now = self.now();
        match message {
            // A request needs a reply, and is handled where its sender is known.
            SlotMessage::Request(_) => {}
            SlotMessage::Reply(reply) => self.slot_replies.complete(reply.sequence, reply),
            SlotMessage::Release(release) => {
                self.state().slot_control.apply_release(now, &release);
                self.poll_places();
                self.announce_contention(release.server);
            }
            SlotMessage::Rejected { server, .. } => {
                {
                    let mut state = self.state();
                    let slots = state.fleet.entry(server).map(|entry| entry.slots);
                    let Some(slots) = slots else { return };
                    state.slot_control.apply_rejection(now, server, slots);
                }
                self.announce_contention(server);
            }
            SlotMessage::Contended { server, remaining_ms, .. } => {
                let remaining = Duration::from_millis(remaining_ms.into());
                let mut state = self.state();
                if state.slot_control.contended.record(now, server, remaining) {
                    log::info!("event=server_contended life={:016x} from=owner", server.0);
                }
            }
        }
    }

    /// Decides on a request for a place; `None` while it waits.
    fn decide_place(&self, request: &PlaceRequest) -> Option<PlaceDecision> {
        let is_owner = self.send_owner(request.server) == OwnerChoice::Own;
        let now = self.now();
        let decision = {
            let mut state = self.state();
            let entry = state.fleet.entry(request.server).filter(|_| is_owner);
            let Some(slots) = entry.map(|entry| entry.slots) else {
                return Some(PlaceDecision::NotOwner);
            };
            state.slot_control.receive(now, request, slots)
        };
        if decision.is_none() {
            self.slot_waits.notify_one();
        }
        self.announce_contention(request.server);
        decision
    }

    /// Sends the decisions on waiting requests that are due. Returns whether requests still wait.
    fn poll_places(&self) -> bool {
        let now = self.now();
        let (decided, is_waiting) = {
            let mut state = self.state();
            let decided = state.slot_control.poll(now, self.incarnation);
            (decided, state.slot_control.has_waiting())
        };
        for (host, reply) in decided {
            self.send_place_reply(host, reply);
        }
        is_waiting
    }

    fn send_place_reply(&self, host: IncarnationId, reply: PlaceReply) {
        if host == self.incarnation {
            self.slot_replies.complete(reply.sequence, reply);
            return;
        }
        let address = self.state().members.record(host).map(|record| record.update.address);
        // A host that is unknown here gets no reply and sends its request without a place.
        if let Some(address) = address {
            self.send(address, &GatewayDatagram::Slots(SlotMessage::Reply(reply)));
        }
    }

    /// Announces to all hosts that a server of which this host is the owner is contended, unless it did so a short
    /// while ago.
    fn announce_contention(&self, server: ServerKey) {
        let now = self.now();
        let remaining = self.state().slot_control.contended.announcement(now, server);
        let Some(remaining) = remaining else { return };
        let remaining_ms = u16::try_from(remaining.as_millis()).unwrap_or(u16::MAX);
        let message = SlotMessage::Contended { from: self.incarnation, server, remaining_ms };
        let datagram = GatewayDatagram::Slots(message);
        for target in self.gossip_targets(now.0.cast_unsigned(), usize::MAX, usize::MAX) {
            self.send(target, &datagram);
        }
        self.metrics().add("contention_announced", 1);
    }

    /// Drops expired entries, and what this host granted at servers that other hosts own now.
    fn expire_places(&self) {
        let now = self.now();
        let mut state = self.state();
        let since = state.slot_control.ledger.term().renewed_at();
        let granted: Vec<ServerKey> =
            state.slot_control.ledger.accounts().map(|(server, _)| server).collect();
        let owned: Vec<ServerKey> = granted
            .into_iter()
            .filter(|server| state.fleet.entry(*server).is_some())
            .filter(|server| state.has_owned_sends(now, *server, since))
            .collect();
        state.slot_control.expire(now, |server| owned.contains(&server));
    }
}

impl GatewayState {
    /// Whether a request for a plain server needs a place there.
    pub(super) fn needs_place(&mut self, now: TimePoint, server: &ServerEntry) -> bool {
        let key = server.key();
        if self.send_control.limit(now, key).is_some() {
            return false;
        }
        let hosts = self.members.living().count();
        let load = self.server_loads.total(key).requests;
        self.slot_control.needs_place(now, key, hosts, server.slots, load)
    }
}
