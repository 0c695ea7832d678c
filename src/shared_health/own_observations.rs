use super::suspect_server::{ANSWER_DELAY, REPORT_TTL};
use super::{HealthEntry, HealthReport, MAX_ENTRIES, OutgoingReport, ServerObservation};
use crate::keys::{IncarnationId, ServerKey, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

/// Shortest interval between two reports. What happens in between goes into the next one, so that the crash of many
/// servers at once takes few datagrams.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
/// The last report is sent once more after this time, since a datagram may be lost.
const REPEAT_DELAY: Duration = Duration::from_millis(100);
/// A failure that goes on is reported again after this time, before the last report of it expires.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// The latest observation of one server.
#[derive(Debug, Clone, Copy)]
struct OwnObservation {
    observation: ServerObservation,
    at: TimePoint,
    /// Whether the server is in the failure domain of this host.
    is_local: bool,
}

/// What this host observed lately, and when it reports it.
#[derive(Debug, Clone, Default)]
pub(super) struct OwnObservations {
    observations: HashMap<ServerKey, OwnObservation>,
    version: u32,
    sent_at: Option<TimePoint>,
    has_changed: bool,
    /// Whether the change is about a server in the failure domain of this host.
    has_local_change: bool,
    /// Set until the last report is repeated: whether hosts of other domains get it.
    needs_repeat: Option<bool>,
}

impl OwnObservations {
    /// Adds an observation. One that was reported a moment ago is not reported again unless `is_new_to_others`, such as
    /// the result of a trial or a failure after the server's return. Returns whether it is to be reported, for
    /// [`Self::mark_changed`].
    pub fn add(
        &mut self,
        now: TimePoint,
        server: ServerKey,
        observation: ServerObservation,
        is_local: bool,
        is_new_to_others: bool,
    ) -> bool {
        let is_known = self.observations.get(&server).is_some_and(|known| {
            known.observation.is_failure() == observation.is_failure()
                && now.since(known.at) < RENEW_INTERVAL
        });
        if is_known && !is_new_to_others {
            return false;
        }
        self.observations.insert(server, OwnObservation { observation, at: now, is_local });
        true
    }

    /// Takes back observations of a server; the next report no longer contains them.
    pub fn remove(&mut self, server: ServerKey) {
        if let Some(removed) = self.observations.remove(&server) {
            self.mark_changed(removed.is_local);
        }
    }

    /// Drops the failure of a server that has answered since, so that no later report contains it.
    pub fn drop_refuted(&mut self, now: TimePoint, server: ServerKey) {
        let known = self.observations.get(&server);
        if known.is_some_and(|known| {
            known.observation.is_failure() && now.since(known.at) >= ANSWER_DELAY
        }) {
            self.observations.remove(&server);
        }
    }

    /// The state of a host that was suspended: it reports nothing until it observes something, under newer versions.
    pub fn without_observations(&self) -> Self {
        Self { version: self.version, sent_at: self.sent_at, ..Self::default() }
    }

    /// Servers that failed lately.
    pub fn failed(&self, now: TimePoint) -> impl Iterator<Item = ServerKey> {
        let recent = self.observations.iter().filter(move |(_, known)| {
            known.observation.is_failure() && now.since(known.at) < REPORT_TTL
        });
        recent.map(|(server, _)| *server)
    }

    /// Drops observations that are too old to count.
    pub fn expire(&mut self, now: TimePoint) {
        self.observations.retain(|_, known| now.since(known.at) < REPORT_TTL);
    }

    /// Whether a changed report or the repetition of the last one is to be sent now.
    pub fn is_report_due(&self, now: TimePoint) -> bool {
        let is_repeat_due = self.sent_at.is_some_and(|at| now.since(at) >= REPEAT_DELAY);
        self.is_new_report_due(now) || (self.needs_repeat.is_some() && is_repeat_due)
    }

    fn is_new_report_due(&self, now: TimePoint) -> bool {
        self.has_changed && self.sent_at.is_none_or(|at| now.since(at) >= MIN_INTERVAL)
    }

    /// The report to send now, if one is due. Observations of servers for which `is_withheld` holds are left out.
    pub fn due_report(
        &mut self,
        now: TimePoint,
        from: IncarnationId,
        is_withheld: impl Fn(ServerKey) -> bool,
    ) -> Option<OutgoingReport> {
        if !self.is_report_due(now) {
            return None;
        }
        self.expire(now);
        let is_new = self.is_new_report_due(now);
        let repeat = self.needs_repeat.filter(|_| !is_new);
        let is_for_all = repeat.unwrap_or(self.has_local_change);
        self.needs_repeat = is_new.then_some(is_for_all);
        if is_new {
            self.version = self.version.wrapping_add(1);
            (self.has_changed, self.has_local_change) = (false, false);
        }
        self.sent_at = Some(now);
        let report = |is_remote: bool| {
            let mut known: Vec<(ServerKey, OwnObservation)> = self
                .observations
                .iter()
                .map(|(server, known)| (*server, *known))
                .filter(|(server, known)| (known.is_local || !is_remote) && !is_withheld(*server))
                .collect();
            known.sort_by_key(|(server, known)| (std::cmp::Reverse(known.at), *server));
            let entries = known.into_iter().take(MAX_ENTRIES).map(|(server, known)| HealthEntry {
                server,
                observation: known.observation,
                age_ms: u16::try_from(now.since(known.at).as_millis()).unwrap_or(u16::MAX),
            });
            HealthReport { from, version: self.version, entries: entries.collect() }
        };
        Some(OutgoingReport { local: report(false), remote: is_for_all.then(|| report(true)) })
    }

    /// Schedules a report to the hosts of this failure domain and, if `is_local` holds, to all others.
    pub fn mark_changed(&mut self, is_local: bool) {
        self.has_changed = true;
        self.has_local_change |= is_local;
    }
}
