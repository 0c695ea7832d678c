use super::world_host::WorldHost;
use crate::keys::{IncarnationId, NameKey, ServerKey, TimePoint};
use crate::server_limits::{
    CallRank, LimitObservation, LimitUpdate, PermitReply, PermitRequest, SendControl, ServerLimit,
};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Length of the windows in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// After this time, all hosts must know about a changed limit.
pub(super) const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Requests of a host count once this time has passed since the host was informed of a limit.
pub(super) const NOTICE_TIME: Duration = Duration::from_millis(500);
/// A server may receive this multiple of what its limit allows in a window, and this many requests beyond that.
const TOLERANCE: f64 = 1.5;
const SLACK: f64 = 5.0;

/// One host of the send world.
pub(super) type SendHost = WorldHost<SendControl>;

/// A permit request that waits for the owner's reply, and the request to send.
#[derive(Debug, Clone)]
pub(super) struct PendingSend {
    pub host: usize,
    pub owner: IncarnationId,
    pub permit_request: PermitRequest,
    pub expires_at: TimePoint,
    pub request: CallerRequest,
}

/// A caller's request, which is offered to one server after the other.
#[derive(Debug, Clone)]
pub(super) struct CallerRequest {
    pub rank: CallRank,
    /// Servers that the request may still be sent to, the next one last.
    pub servers: Vec<usize>,
}

/// A message between hosts.
#[derive(Debug, Clone)]
pub(super) enum SendMessage {
    Updates(Vec<LimitUpdate>),
    PermitRequest(PermitRequest),
    PermitReply(PermitReply),
    Observation(LimitObservation),
}

/// A request in flight to a server, or its answer in flight to the host.
#[derive(Debug, Clone, Copy)]
pub(super) struct InFlightCall {
    pub due: TimePoint,
    pub host: usize,
    pub incarnation: IncarnationId,
    pub server: usize,
    /// Send time on the host's own clock.
    pub sent_at: TimePoint,
    /// None for a request; for an answer, the limit that it names, if any.
    pub answer: Option<Option<ServerLimit>>,
}

/// A server that may have a limit, which its answers name, and that counts the requests that arrive.
#[derive(Debug)]
pub(super) struct LimitedServer {
    pub key: ServerKey,
    pub domain: usize,
    pub limit: Option<ServerLimit>,
    /// When the server changed to each limit, or to none.
    limit_changes: Vec<(TimePoint, Option<ServerLimit>)>,
    /// When each request of the window arrived, and from which host.
    arrivals: VecDeque<(TimePoint, usize)>,
    /// When each incarnation of a host was first informed of the limit.
    informed_at: BTreeMap<IncarnationId, TimePoint>,
    /// Requests that arrived while a limit had been in force for long enough, and how many it allowed in that time.
    pub counted: u64,
    pub allowed: f64,
}

impl LimitedServer {
    pub fn new(index: usize, domain: usize) -> Self {
        Self {
            key: NameKey::of(&format!("server-{index}")),
            domain,
            limit: None,
            limit_changes: Vec::new(),
            arrivals: VecDeque::new(),
            informed_at: BTreeMap::new(),
            counted: 0,
            allowed: 0.0,
        }
    }

    /// Records a request that arrives, and returns the violation if it is one too many. All requests in the window
    /// count if their hosts are informed and not exempt, including requests that were sent before the hosts were
    /// informed. A window in which no counted request arrived after hosts could know the limit is no violation: in the
    /// last second before the limit was named, more requests may have arrived than it allows in four.
    pub fn record_arrival(
        &mut self,
        now: TimePoint,
        host: usize,
        is_counted: impl Fn(usize, &BTreeMap<IncarnationId, TimePoint>) -> bool,
    ) -> Option<String> {
        self.record_limit(now);
        self.arrivals.push_back((now, host));
        while self.arrivals.front().is_some_and(|(at, _)| now.since(*at) >= WINDOW) {
            self.arrivals.pop_front();
        }
        let limit = self.limit_throughout(now)?;
        self.counted += 1;
        let allowed = limit.per_second().mul_add(TOLERANCE * WINDOW.as_secs_f64(), SLACK);
        let counted = self.arrivals.iter().filter(|(_, host)| is_counted(*host, &self.informed_at));
        let counted: Vec<TimePoint> = counted.map(|(at, _)| *at).collect();
        let (count, known_from) = (counted.len(), self.limited_since()? + NOTICE_TIME);
        if counted.last().is_none_or(|last| *last < known_from) {
            return None;
        }
        let at = now.0 / 1000;
        (count as f64 > allowed)
            .then(|| format!("{count} requests in 4 s at {at} ms, {allowed:.1} allowed by {limit}"))
    }

    /// Records that an incarnation of a host is informed of the limit.
    pub fn record_informed(&mut self, now: TimePoint, incarnation: IncarnationId) {
        self.informed_at.entry(incarnation).or_insert(now);
    }

    fn record_limit(&mut self, now: TimePoint) {
        let last = self.limit_changes.last().and_then(|(_, limit)| *limit);
        if last == self.limit {
            return;
        }
        if last.is_none() {
            self.informed_at.clear();
        }
        self.limit_changes.push((now, self.limit));
    }

    /// Adds what the limit allows during `time` if it has been in force for long enough.
    pub fn accrue_allowance(&mut self, now: TimePoint, time: Duration) {
        if self.limit_throughout(now).is_some() {
            let limit = self.limit.map(ServerLimit::per_second).unwrap_or_default();
            self.allowed += limit * time.as_secs_f64();
        }
    }

    /// When the current period in which the server has a limit began.
    fn limited_since(&self) -> Option<TimePoint> {
        let first = self.limit_changes.iter().rev().take_while(|(_, limit)| limit.is_some()).last();
        first.map(|(at, _)| *at)
    }

    /// The highest limit of the last seconds, if a limit was in force throughout.
    fn limit_throughout(&self, now: TimePoint) -> Option<ServerLimit> {
        let from = now - PROPAGATION_TIME;
        let first = self.limit_changes.iter().rposition(|(at, _)| *at <= from)?;
        let limits = self.limit_changes[first..].iter().map(|(_, limit)| *limit);
        let limits: Option<Vec<ServerLimit>> = limits.collect();
        limits?.into_iter().max_by(|one, other| one.per_second().total_cmp(&other.per_second()))
    }
}
