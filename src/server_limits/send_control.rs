use super::{
    CallRank, ClosedServers, ColdServers, LimitChange, LimitObservation, LimitTable, LimitUpdate,
    PermitDecision, PermitPurpose, PermitReply, PermitRequest, SendLedger, SendLog, ServerLimit,
};
use crate::keys::{IncarnationId, ServerKey, TimePoint};
use std::time::Duration;

/// A server whose owner does not answer is not asked for again for this long.
const SILENT_PAUSE: Duration = Duration::from_millis(250);
/// When a host may ask again that took this one for the owner, and should know better by then.
const MOVED_PAUSE_MS: u32 = 100;

/// All that one host knows, sends and grants under the limits of backend servers.
#[derive(Debug, Default)]
pub struct SendControl {
    /// The limits that servers named.
    pub limits: LimitTable,
    /// What servers bear that have just started.
    pub cold: ColdServers,
    /// What this host sent.
    pub log: SendLog,
    /// Servers whose owners refused.
    pub closed: ClosedServers,
    /// What this host grants as an owner.
    pub ledger: SendLedger,
    sequence: u32,
}

impl SendControl {
    /// What a server takes from all hosts together now, if that is limited.
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

    /// The question of a request of `rank` for `server`, which tells all that was sent there lately.
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

    /// Decides on a question as the owner, or refuses as one that is not (`is_owner`).
    pub fn receive(
        &mut self,
        now: TimePoint,
        from: IncarnationId,
        ask: &PermitRequest,
        is_owner: bool,
    ) -> (PermitReply, Option<LimitChange>) {
        let change = self.limits.merge(now, &ask.update);
        let server = ask.update.server;
        let decision = match self.limit(now, server) {
            None => PermitDecision::Granted,
            Some(_) if !is_owner => PermitDecision::Refused { wait_ms: MOVED_PAUSE_MS },
            Some(limit) => self.ledger.receive(now, from, ask, limit),
        };
        (
            PermitReply { sequence: ask.sequence, update: self.limits.latest(server), decision },
            change,
        )
    }

    /// The reply to a request's question came, or none did. True if it may go; then it counts as sent.
    pub fn apply_reply(
        &mut self,
        now: TimePoint,
        ask: &PermitRequest,
        reply: Option<&PermitReply>,
    ) -> bool {
        let server = ask.update.server;
        if let Some(reply) = reply {
            // What this changes was told by the owner to others as well.
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
        self.closed.record(now, server, ask.rank, wait);
        false
    }

    /// A server answered a request that was sent at `sent_at`, and named `limit` or none. Returns what changed by
    /// it, and what its owner is to be told.
    pub fn apply_answer(
        &mut self,
        now: TimePoint,
        sent_at: TimePoint,
        server: ServerKey,
        limit: Option<ServerLimit>,
    ) -> (Option<LimitChange>, Option<LimitObservation>) {
        let change = limit.and_then(|limit| self.limits.apply_answer(now, sent_at, server, limit));
        let news = self.limits.latest(server);
        let is_later = change.is_some() || self.limits.is_later(sent_at, server);
        let told = (news.limit.is_some() && is_later)
            .then_some(LimitObservation { update: news, is_named: limit.is_some() });
        (change, told)
    }

    /// Takes note, as the owner, of an answer that another host or this one got.
    pub fn apply_observation(
        &mut self,
        now: TimePoint,
        answered: &LimitObservation,
    ) -> Vec<LimitChange> {
        let LimitUpdate { server, version, .. } = answered.update;
        let merged = self.limits.merge(now, &answered.update);
        let counted = self.limits.record_answer(now, server, version, answered.is_named);
        merged.into_iter().chain(counted).collect()
    }

    /// Whether requests of a rank may be asked for at a server now.
    pub fn is_open(&self, now: TimePoint, server: ServerKey, rank: CallRank) -> bool {
        self.closed_for(now, server, rank).is_none()
    }

    /// For how long a server that has a limit takes no requests of a rank.
    pub fn closed_for(
        &self,
        now: TimePoint,
        server: ServerKey,
        rank: CallRank,
    ) -> Option<Duration> {
        self.limit(now, server)?;
        self.closed.closed_for(now, server, rank)
    }

    /// Forgets what is old.
    pub fn expire(&mut self, now: TimePoint, is_there: impl Fn(ServerKey) -> bool) {
        self.limits.expire(now, is_there);
        self.log.expire(now);
        self.closed.expire(now);
        self.cold.expire(now);
    }
}
