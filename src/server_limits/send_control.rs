use super::{
    CallRank, ClosedServers, ColdServers, LimitChange, LimitObservation, LimitTable, LimitUpdate,
    PermitDecision, PermitPurpose, PermitReply, PermitRequest, SendLedger, SendLog, ServerLimit,
};
use crate::keys::{IncarnationId, ServerKey, TimePoint};
use std::time::Duration;

/// How long no further permit is requested for a server whose owner does not answer.
const SILENT_PAUSE: Duration = Duration::from_millis(250);
/// Pause for a host that sent its request to a host other than the owner; it should know the owner after this pause.
const NOT_OWNER_PAUSE_MS: u32 = 100;

/// Everything that one host knows, sends and grants under the limits of backend servers.
#[derive(Debug, Default)]
pub struct SendControl {
    /// The limits that servers named.
    pub limits: LimitTable,
    /// The limits of servers that have just started.
    pub cold: ColdServers,
    /// The requests that this host sent.
    pub log: SendLog,
    /// Servers whose owners refused requests of this host.
    pub closed: ClosedServers,
    /// The accounts from which this host grants permits as an owner.
    pub ledger: SendLedger,
    sequence: u32,
}

impl SendControl {
    /// The limit of a server that currently applies to all hosts together, if there is one.
    pub fn limit(&self, now: TimePoint, server: ServerKey) -> Option<ServerLimit> {
        match (self.limits.limit(server), self.cold.limit(now, server)) {
            (Some(named), Some(cold)) => Some(named.min(cold)),
            (named, cold) => named.or(cold),
        }
    }

    /// Servers that have a limit.
    pub fn limited(&self, now: TimePoint) -> Vec<ServerKey> {
        let named = self.limits.limited();
        let cold = self.cold.servers(now).filter(|server| self.limits.limit(*server).is_none());
        named.chain(cold).collect()
    }

    /// Creates the message to the owner of `server` for a request of `rank`. It reports everything that this host
    /// recently sent to the server.
    pub fn permit_request(
        &mut self,
        now: TimePoint,
        server: ServerKey,
        rank: CallRank,
        purpose: PermitPurpose,
    ) -> PermitRequest {
        self.sequence = self.sequence.wrapping_add(1).max(1);
        PermitRequest {
            sequence: self.sequence,
            update: self.limits.latest(server),
            purpose,
            rank,
            history: self.log.history(now, server),
        }
    }

    /// Decides on a permit request as the owner, or refuses it if `is_owner` is false.
    pub fn receive(
        &mut self,
        now: TimePoint,
        from: IncarnationId,
        request: &PermitRequest,
        is_owner: bool,
    ) -> (PermitReply, Option<LimitChange>) {
        let change = self.limits.merge(now, &request.update);
        let server = request.update.server;
        let decision = match self.limit(now, server) {
            None => PermitDecision::Granted,
            Some(_) if !is_owner => PermitDecision::Refused { wait_ms: NOT_OWNER_PAUSE_MS },
            Some(limit) => self.ledger.receive(now, from, request, limit),
        };
        (
            PermitReply {
                sequence: request.sequence,
                update: self.limits.latest(server),
                decision,
            },
            change,
        )
    }

    /// Applies the reply to a permit request, or the lack of a reply. Returns true if the request may be sent; it then
    /// counts as sent.
    pub fn apply_reply(
        &mut self,
        now: TimePoint,
        request: &PermitRequest,
        reply: Option<&PermitReply>,
    ) -> bool {
        let server = request.update.server;
        if let Some(reply) = reply {
            // The owner sends the same update to the other hosts, so a change needs no further action here.
            self.limits.merge(now, &reply.update);
        }
        let wait = match reply.map(|reply| reply.decision) {
            Some(PermitDecision::Granted) => {
                self.log.record(now, server);
                return true;
            }
            Some(PermitDecision::Refused { wait_ms }) => Duration::from_millis(wait_ms.into()),
            None => SILENT_PAUSE,
        };
        self.closed.record(now, server, request.rank, wait);
        false
    }

    /// Applies a server's answer to a request that was sent at `sent_at`; `limit` is the limit that it named, if any.
    /// Returns the resulting change and the observation to send to the server's owner.
    pub fn apply_answer(
        &mut self,
        now: TimePoint,
        sent_at: TimePoint,
        server: ServerKey,
        limit: Option<ServerLimit>,
    ) -> (Option<LimitChange>, Option<LimitObservation>) {
        let change = limit.and_then(|limit| self.limits.apply_answer(now, sent_at, server, limit));
        let update = self.limits.latest(server);
        let is_later = change.is_some() || self.limits.is_later(sent_at, server);
        let observation = (update.limit.is_some() && is_later)
            .then_some(LimitObservation { update, is_named: limit.is_some() });
        (change, observation)
    }

    /// Applies, as the owner, an observation of this host or of another one.
    pub fn apply_observation(
        &mut self,
        now: TimePoint,
        observation: &LimitObservation,
    ) -> Vec<LimitChange> {
        let LimitUpdate { server, version, .. } = observation.update;
        let merged = self.limits.merge(now, &observation.update);
        let counted = self.limits.record_answer(now, server, version, observation.is_named);
        merged.into_iter().chain(counted).collect()
    }

    /// Whether permits for requests of a rank may be requested for a server now.
    pub fn is_open(&self, now: TimePoint, server: ServerKey, rank: CallRank) -> bool {
        self.closed_for(now, server, rank).is_none()
    }

    /// How long no permits for requests of a rank may be requested for a server that has a limit.
    pub fn closed_for(
        &self,
        now: TimePoint,
        server: ServerKey,
        rank: CallRank,
    ) -> Option<Duration> {
        self.limit(now, server)?;
        self.closed.closed_for(now, server, rank)
    }

    /// Drops expired entries; `exists` says whether a server still exists.
    pub fn expire(&mut self, now: TimePoint, exists: impl Fn(ServerKey) -> bool) {
        self.limits.expire(now, exists);
        self.log.expire(now);
        self.closed.expire(now);
        self.cold.expire(now);
    }
}
