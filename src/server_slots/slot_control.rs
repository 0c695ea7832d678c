use super::contended_servers::CONTENTION_TIME;
use super::{
    ContendedServers, PlaceDecision, PlaceEnd, PlaceOrder, PlaceRelease, PlaceReply, PlaceRequest,
    ServiceTimes, SlotAccount, SlotLedger,
};
use crate::keys::{IncarnationId, ServerKey, TimePoint};
use crate::server_limits::{CallRank, ClosedServers};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Longest wait at the owner. With the round trip it stays below the 65 ms after which the owner counts as silent.
const MAX_WAIT: Duration = Duration::from_millis(40);
/// A server is contended when its known load exceeds its slots by this ratio: the queue is then at least as long as the
/// load of one host may change while it is announced.
const CROWDED_RATIO: f64 = 1.5;
/// How long no place is requested at a server whose owner did not reply: until about the time at which the members
/// agree that a host is dead (2.5 s) and another one owns the server. A host that sends a few requests a second would
/// otherwise delay most of them by the time for which it waits for a reply.
const SILENCE_TIME: Duration = Duration::from_secs(2);
/// No places are granted at servers that answer more slowly than this: a place is held for a second at most, so that a
/// dead host does not block it, and would expire while it is in use. The known loads are also hardly older than their
/// requests.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(1);
/// Most released places that the next requests repeat: about as many as one host releases within [`REPEAT_TIME`].
const MAX_REPEATED: usize = 8;
/// How long a released place is repeated: the longest time for which a place is held.
const REPEAT_TIME: Duration = Duration::from_secs(1);
/// A refused caller returns one to this many mean service times after the next place is free, so that callers that are
/// refused together do not return together.
const RETURN_SPREAD: f64 = 4.0;

/// What a host needs to know of a request to take a place for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlaceNeed {
    /// The order in which requests get places.
    pub order: PlaceOrder,
    /// Time until the caller's deadline.
    pub time_left: Duration,
}

/// The places at plain servers that this host uses and grants.
#[derive(Debug, Default)]
pub struct SlotControl {
    /// Servers whose places are scarce.
    pub contended: ContendedServers,
    /// Servers whose owners had no place for this host's requests.
    pub busy: ClosedServers,
    /// How fast the servers answered this host.
    pub service_times: ServiceTimes,
    /// The accounts from which this host grants places as an owner.
    pub ledger: SlotLedger,
    /// Servers whose owners did not reply, until a place is requested there again.
    silent: HashMap<ServerKey, TimePoint>,
    /// This host's requests that run without a place.
    unplaced: HashMap<ServerKey, u16>,
    /// Places that this host released lately, with the times.
    released: HashMap<ServerKey, VecDeque<(TimePoint, u32)>>,
    /// Sequence of this host's last request for a place.
    sequence: u32,
}

impl SlotControl {
    /// Whether the load of a server is spread over all hosts, so that each of them sees little of it: hosts outnumber
    /// the server's slots. With fewer hosts, a host's own requests tell it more of the server's load than the outdated
    /// load of the others misleads it.
    fn is_spread(hosts: usize, slots: u32) -> bool {
        hosts > slots as usize
    }

    /// Whether a request for this server needs a place. `load` is the known number of requests there, of all hosts.
    pub fn needs_place(
        &mut self,
        now: TimePoint,
        server: ServerKey,
        hosts: usize,
        slots: u32,
        load: u32,
    ) -> bool {
        let is_crowded = f64::from(load) > f64::from(slots) * CROWDED_RATIO;
        if Self::is_spread(hosts, slots) && is_crowded {
            self.contended.record(now, server, CONTENTION_TIME);
        }
        let is_silent = self.silent.get(&server).is_some_and(|until| now < *until);
        self.contended.contains(now, server) && !is_silent && !self.is_slow(server)
    }

    /// Whether hosts choose this server at random rather than by the known loads, which are older than its service time.
    pub fn needs_random_choice(
        &self,
        now: TimePoint,
        server: ServerKey,
        hosts: usize,
        slots: u32,
    ) -> bool {
        let is_outdated = Self::is_spread(hosts, slots) || self.contended.contains(now, server);
        is_outdated && !self.is_slow(server)
    }

    fn is_slow(&self, server: ServerKey) -> bool {
        self.service_times.mean(server).is_some_and(|time| time >= MAX_ANSWER_TIME)
    }

    /// Records that the owner of a server did not reply: requests are sent there without places for a while.
    pub fn record_silence(&mut self, now: TimePoint, server: ServerKey) {
        self.silent.insert(server, now + SILENCE_TIME);
    }

    /// Creates the message to the owner of `server`. Without `may_wait` the owner decides at once.
    pub fn place_request(
        &mut self,
        now: TimePoint,
        from: IncarnationId,
        server: ServerKey,
        need: &PlaceNeed,
        may_wait: bool,
    ) -> PlaceRequest {
        self.sequence = self.sequence.wrapping_add(1).max(1);
        let wait = if may_wait { need.time_left.min(MAX_WAIT) } else { Duration::ZERO };
        let released = self.released.get(&server).into_iter().flatten();
        let recent = released.filter(|(at, _)| now.since(*at) < REPEAT_TIME);
        PlaceRequest {
            from,
            sequence: self.sequence,
            server,
            order: need.order,
            wait_ms: millis(wait),
            left_ms: millis(need.time_left),
            unplaced: self.unplaced.get(&server).copied().unwrap_or_default(),
            released: recent.map(|(_, sequence)| *sequence).collect(),
        }
    }

