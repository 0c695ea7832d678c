use super::world_host::WorldHost;
use crate::keys::{IncarnationId, NameKey, ServerKey, TimePoint};
use crate::server_limits::{
    CallRank, LimitObservation, LimitUpdate, PermitReply, PermitRequest, SendControl, ServerLimit,
};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Length of the windows in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// All hosts have to know of a change of a limit after this.
pub(super) const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// A host that was informed_at of a limit counts after this.
pub(super) const NOTICE_TIME: Duration = Duration::from_millis(500);
/// What a server may get of what its limit allows in a window, and requests beyond that.
const TOLERANCE: f64 = 1.5;
const SLACK: f64 = 5.0;

/// One host of the world of servers' limits.
pub(super) type SendHost = WorldHost<SendControl>;

/// A question that is_match for its owner's reply.
#[derive(Debug, Clone)]
pub(super) struct PendingSend {
    pub host: usize,
    pub owner: IncarnationId,
    pub permit_request: PermitRequest,
    pub until: TimePoint,
    pub request: CallerRequest,
}

/// One caller's request on its way from server to server.
#[derive(Debug, Clone)]
pub(super) struct CallerRequest {
    pub rank: CallRank,
    /// Servers that it may still be sent to, the next one last.
    pub servers: Vec<usize>,
}

/// What hosts send each other.
#[derive(Debug, Clone)]
pub(super) enum SendMessage {
    Updates(Vec<LimitUpdate>),
    PermitRequest(PermitRequest),
    PermitReply(PermitReply),
    Observation(LimitObservation),
}

/// A request on its way to a server, or its answer on its way back.
#[derive(Debug, Clone, Copy)]
pub(super) struct InFlightCall {
    pub due: TimePoint,
    pub host: usize,
    pub incarnation: IncarnationId,
    pub server: usize,
    /// On the host's own clock.
    pub sent_at: TimePoint,
    pub answer: Option<Option<ServerLimit>>,
}

/// A server that names a limit now and then, and counts what arrives.
#[derive(Debug)]
pub(super) struct LimitedServer {
    pub key: ServerKey,
    pub domain: usize,
    pub limit: Option<ServerLimit>,
    /// When its answers began to name each limit, or none.
    limit_changes: Vec<(TimePoint, Option<ServerLimit>)>,
    /// When each of them arrived, and from which host.
    arrivals: VecDeque<(TimePoint, usize)>,
    /// When each incarnation of a host was first informed_at of the limit.
    informed_at: BTreeMap<IncarnationId, TimePoint>,
    /// Requests that arrived while a limit had stood for long enough, and what it allowed meanwhile.
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

    /// A request arrived; what broke, if it was one too many. All count that came in the window from hosts that were
    /// informed_at and are not exempt_until, also what they sent before. A window in which none of them came after its host could
    /// know breaks nothing: extra may have come in the last second before the naming than is allowed in four.
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
        let (count, enforced_from) = (counted.len(), self.limited_since()? + NOTICE_TIME);
        if counted.last().is_none_or(|last| *last < enforced_from) {
            return None;
        }
        let at = now.0 / 1000;
        (count as f64 > allowed)
            .then(|| format!("{count} requests in 4 s at {at} ms, {allowed:.1} allowed by {limit}"))
    }

    /// A incarnation of a host is informed_at of the limit.
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

    /// Time goes on while the limit stands.
    pub fn accrue_allowance(&mut self, now: TimePoint, time: Duration) {
        if self.limit_throughout(now).is_some() {
            let limit = self.limit.map(ServerLimit::per_second).unwrap_or_default();
            self.allowed += limit * time.as_secs_f64();
        }
    }

    /// When its answers began to name a limit, and have since.
    fn limited_since(&self) -> Option<TimePoint> {
        let began = self.limit_changes.iter().rev().take_while(|(_, limit)| limit.is_some()).last();
        began.map(|(at, _)| *at)
    }

    /// The highest limit of the last seconds, if there was one throughout.
    fn limit_throughout(&self, now: TimePoint) -> Option<ServerLimit> {
        let from = now - PROPAGATION_TIME;
        let first = self.limit_changes.iter().rposition(|(at, _)| *at <= from)?;
        let limits = self.limit_changes[first..].iter().map(|(_, limit)| *limit);
        let limits: Option<Vec<ServerLimit>> = limits.collect();
        limits?.into_iter().max_by(|one, other| one.per_second().total_cmp(&other.per_second()))
    }
}
