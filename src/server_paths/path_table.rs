use crate::keys::TimePoint;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

/// How long this host's own path to a server is given before a tunnel is tried as well. Within a site a connection is open
/// after two round trips, and a search for memory lasts little longer than this.
const HEAD_START: Duration = Duration::from_millis(40);
/// The same for a path that has failed: little, since the request waits for it.
const RETRY_HEAD_START: Duration = Duration::from_millis(15);
/// First and longest pause between two tries of a path that has failed. A path that accepts connections and carries nothing
/// costs a request at each try.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(500);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(4);
/// Servers that must fail, while no server answers, before the host itself counts as cut off: a single one may be at fault
/// itself.
const FAILURES_TO_CUT_OFF: usize = 2;
/// How long a failure counts without a new one. It exceeds the longest pause between two tries.
const FAILURE_TTL: Duration = Duration::from_secs(8);

/// How long it counts that another host does not reach a server either: some tries of one connection.
const SERVER_FAULT_TTL: Duration = Duration::from_millis(500);

/// How recently a server must have answered this host for it to be known to reach servers. Hosts with little traffic are
/// asked without that if no other can help.
const PROOF_TIME: Duration = Duration::from_millis(500);

/// How a new connection to a server is opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathPlan {
    /// On this host's own path; if that takes longer than the head start or fails, a tunnel is tried too.
    DirectFirst {
        /// How long the own path is tried alone.
        head_start: Duration,
    },
    /// Through a tunnel; the own path is used only if there is none.
    TunnelFirst,
}

/// A change in what this host knows of its paths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathChange {
    /// It reaches no server any more, by the failures at this many servers.
    CutOff {
        /// Servers that failed since any server last answered.
        servers: usize,
    },
    /// A server answered on its own path again, after this time.
    Restored {
        /// Time since the host was found to be cut off.
        after: Duration,
    },
}

/// Failures of this host's own path to one server since it last answered there.
#[derive(Debug, Clone, Copy)]
struct PathFailure {
    /// When a connection could last not be opened.
    unopened_at: Option<TimePoint>,
    /// Since when the last call that was left unanswered on an open connection had waited.
    silent_since: Option<TimePoint>,
    /// Whether a call on a connection that was opened after such a silence was left unanswered as well.
    is_silent_on_new: bool,
    retry: RetryTimer,
}

impl PathFailure {
    fn new(now: TimePoint) -> Self {
        let retry = RetryTimer::new(now);
        Self { unopened_at: None, silent_since: None, is_silent_on_new: false, retry }
    }

    fn last_at(&self) -> TimePoint {
        self.unopened_at.max(self.silent_since).unwrap_or_default()
    }

    fn first_at(&self) -> TimePoint {
        let times = self.unopened_at.into_iter().chain(self.silent_since);
        times.min().unwrap_or_default()
    }

    /// Whether the path itself failed. A silent connection alone proves nothing of a new one.
    const fn is_lost(&self) -> bool {
        self.unopened_at.is_some() || self.is_silent_on_new
    }
}

/// Decides when a path that has failed is tried again, at doubling pauses.
#[derive(Debug, Clone, Copy)]
struct RetryTimer {
    due_at: TimePoint,
    pause: Duration,
}

impl RetryTimer {
    fn new(now: TimePoint) -> Self {
        Self { due_at: now + FIRST_RETRY_PAUSE, pause: FIRST_RETRY_PAUSE }
    }

    /// Whether a try is due; the next one is due after a longer pause.
    fn take(&mut self, now: TimePoint) -> bool {
        if now < self.due_at {
            return false;
        }
        self.pause = (self.pause * 2).min(MAX_RETRY_PAUSE);
        self.due_at = now + self.pause;
        true
    }
}

/// What is known while the host reaches no server.
#[derive(Debug, Clone, Copy)]
struct CutOffState {
    since: TimePoint,
    retry: RetryTimer,
}

