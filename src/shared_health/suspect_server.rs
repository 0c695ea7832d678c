use super::host_failure::HostFailure;
use super::{HealthChangeKind, ServerStanding};
use crate::keys::{IncarnationId, NameKey, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

/// How long a report counts. Two hosts must report a server within this time. With 190 requests a second over three
/// servers that takes some 20 ms; 2 s suffice for services with little traffic too.
pub const REPORT_TTL: Duration = Duration::from_secs(2);
/// Hosts that must report a server before it is excluded: a single reporter may itself be at fault.
const REPORTERS_TO_EXCLUDE: usize = 2;
/// First pause before a trial. Callers of plain services wait for about a second in all, so a server that has recovered
/// is used again within a quarter of that. A failed trial delays one request, which can be repeated.
pub const INITIAL_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause, for a server that keeps failing after its return. Each return costs a few requests, but while the
/// server is excluded, the other servers may have to refuse many more.
pub const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause after failed trials. A failed trial delays one request that can be repeated, while the exclusion of one
/// server of three costs a third of the service's capacity.
pub const MAX_TRIAL_PAUSE: Duration = Duration::from_secs(1);
/// A server that fails again within this time of its return is not stable, and its pause doubles.
const UNSTABLE_TIME: Duration = Duration::from_secs(10);
/// Longest turn of one host in the order of trials. Each of 71 hosts receives a plain request about every 0.4 s, so a
/// host without one in this time has hardly any traffic.
const MAX_TURN: Duration = Duration::from_secs(1);
/// A request that must run only once becomes the trial only after this time without a repeatable one.
const ONCE_ONLY_WAIT: Duration = Duration::from_secs(1);
/// A trial without a result after this time is abandoned, and the host may make another one. It is the longest time that
/// a server may take for the first event of a run.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(3);
/// By how much the exclusion may begin later at this host than at the one that makes the trial, if only the repetition
/// of a report arrives here. A failure this long before the trial is due here may thus be the trial's result.
const EXCLUSION_SPREAD: Duration = Duration::from_millis(150);
/// An exclusion ends this long after the trial was due if no result is reported: ten hosts had their turn, or the
/// report of a success was lost.
const LAPSE_TIME: Duration = Duration::from_secs(10);
/// An answer this long after the latest failure shows that the server serves again. Answers that were sent before the
/// failure arrive earlier.
pub(super) const ANSWER_DELAY: Duration = Duration::from_millis(100);

/// The turn of this host among the hosts that may try a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TrialTurn {
    /// Number of hosts that come before this one.
    pub place: usize,
    /// Number of hosts that take turns, at least this one.
    pub hosts: usize,
}

/// Why a server is excluded at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ExclusionState {
    since: TimePoint,
    /// Most hosts that reported it at a time.
    reporters: usize,
    /// Whether fewer than two hosts of the server's own failure domain reported it. The link between the domains may
    /// have failed instead of the server, so each domain makes its own trial.
    is_own_domain_only: bool,
}

/// What is known of a server that failed.
#[derive(Debug, Clone)]
pub(super) struct SuspectServer {
    /// Failure domain of the server.
    domain: NameKey,
    /// Latest failure that each host reported, this one included.
    failures: HashMap<IncarnationId, HostFailure>,
    /// Latest failure that any host reported.
    last_failure_at: Option<TimePoint>,
    exclusion: Option<ExclusionState>,
    pause: Duration,
    /// When the last exclusion ended.
    returned_at: Option<TimePoint>,
    /// When a host was last served.
    served_at: Option<TimePoint>,
    /// When this host sent a request on trial that has not ended.
    trial_at: Option<TimePoint>,
}

impl SuspectServer {
    pub fn new(domain: NameKey) -> Self {
        Self {
            domain,
            failures: HashMap::new(),
            last_failure_at: None,
            exclusion: None,
            pause: INITIAL_PAUSE,
            returned_at: None,
            served_at: None,
            trial_at: None,
        }
    }

