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
pub(super) const CONTACT: Duration = Duration::from_secs(3);
/// A host that was told of a limit counts after this.
pub(super) const TOLD_TIME: Duration = Duration::from_millis(500);
/// What a server may get of what its limit allows in a window, and requests beyond that.
const TOLERANCE: f64 = 1.5;
const SLACK: f64 = 5.0;

/// One host of the world of servers' limits.
pub(super) type SendHost = WorldHost<SendControl>;

/// A question that waits for its owner's reply.
#[derive(Debug, Clone)]
pub(super) struct OpenSend {
    pub host: usize,
    pub owner: IncarnationId,
    pub ask: PermitRequest,
    pub until: TimePoint,
    pub request: WorldRequest,
}

/// One caller's request on its way from server to server.
#[derive(Debug, Clone)]
pub(super) struct WorldRequest {
    pub rank: CallRank,
    /// Servers that it may still be sent to, the next one last.
    pub servers: Vec<usize>,
}

/// What hosts send each other.
#[derive(Debug, Clone)]
pub(super) enum SendBody {
    News(Vec<LimitUpdate>),
    Ask(PermitRequest),
    Reply(PermitReply),
    Answered(LimitObservation),
}

/// A request on its way to a server, or its answer on its way back.
#[derive(Debug, Clone, Copy)]
pub(super) struct Flight {
    pub due: TimePoint,
    pub host: usize,
    pub life: IncarnationId,
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
    named: Vec<(TimePoint, Option<ServerLimit>)>,
    /// When each of them arrived, and from which host.
    arrivals: VecDeque<(TimePoint, usize)>,
    /// When each life of a host was first told of the limit.
    told: BTreeMap<IncarnationId, TimePoint>,
    /// Requests that arrived while a limit had stood for long enough, and what it allowed meanwhile.
    pub counted: u64,
    pub allowed: f64,
}

impl LimitedServer {
    pub fn new(place: usize, domain: usize) -> Self {
        Self {
            key: NameKey::of(&format!("server-{place}")),
            domain,
            limit: None,
            named: Vec::new(),
            arrivals: VecDeque::new(),
            told: BTreeMap::new(),
            counted: 0,
            allowed: 0.0,
        }
    }

    /// A request arrived; what broke, if it was one too many. All count that came in the window from hosts that were
    /// told and are not excused, also what they sent before. A window in which none of them came after its host could
    /// know breaks nothing: more may have come in the last second before the naming than is allowed in four.
    pub fn arrive(
        &mut self,
        now: TimePoint,
        host: usize,
        is_counted: impl Fn(usize, &BTreeMap<IncarnationId, TimePoint>) -> bool,
    ) -> Option<String> {
        self.note_limit(now);
        self.arrivals.push_back((now, host));
        while self.arrivals.front().is_some_and(|(at, _)| now.since(*at) >= WINDOW) {
            self.arrivals.pop_front();
        }
        let limit = self.limit_throughout(now)?;
        self.counted += 1;
        let allowed = limit.per_second().mul_add(TOLERANCE * WINDOW.as_secs_f64(), SLACK);
        let counted = self.arrivals.iter().filter(|(_, host)| is_counted(*host, &self.told));
        let counted: Vec<TimePoint> = counted.map(|(at, _)| *at).collect();
        let (got, knowing_from) = (counted.len(), self.limited_since()? + TOLD_TIME);
        if counted.last().is_none_or(|last| *last < knowing_from) {
            return None;
        }
        let at = now.0 / 1000;
        (got as f64 > allowed)
            .then(|| format!("{got} requests in 4 s at {at} ms, {allowed:.1} allowed by {limit}"))
    }

    /// A life of a host is told of the limit.
    pub fn tell(&mut self, now: TimePoint, life: IncarnationId) {
        self.told.entry(life).or_insert(now);
    }

    fn note_limit(&mut self, now: TimePoint) {
        let last = self.named.last().and_then(|(_, limit)| *limit);
        if last == self.limit {
            return;
        }
        if last.is_none() {
            self.told.clear();
        }
        self.named.push((now, self.limit));
    }

    /// Time goes on while the limit stands.
    pub fn allow(&mut self, now: TimePoint, time: Duration) {
        if self.limit_throughout(now).is_some() {
            let limit = self.limit.map(ServerLimit::per_second).unwrap_or_default();
            self.allowed += limit * time.as_secs_f64();
        }
    }

    /// When its answers began to name a limit, and have since.
    fn limited_since(&self) -> Option<TimePoint> {
        let began = self.named.iter().rev().take_while(|(_, limit)| limit.is_some()).last();
        began.map(|(at, _)| *at)
    }

    /// The highest limit of the last seconds, if there was one throughout.
    fn limit_throughout(&self, now: TimePoint) -> Option<ServerLimit> {
        let from = now - CONTACT;
        let first = self.named.iter().rposition(|(at, _)| *at <= from)?;
        let limits = self.named[first..].iter().map(|(_, limit)| *limit);
        let limits: Option<Vec<ServerLimit>> = limits.collect();
        limits?.into_iter().max_by(|one, other| one.per_second().total_cmp(&other.per_second()))
    }
}