    /// Records that the owner of a server has no place for a request. It is not asked again for one of the same urgency
    /// that cannot wait until it expects a place.
    pub fn record_busy(&mut self, now: TimePoint, request: &PlaceRequest, wait_ms: u16) {
        let wait = Duration::from_millis(wait_ms.into());
        self.busy.record(now, request.server, request.order.rank, wait);
    }

    /// How long the owner of a server is expected to have no place for a request of this rank.
    pub fn busy_for(&self, now: TimePoint, server: ServerKey, rank: CallRank) -> Option<Duration> {
        self.busy.closed_for(now, server, rank)
    }

    /// When a refused caller should return, if a place is expected to be free after `wait`. `draw` is a random number
    /// from 0 to 1.
    pub fn return_pause(wait: Duration, service_time: Duration, draw: f64) -> Duration {
        wait + service_time.mul_f64((RETURN_SPREAD - 1.0).mul_add(draw, 1.0))
    }

    /// The weights with which hosts choose among servers at random: their slots times their speed.
    pub fn weights(&self, servers: &[(ServerKey, u32)]) -> HashMap<ServerKey, f64> {
        let keys: Vec<ServerKey> = servers.iter().map(|(key, _)| *key).collect();
        let speeds = self.service_times.speeds(&keys);
        let weights = servers.iter().zip(speeds);
        weights.map(|((key, slots), speed)| (*key, f64::from((*slots).max(1)) * speed)).collect()
    }

    /// Records that a request is sent to a server without a place.
    pub fn add_unplaced(&mut self, server: ServerKey) {
        *self.unplaced.entry(server).or_default() += 1;
    }

    /// Records that a request without a place has ended.
    pub fn remove_unplaced(&mut self, server: ServerKey) {
        let Some(count) = self.unplaced.get_mut(&server) else { return };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.unplaced.remove(&server);
        }
    }

    /// Creates the message that releases a place, with how its use ended and how long it took.
    pub fn release(
        &mut self,
        now: TimePoint,
        from: IncarnationId,
        server: ServerKey,
        sequence: u32,
        (end, held): (PlaceEnd, Duration),
    ) -> PlaceRelease {
        let released = self.released.entry(server).or_default();
        released.push_back((now, sequence));
        if released.len() > MAX_REPEATED {
            released.pop_front();
        }
        PlaceRelease { from, sequence, server, end, held_ms: millis(held) }
    }

    /// Records that a server rejected a request of this host. Returns whether the server was not contended before.
    pub fn record_rejection(&mut self, now: TimePoint, server: ServerKey) -> bool {
        self.contended.record(now, server, CONTENTION_TIME)
    }

    /// Decides, as the owner, on a request for a place at a server with `slots` slots; `None` while it waits.
    pub fn receive(
        &mut self,
        now: TimePoint,
        request: &PlaceRequest,
        slots: u32,
    ) -> Option<PlaceDecision> {
        let server = request.server;
        let account = self.open(now, server, slots);
        let decision = account.receive(now, request);
        if account.is_crowded(now) {
            self.contended.record(now, server, CONTENTION_TIME);
        }
        decision
    }

    /// Applies, as the owner, the release of a place.
    pub fn apply_release(&mut self, now: TimePoint, release: &PlaceRelease) {
        if release.end == PlaceEnd::Rejected {
            self.contended.record(now, release.server, CONTENTION_TIME);
        }
        self.ledger.drop_if_suspended(now);
        if let Some(account) = self.ledger.get(release.server) {
            account.release(now, release);
        }
    }

    /// Applies, as the owner, that a server with `slots` slots rejected a request that had no place.
    pub fn apply_rejection(&mut self, now: TimePoint, server: ServerKey, slots: u32) {
        self.contended.record(now, server, CONTENTION_TIME);
        self.open(now, server, slots).record_rejection(now);
    }

    fn open(&mut self, now: TimePoint, server: ServerKey, slots: u32) -> &mut SlotAccount {
        let answer_time = self.service_times.mean(server);
        self.ledger.drop_if_suspended(now);
        self.ledger.open(now, server, slots, answer_time)
    }

    /// The owner's decisions on waiting requests that are due.
    pub fn poll(&mut self, now: TimePoint, own: IncarnationId) -> Vec<(IncarnationId, PlaceReply)> {
        self.ledger.drop_if_suspended(now);
        self.ledger.accounts().flat_map(|(_, account)| account.poll(now, own)).collect()
    }

    /// Whether requests wait for places that this host grants.
    pub fn has_waiting(&mut self) -> bool {
        self.ledger.accounts().any(|(_, account)| account.has_waiting())
    }

    /// Drops expired entries, and accounts of servers that `is_owned` says this host has not owned ever since the last
    /// check. Must be called several times a second.
    pub fn expire(&mut self, now: TimePoint, is_owned: impl Fn(ServerKey) -> bool) {
        self.contended.expire(now);
        self.busy.expire(now);
        self.silent.retain(|_, until| now < *until);
        self.service_times.expire(now);
        self.released.retain(|_, released| {
            released.retain(|(at, _)| now.since(*at) < REPEAT_TIME);
            !released.is_empty()
        });
        let contended = &self.contended;
        self.ledger.retain(now, |server, account| {
            is_owned(server) && (contended.contains(now, server) || account.is_used())
        });
    }
}

fn millis(time: Duration) -> u16 {
    u16::try_from(time.as_millis()).unwrap_or(u16::MAX)
}