/// This host's own paths to servers, by address.
#[derive(Debug, Clone, Default)]
pub struct PathTable {
    failures: HashMap<SocketAddr, PathFailure>,
    /// When another host last found that it does not reach a server either.
    server_faults: HashMap<SocketAddr, TimePoint>,
    /// Servers of this host's failure domain.
    local_servers: HashSet<SocketAddr>,
    /// When any server last answered on an own path.
    answered_at: Option<TimePoint>,
    /// When the last of the connections on which servers answered was opened.
    opened_at: TimePoint,
    cut_off: Option<CutOffState>,
    /// When a tunnel last led to a server to which the own path did not.
    detour_at: Option<TimePoint>,
    /// Idle connections on own paths, on which nothing came since, are not used.
    distrusted_before: TimePoint,
}

impl PathTable {
    /// Decides how a new connection to `server` is opened. A path that has failed is tried first by one connection now
    /// and then.
    pub fn plan(&mut self, now: TimePoint, server: SocketAddr) -> PathPlan {
        if let Some(cut_off) = &mut self.cut_off {
            let is_due = cut_off.retry.take(now);
            return if is_due { retry_plan() } else { PathPlan::TunnelFirst };
        }
        match self.failures.get_mut(&server) {
            Some(failure) if failure.is_lost() => {
                let is_due = failure.retry.take(now);
                if is_due { retry_plan() } else { PathPlan::TunnelFirst }
            }
            Some(_) | None => PathPlan::DirectFirst { head_start: HEAD_START },
        }
    }

    /// Sets which servers are in this host's failure domain.
    pub fn set_local_servers(&mut self, servers: HashSet<SocketAddr>) {
        self.local_servers = servers;
    }

    /// Whether this host reaches no server on its own paths.
    pub const fn is_cut_off(&self) -> bool {
        self.cut_off.is_some()
    }

    /// Whether this host's own paths are known to work apart from the one to `server`: a server answered just now, and new
    /// connections can be opened. If the one to `server` does not work then, the server is at fault itself.
    pub fn is_proven(&self, now: TimePoint, server: SocketAddr) -> bool {
        let is_answered = self.answered_at.is_some_and(|at| now.since(at) < PROOF_TIME);
        let others = self.failures.iter().filter(|(other, _)| **other != server);
        let last_unopened = others.filter_map(|(_, failure)| failure.unopened_at).max();
        is_answered && last_unopened.is_none_or(|at| at < self.opened_at)
    }

    /// Whether an idle connection on an own path, on which an answer last arrived at `answered_at`, may still be used.
    /// Connections usually fall silent together, and each of them would cost a request; they stay dead after the cut.
    pub fn is_direct_usable(&self, answered_at: TimePoint) -> bool {
        answered_at >= self.distrusted_before
    }

    /// Records that a connection to `server` was opened through a tunnel. If the own path to it had failed, the path was at
    /// fault and not the server, and probably not this path alone.
    pub fn record_detour(&mut self, now: TimePoint, server: SocketAddr) {
        let Some(failure) = self.failures.get(&server) else { return };
        // Connections that live on while new ones are refused are not given up at each further detour.
        if self.detour_at.is_none_or(|at| now.since(at) > FAILURE_TTL) {
            self.distrusted_before = self.distrusted_before.max(failure.first_at());
        }
        self.detour_at = Some(now);
    }

    /// Records that a connection to `server` could not be opened on the own path.
    pub fn record_unopened(&mut self, now: TimePoint, server: SocketAddr) -> Option<PathChange> {
        let fault_at = self.server_faults.get(&server);
        if fault_at.is_some_and(|at| now.since(*at) < SERVER_FAULT_TTL) {
            return None;
        }
        self.change_failure(now, server, |failure| failure.unopened_at = Some(now));
        self.update_cut_off(now)
    }