    pub const fn is_excluded(&self) -> bool {
        self.exclusion.is_some()
    }

    /// When the next trial of the server may be made, if it is excluded.
    pub fn trial_due_at(&self) -> Option<TimePoint> {
        self.exclusion.map(|exclusion| exclusion.since + self.pause)
    }

    /// Whether this host has a trial in flight.
    pub fn is_on_trial(&self, now: TimePoint) -> bool {
        self.trial_at.is_some_and(|at| now.since(at) < TRIAL_TIMEOUT)
    }

    /// Whether a failure that a host observed is known and no host was served since.
    pub fn has_failure_of(&self, host: IncarnationId) -> bool {
        self.failures.contains_key(&host)
    }

    /// Number of hosts whose reports count at `now`.
    pub fn reporters(&self, now: TimePoint) -> usize {
        self.failures.values().filter(|failure| now.since(failure.at) < REPORT_TTL).count()
    }

    /// Rank among the excluded servers of a pool, of which only half may be excluded: those with the most reports come
    /// first. `None` if the server is not excluded.
    pub fn exclusion_rank(&self) -> Option<(std::cmp::Reverse<usize>, TimePoint)> {
        self.exclusion.map(|exclusion| (std::cmp::Reverse(exclusion.reporters), exclusion.since))
    }

    /// Records that `reporter`, a host of `failure.domain`, observed a failure.
    pub fn record_failure(
        &mut self,
        now: TimePoint,
        reporter: IncarnationId,
        failure: HostFailure,
    ) -> Option<HealthChangeKind> {
        if self.served_at.is_some_and(|served_at| failure.at <= served_at) {
            return None;
        }
        let known = self.failures.entry(reporter).or_insert(failure);
        known.at = known.at.max(failure.at);
        self.last_failure_at = self.last_failure_at.max(Some(failure.at));
        let reporters = self.reporters(now);
        let is_own_domain_only = self.is_own_domain_only(now);
        let Some(exclusion) = &mut self.exclusion else {
            return (reporters >= REPORTERS_TO_EXCLUDE).then(|| self.exclude(now, reporters));
        };
        exclusion.reporters = exclusion.reporters.max(reporters);
        exclusion.is_own_domain_only &= is_own_domain_only;
        if failure.at + EXCLUSION_SPREAD < exclusion.since + self.pause {
            return None;
        }
        exclusion.since = now;
        self.pause = self.pause.max((self.pause * 2).min(MAX_TRIAL_PAUSE));
        self.trial_at = None;
        Some(HealthChangeKind::TrialFailed { pause: self.pause })
    }

    fn exclude(&mut self, now: TimePoint, reporters: usize) -> HealthChangeKind {
        let is_unstable = self.returned_at.is_some_and(|at| now.since(at) < UNSTABLE_TIME);
        self.pause = if is_unstable { (self.pause * 2).min(MAX_PAUSE) } else { INITIAL_PAUSE };
        let is_own_domain_only = self.is_own_domain_only(now);
        self.exclusion = Some(ExclusionState { since: now, reporters, is_own_domain_only });
        self.trial_at = None;
        HealthChangeKind::Excluded { reporters, pause: self.pause, is_own_domain_only }
    }

    fn is_own_domain_only(&self, now: TimePoint) -> bool {
        let recent = self.failures.values().filter(|failure| now.since(failure.at) < REPORT_TTL);
        recent.filter(|failure| failure.domain == self.domain).count() < REPORTERS_TO_EXCLUDE
    }

    /// Drops the failure that a host no longer reports. If it was recent, the host took it back, and the exclusion ends
    /// unless other reports suffice for it.
    pub fn withdraw(
        &mut self,
        now: TimePoint,
        reporter: IncarnationId,
    ) -> Option<HealthChangeKind> {
        let failure = self.failures.remove(&reporter)?;
        // An entry that just expired at its sender may seem younger here by its delay on the way.
        let was_recent = now.since(failure.at) < REPORT_TTL * 3 / 4;
        let is_enough = self.reporters(now) >= REPORTERS_TO_EXCLUDE;
        if !was_recent || is_enough {
            return None;
        }
        self.exclusion.take().map(|_| HealthChangeKind::Withdrawn)
    }

