//! Decides which of the requests that were in flight at crashes caused them.

use super::crash_record::{CLOCK_TOLERANCE, CrashRecord};
use crate::keys::{RequestKey, ServerKey, TimePoint};
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// Number of crashes after which a request is held back, if no other request explains them better.
pub const CRASHES_TO_HOLD: usize = 3;
/// One more crash is required while another request was in flight at all of them: a fourth one tells them apart.
const CRASHES_WITH_COMPANION: usize = CRASHES_TO_HOLD + 1;
/// Two more crashes are required for a request that ran on several servers at once: with copies on each of them it is
/// in flight at every crash, whatever the cause. If it does crash servers, it is forwarded twice more; three times
/// could be too late.
const CRASHES_WHEN_SPREAD: usize = CRASHES_TO_HOLD + 2;
/// One more crash suffices if it came this long after the third: a request that crashes servers may be forwarded for
/// three seconds after its third crash, and only rarely later.
const LATE_CRASH: Duration = Duration::from_secs(2);

/// The evidence that a request crashes servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CrashEvidence {
    /// Number of crashes at which the request was in flight.
    pub crashes: usize,
    /// How many of these crashes no other request explains better.
    pub unexplained: usize,
    /// Whether at one of these crashes no other request was in flight that had been at several crashes.
    pub was_alone: bool,
    /// Whether another request was in flight at all of these crashes.
    pub has_companion: bool,
    /// Whether the request ran on several servers at the same time.
    pub is_spread: bool,
    /// Whether the last crash came long after the third one.
    pub is_lasting: bool,
}

impl fmt::Display for CrashEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { crashes, unexplained, was_alone, has_companion, is_spread, is_lasting } = self;
        write!(
            f,
            "crashes={crashes} unexplained={unexplained} alone={was_alone} \
             companion={has_companion} spread={is_spread} lasting={is_lasting}"
        )
    }
}

impl CrashEvidence {
    /// Whether the evidence suffices to hold the request back.
    pub fn is_enough(&self) -> bool {
        let needed = match (self.is_spread, self.has_companion) {
            (true, _) if !self.is_lasting => CRASHES_WHEN_SPREAD,
            (true, _) | (false, true) => CRASHES_WITH_COMPANION,
            (false, false) => CRASHES_TO_HOLD,
        };
        self.unexplained >= needed
    }
}

/// What to do with a request that was in flight at crashes of servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestVerdict {
    /// Forward it.
    Free,
    /// Let it wait: updates about other requests in flight at its crashes may still arrive.
    Unsettled {
        /// Time after which the verdict may have changed.
        wait: Duration,
    },
    /// Hold it back.
    Held,
}

/// Crashes by server, and crashed servers by request.
#[derive(Debug, Clone, Copy)]
pub(super) struct CrashIndex<'a> {
    pub crashes: &'a HashMap<ServerKey, CrashRecord>,
    pub requests: &'a HashMap<RequestKey, Vec<ServerKey>>,
}

/// How strongly a request is suspected. Of two requests in flight at a crash, the more suspected one explains it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Suspicion {
    /// Whether at one of its crashes no other request was in flight that had been at several crashes.
    was_alone: bool,
    crashes: usize,
}

impl CrashIndex<'_> {
    /// The evidence against a request.
    pub fn evidence(&self, request: RequestKey) -> CrashEvidence {
        self.evidence_from(request, |_| true)
    }

    /// The evidence against a request from the crashes that are `counted`. Crashes that are not counted can still show
    /// that another request is the better explanation.
    pub fn evidence_from(
        &self,
        request: RequestKey,
        counted: impl Fn(&CrashRecord) -> bool,
    ) -> CrashEvidence {
        let crashes = self.records(request).filter(|record| counted(record)).count();
        if crashes < CRASHES_TO_HOLD {
            return CrashEvidence { crashes, ..CrashEvidence::default() };
        }
        let own = self.suspicion(request);
        // Each request that was alone at one of its crashes caused some of them, so none of these excuses another.
        let explained = |record: &&CrashRecord| {
            !own.was_alone && record.requests.iter().any(|run| self.suspicion(run.request) > own)
        };
        let counted = self.records(request).filter(|record| counted(record));
        let unexplained = counted.filter(|record| !explained(record)).count();
        CrashEvidence {
            crashes,
            unexplained,
            was_alone: own.was_alone,
            has_companion: self.has_companion(request),
            is_spread: self.is_spread(request),
            is_lasting: self.is_lasting(request),
        }
    }

    fn crash_count(&self, request: RequestKey) -> usize {
        self.requests.get(&request).map_or(0, Vec::len)
    }

    fn records(&self, request: RequestKey) -> impl Iterator<Item = &CrashRecord> {
        let servers = self.requests.get(&request).into_iter().flatten();
        servers.filter_map(|server| self.crashes.get(server))
    }

    fn suspicion(&self, request: RequestKey) -> Suspicion {
        let crashes = self.crash_count(request);
        let alone = |record: &CrashRecord| {
            let mut others = record.requests.iter().filter(|run| run.request != request);
            others.all(|run| self.crash_count(run.request) < 2)
        };
        Suspicion { was_alone: crashes >= 2 && self.records(request).any(alone), crashes }
    }

    fn has_companion(&self, request: RequestKey) -> bool {
        let Some(first) = self.records(request).next() else { return false };
        let mut others = first.requests.iter().filter(|run| run.request != request);
        others.any(|run| self.records(request).all(|record| record.has(run.request)))
    }

    /// Whether the last crash of a request came long after its third one.
    fn is_lasting(&self, request: RequestKey) -> bool {
        let mut times: Vec<TimePoint> =
            self.records(request).map(|record| record.crashed_at).collect();
        times.sort_unstable();
        let third = times.get(CRASHES_TO_HOLD - 1);
        let last = times.last();
        third.zip(last).is_some_and(|(third, last)| last.since(*third) >= LATE_CRASH)
    }

    /// Whether a request was running on one server before it was interrupted on another one.
    fn is_spread(&self, request: RequestKey) -> bool {
        let runs = self.records(request).filter_map(|record| {
            let run = record.run(request)?;
            Some((record.crashed_at, run.started_at))
        });
        let mut runs: Vec<(TimePoint, TimePoint)> = runs.collect();
        runs.sort_unstable();
        runs.windows(2).any(|pair| {
            let [(first_crash, first_start), (crash, start)] = [pair[0], pair[1]];
            start + CLOCK_TOLERANCE < first_crash && first_start + CLOCK_TOLERANCE < crash
        })
    }
}
