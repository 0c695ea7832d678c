//! Asks the owners of servers that have a limit before requests are sent there, and answers as one of them.

use super::gateway_host::GatewayHost;
use super::gateway_state::GatewayState;
use super::peer_messages::GatewayDatagram;
use crate::keys::{IncarnationId, ServerKey, TimePoint};
use crate::limits::{OwnerChoice, choose_owner, has_owned};
use crate::membership::MemberUpdate;
use crate::server_limits::{AskPurpose, CallRank, SendAsk, SendDecision, SendReply};
use std::net::SocketAddr;
use std::time::Duration;

/// A grant that comes later than this is not used: the host was suspended meanwhile, and the window in which the
/// owner counts it has gone on.
const GRANT_LIFE: Duration = Duration::from_millis(250);

impl GatewayHost {
    /// Asks for a request of `rank` to go to a server that has a limit; the moment at which it counts as sent, if
    /// it may go.
    pub(super) async fn request_send(
        &self,
        id: &str,
        server: ServerKey,
        rank: CallRank,
    ) -> Option<TimePoint> {
        let asked_at = self.now();
        let ask = self.state().sends.ask(asked_at, server, rank, AskPurpose::Send);
        let reply = self.ask_send_owner(&ask).await;
        let now = self.now();
        let in_time = reply.filter(|_| now.since(asked_at) < GRANT_LIFE);
        let may_go = self.state().sends.hear_reply(now, &ask, in_time.as_ref());
        let wait = match reply.map(|reply| reply.decision) {
            Some(SendDecision::Granted) => 0,
            Some(SendDecision::Refused { wait_ms }) => i64::from(wait_ms),
            None => -1,
        };
        let limit = ask.news.limit.map(|limit| limit.per_second()).unwrap_or_default();
        log::info!(
            "event=send_asked request={id} life={:016x} limit={limit} version={} granted={may_go} \
             wait_ms={wait}",
            server.0,
            ask.news.version
        );
        self.metrics().add(if may_go { "sends_granted" } else { "sends_refused" }, 1);
        may_go.then_some(now)
    }

    /// When a caller may come back that a server's limit leaves no room for now; `None` if its owner does not say.
    pub(super) async fn request_retry_pause(
        &self,
        server: ServerKey,
        rank: CallRank,
    ) -> Option<Duration> {
        let now = self.now();
        let ask = self.state().sends.ask(now, server, rank, AskPurpose::ComeBack);
        match self.ask_send_owner(&ask).await?.decision {
            SendDecision::Granted => Some(Duration::ZERO),
            SendDecision::Refused { wait_ms } => Some(Duration::from_millis(wait_ms.into())),
        }
    }

    /// Tells a server's owner what this host sent there.
    pub(super) fn notify_owner(&self, server: ServerKey, rank: CallRank, purpose: AskPurpose) {
        let now = self.now();
        let ask = self.state().sends.ask(now, server, rank, purpose);
        match self.send_owner(server) {
            OwnerChoice::Own => drop(self.decide_send(self.incarnation, &ask)),
            OwnerChoice::Other(owner) => {
                self.send(owner.address, &GatewayDatagram::SendAsk(self.incarnation, ask));
            }
            OwnerChoice::Unknown => {}
        }
    }

    async fn ask_send_owner(&self, ask: &SendAsk) -> Option<SendReply> {
        match self.send_owner(ask.news.server) {
            OwnerChoice::Own => Some(self.decide_send(self.incarnation, ask)),
            OwnerChoice::Other(owner) => {
                let question = GatewayDatagram::SendAsk(self.incarnation, ask.clone());
                self.ask_twice(&self.send_waits, ask.sequence, owner, &question).await
            }
            OwnerChoice::Unknown => None,
        }
    }

    /// Answers another host's question.
    pub(super) fn receive_send_request(
        &self,
        from: SocketAddr,
        host: IncarnationId,
        ask: &SendAsk,
    ) {
        let reply = self.decide_send(host, ask);
        if ask.purpose.wants_reply() {
            self.send(from, &GatewayDatagram::SendReply(reply));
        }
    }

    fn decide_send(&self, from: IncarnationId, ask: &SendAsk) -> SendReply {
        let now = self.now();
        let (reply, change) = {
            let mut state = self.state();
            let is_owner = state.send_owner(now, ask.news.server) == OwnerChoice::Own;
            state.sends.receive(now, from, ask, is_owner)
        };
        if let Some(change) = change {
            self.announce_limit_change(&change, "peer");
        }
        reply
    }

    /// Which host grants what goes to a server that has a limit.
    pub(super) fn send_owner(&self, server: ServerKey) -> OwnerChoice {
        let now = self.now();
        self.state().send_owner(now, server)
    }
}

impl GatewayState {
    /// Whether this host is the owner of a server that has a limit, and has been ever since a moment.
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

    /// The owner of a server that has a limit: one of the hosts of its failure domain, or of all if there are none
    /// there, or the server is not known.
    fn send_owner(&self, now: TimePoint, server: ServerKey) -> OwnerChoice {
        let domain = self.fleet.entry(server).map(|entry| entry.domain);
        let near = domain.into_iter().flat_map(|domain| self.members.owners(domain));
        let mut hosts: Vec<MemberUpdate> = near.map(|(_, host)| host).collect();
        if hosts.is_empty() {
            hosts = self.members.living().map(|(_, host)| host).collect();
        }
        let is_alone = self.members.is_alone();
        let own = self.members.own().incarnation;
        choose_owner(now, server, own, is_alone, hosts.into_iter(), &self.silent)
    }
}