    /// Records that a call to `server` has been unanswered since `sent_at` on a connection that was opened on the own path at
    /// `opened_at`, and that no other call there was answered meanwhile.
    pub fn record_silence(
        &mut self,
        now: TimePoint,
        server: SocketAddr,
        opened_at: TimePoint,
        sent_at: TimePoint,
    ) -> Option<PathChange> {
        self.change_failure(now, server, |failure| {
            failure.is_silent_on_new |= failure.silent_since.is_some_and(|at| opened_at >= at);
            failure.silent_since = Some(sent_at);
        });
        self.update_cut_off(now)
    }

    /// Records that `server` answered on a connection that was opened on the own path at `opened_at`.
    pub fn record_answer(
        &mut self,
        now: TimePoint,
        server: SocketAddr,
        opened_at: TimePoint,
    ) -> Option<PathChange> {
        self.answered_at = Some(now);
        self.opened_at = self.opened_at.max(opened_at);
        if let Some(failure) = self.failures.get_mut(&server) {
            failure.silent_since = None;
            failure.is_silent_on_new = false;
            // A connection that lives on does not show that a new one can be opened.
            failure.unopened_at = failure.unopened_at.filter(|at| opened_at < *at);
            if failure.unopened_at.is_none() {
                self.failures.remove(&server);
            }
        }
        let cut_off = self.cut_off.take()?;
        Some(PathChange::Restored { after: now.since(cut_off.since) })
    }

    /// Records that another host does not reach `server` either: the server is at fault, not the own path.
    pub fn record_server_fault(&mut self, now: TimePoint, server: SocketAddr) {
        self.server_faults.insert(server, now);
        self.failures.remove(&server);
        if self.failures.len() < FAILURES_TO_CUT_OFF {
            self.cut_off = None;
        }
    }

    /// Drops failures that no longer count.
    pub fn expire(&mut self, now: TimePoint) {
        self.failures.retain(|_, failure| now.since(failure.last_at()) < FAILURE_TTL);
        self.server_faults.retain(|_, at| now.since(*at) < SERVER_FAULT_TTL);
        // A host without requests of its own does not notice that its paths work again.
        if self.failures.is_empty() {
            self.cut_off = None;
        }
    }

    fn change_failure(
        &mut self,
        now: TimePoint,
        server: SocketAddr,
        change: impl FnOnce(&mut PathFailure),
    ) {
        let failure = self.failures.entry(server).or_insert_with(|| PathFailure::new(now));
        let was_lost = failure.is_lost();
        change(failure);
        if failure.is_lost() && !was_lost {
            failure.retry = RetryTimer::new(now);
        }
    }

    /// Concludes from failures at several servers, without an answer of any server since, that the host itself is cut off.
    fn update_cut_off(&mut self, now: TimePoint) -> Option<PathChange> {
        if self.cut_off.is_some() {
            return None;
        }
        let answered_at = self.answered_at;
        let counts = |at: &TimePoint| {
            now.since(*at) < FAILURE_TTL && answered_at.is_none_or(|answered_at| *at > answered_at)
        };
        let failed = self.failures.iter().map(|(server, failure)| (*server, failure.last_at()));
        let failed: Vec<(SocketAddr, TimePoint)> = failed.filter(|(_, at)| counts(at)).collect();
        // A partition between failure domains leaves a host the servers of its own one.
        let is_domain_lost = self.local_servers.is_empty()
            || failed.iter().any(|(server, _)| self.local_servers.contains(server));
        if failed.len() < FAILURES_TO_CUT_OFF || !is_domain_lost {
            return None;
        }
        let first_failure_at = failed.iter().map(|(_, at)| *at).min().unwrap_or(now);
        self.distrusted_before = self.distrusted_before.max(first_failure_at);
        self.cut_off = Some(CutOffState { since: now, retry: RetryTimer::new(now) });
        Some(PathChange::CutOff { servers: failed.len() })
    }
}

const fn retry_plan() -> PathPlan {
    PathPlan::DirectFirst { head_start: RETRY_HEAD_START }
}
