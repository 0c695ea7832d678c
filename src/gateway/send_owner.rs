//! Requests permits from the owners of limited servers before requests are sent there, and grants them as an owner.

use super::gateway_host::GatewayHost;
use super::gateway_state::GatewayState;
use super::peer_messages::GatewayDatagram;
use crate::keys::{IncarnationId, ServerKey, TimePoint};
use crate::limits::{OwnerChoice, choose_owner, has_owned};
use crate::membership::MemberUpdate;
use crate::server_limits::{CallRank, PermitDecision, PermitPurpose, PermitReply, PermitRequest};
use std::net::SocketAddr;
use std::time::Duration;

/// A granted permit that arrives later than this is not used: the host was suspended meanwhile, and the window in which
/// the owner counts the request has moved on.
const GRANT_LIFETIME: Duration = Duration::from_millis(250);

impl GatewayHost {
    /// Requests a permit to send a request of `rank` to a limited server. Returns the time at which the request counts
    /// as sent, if it may be sent.
    pub(super) async fn request_permit(
        &self,
        id: &str,
        server: ServerKey,
        rank: CallRank,
    ) -> Option<TimePoint> {
        let asked_at = self.now();
        let request =
            self.state().send_control.permit_request(asked_at, server, rank, PermitPurpose::Send);
        let reply = self.query_send_owner(&request).await;
        let now = self.now();
        let timely = reply.filter(|_| now.since(asked_at) < GRANT_LIFETIME);
        let is_granted = self.state().send_control.apply_reply(now, &request, timely.as_ref());
        let wait = match reply.map(|reply| reply.decision) {
            Some(PermitDecision::Granted) => 0,
            Some(PermitDecision::Refused { wait_ms }) => i64::from(wait_ms),
            None => -1,
        };
        let limit = request.update.limit.map(|limit| limit.per_second()).unwrap_or_default();
        log::info!(
            "event=send_asked request={id} life={:016x} limit={limit} version={} granted={is_granted} \
             wait_ms={wait}",
            server.0,
            request.update.version
        );
        self.metrics().add(if is_granted { "sends_granted" } else { "sends_refused" }, 1);
        is_granted.then_some(now)
    }

    /// Asks the owner of a server at its limit when a caller may retry; `None` if the owner does not answer.
    pub(super) async fn request_retry_pause(
        &self,
        server: ServerKey,
        rank: CallRank,
    ) -> Option<Duration> {
        let now = self.now();
        let request =
            self.state().send_control.permit_request(now, server, rank, PermitPurpose::RetryAfter);
        match self.query_send_owner(&request).await?.decision {
            PermitDecision::Granted => Some(Duration::ZERO),
            PermitDecision::Refused { wait_ms } => Some(Duration::from_millis(wait_ms.into())),
        }
    }

    /// Reports to a server's owner what this host sent there.
    pub(super) fn notify_owner(&self, server: ServerKey, rank: CallRank, purpose: PermitPurpose) {
        let now = self.now();
        let request = self.state().send_control.permit_request(now, server, rank, purpose);
        match self.send_owner(server) {
            OwnerChoice::Own => drop(self.decide_permit(self.incarnation, &request)),
            OwnerChoice::Other(owner) => {
                self.send(
                    owner.address,
                    &GatewayDatagram::PermitRequest(self.incarnation, request),
                );
            }
            OwnerChoice::Unknown => {}
        }
    }

    async fn query_send_owner(&self, request: &PermitRequest) -> Option<PermitReply> {
        match self.send_owner(request.update.server) {
            OwnerChoice::Own => Some(self.decide_permit(self.incarnation, request)),
            OwnerChoice::Other(owner) => {
                let datagram = GatewayDatagram::PermitRequest(self.incarnation, request.clone());
                self.request_reply(&self.permit_replies, request.sequence, owner, &datagram).await
            }
            OwnerChoice::Unknown => None,
        }
    }

    /// Handles a request of another host.
    pub(super) fn receive_permit_request(
        &self,
        from: SocketAddr,
        host: IncarnationId,
        request: &PermitRequest,
    ) {
        let reply = self.decide_permit(host, request);
        if request.purpose.wants_reply() {
            self.send(from, &GatewayDatagram::PermitReply(reply));
        }
    }

    fn decide_permit(&self, from: IncarnationId, request: &PermitRequest) -> PermitReply {
        let now = self.now();
        let (reply, change) = {
            let mut state = self.state();
            let is_owner = state.send_owner(now, request.update.server) == OwnerChoice::Own;
            state.send_control.receive(now, from, request, is_owner)
        };
        if let Some(change) = change {
            self.announce_limit_change(&change, "peer");
        }
        reply
    }

    /// The host that grants sends to a limited server.
    pub(super) fn send_owner(&self, server: ServerKey) -> OwnerChoice {
        let now = self.now();
        self.state().send_owner(now, server)
    }
}

impl GatewayState {
    /// Whether this host is the owner of a limited server, and has been since `since` without a break.
    pub(super) fn has_owned_sends(
        &self,
        now: TimePoint,
        server: ServerKey,
        since: TimePoint,
    ) -> bool {
        let domain = self.fleet.entry(server).map(|entry| entry.domain);
        let own = self.members.own();
        let others = self.members.records().filter(|record| {
            domain.is_none_or(|domain| domain != own.domain || record.update.domain == domain)
        });
        self.send_owner(now, server) == OwnerChoice::Own
            && !self.members.was_declared_dead(since)
            && has_owned(server, own.incarnation, others, since)
    }

    /// The owner of a limited server: one of the hosts of its failure domain, or of all hosts if the domain has none or
    /// the server is unknown.
    fn send_owner(&self, now: TimePoint, server: ServerKey) -> OwnerChoice {
        let domain = self.fleet.entry(server).map(|entry| entry.domain);
        let local_hosts = domain.into_iter().flat_map(|domain| self.members.living_in(domain));
        let mut hosts: Vec<MemberUpdate> = local_hosts.map(|(_, host)| host).collect();
        if hosts.is_empty() {
            hosts = self.members.living().map(|(_, host)| host).collect();
        }
        let is_alone = self.members.is_alone();
        let own = self.members.own().incarnation;
        choose_owner(now, server, own, is_alone, hosts.into_iter(), &self.silent_owners)
    }
}