    /// Records that this host sends a request to the server.
    pub fn record_sent(&mut self, now: TimePoint) -> Option<HealthChangeKind> {
        let exclusion = self.exclusion?;
        if now < exclusion.since + self.pause || self.is_on_trial(now) {
            return None;
        }
        self.trial_at = Some(now);
        Some(HealthChangeKind::TrialSent)
    }

    /// Records that the trial of this host ended without a result.
    pub fn record_no_result(&mut self) {
        self.trial_at = None;
    }

    /// Whether an answer received at `now` shows that the server serves again.
    pub fn is_proved_by_answer(&self, now: TimePoint) -> bool {
        let is_suspect = self.exclusion.is_some() || !self.failures.is_empty();
        let is_late = |at| now >= at + ANSWER_DELAY;
        is_suspect && self.last_failure_at.is_none_or(is_late)
    }

    /// Records that a host was served at `at`. A host in another failure domain than this one (`is_remote`) proves
    /// nothing if only the link to the server's domain is suspected.
    pub fn record_served(
        &mut self,
        now: TimePoint,
        at: TimePoint,
        is_remote: bool,
    ) -> Option<HealthChangeKind> {
        if is_remote && self.exclusion.is_some_and(|exclusion| exclusion.is_own_domain_only) {
            return None;
        }
        self.served_at = self.served_at.max(Some(at));
        self.failures.retain(|_, failure| failure.at > at);
        if self.last_failure_at >= Some(at) {
            return None;
        }
        self.trial_at = None;
        self.exclusion.take()?;
        self.returned_at = Some(now);
        Some(HealthChangeKind::Readmitted)
    }

    /// How requests of this host may use the server, apart from the limit on excluded servers of a pool. `turn` is this
    /// host's turn among those that may make the trial, given whether only hosts of this host's domain reported the
    /// server.
    pub fn standing(
        &self,
        now: TimePoint,
        turn: impl FnOnce(bool) -> Option<TrialTurn>,
    ) -> ServerStanding {
        let Some(exclusion) = self.exclusion else {
            let is_doubtful = self.reporters(now) > 0;
            return if is_doubtful { ServerStanding::Doubtful } else { ServerStanding::Trusted };
        };
        let due = exclusion.since + self.pause;
        if now < due || self.is_on_trial(now) {
            return ServerStanding::Excluded;
        }
        let Some(turn) = turn(exclusion.is_own_domain_only) else {
            return ServerStanding::Excluded;
        };
        let passed = now.since(due).as_micros() / self.pause.min(MAX_TURN).as_micros();
        let passed = usize::try_from(passed).unwrap_or(usize::MAX);
        if passed % turn.hosts != turn.place {
            return ServerStanding::Excluded;
        }
        let is_overdue = now.since(due) >= ONCE_ONLY_WAIT;
        if is_overdue { ServerStanding::AnyTrial } else { ServerStanding::Trial }
    }

    /// Ends an exclusion for which no trial result has arrived in time.
    pub fn expire(&mut self, now: TimePoint) -> Option<HealthChangeKind> {
        self.failures.retain(|_, failure| now.since(failure.at) < REPORT_TTL);
        let exclusion = self.exclusion?;
        if now < exclusion.since + self.pause + LAPSE_TIME {
            return None;
        }
        self.exclusion = None;
        self.returned_at = Some(now);
        Some(HealthChangeKind::Lapsed)
    }

    /// Whether nothing is left that matters to later decisions.
    pub fn is_forgettable(&self, now: TimePoint) -> bool {
        let is_stable = self.returned_at.is_none_or(|at| now.since(at) >= UNSTABLE_TIME);
        let is_settled = self.served_at.is_none_or(|at| now.since(at) >= REPORT_TTL);
        self.exclusion.is_none() && self.failures.is_empty() && is_stable && is_settled
    }
}
