//! Weighs which of the requests that were at crashes caused them.

use super::crash_record::{CLOCK_SLACK, CrashRecord};
use crate::keys::{RequestKey, ServerKey, TimePoint};
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// Crashes that nobody else explains from which on a request is held back.
pub const CRASHES_TO_HOLD: usize = 3;
/// One more while another request was at all of them: a fourth one tells them apart.
const CRASHES_OF_PAIR: usize = CRASHES_TO_HOLD + 1;
/// Two more for one that was at several servers at a time: with copies at each of them it is at every crash, whatever the
/// cause. One that crashes servers is sent on twice more, where three times may be too late.
const CRASHES_OF_SPREAD: usize = CRASHES_TO_HOLD + 2;
/// One more is enough if it came this long after the third: a request that crashes servers may be sent on for three
/// seconds, and hardly later.
const LATE_CRASH: Duration = Duration::from_secs(2);

/// What speaks against a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CrashEvidence {
    /// Crashes at which it was.
    pub crashes: usize,
    /// Those of them that no other request explains better.
    pub unexplained: usize,
    /// At one of them nobody else was who was at several.
    pub was_alone: bool,
    /// Another request was at all of them.
    pub has_companion: bool,
    /// It was at several servers at a time.
    pub is_spread: bool,
    /// The last crash came long after the third one.
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
    /// Whether the request is held back.
    pub fn is_enough(&self) -> bool {
        let needed = match (self.is_spread, self.has_companion) {
            (true, _) if !self.is_lasting => CRASHES_OF_SPREAD,
            (true, _) | (false, true) => CRASHES_OF_PAIR,
            (false, false) => CRASHES_TO_HOLD,
        };
        self.unexplained >= needed
    }
}

/// What becomes of a request that was at crashes of servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestVerdict {
    /// It is sent on.
    Free,
    /// Too young to tell: news of who else was at its crashes may still come. It waits, for so long at first.
    Unsettled {
        /// When something may have changed.
        wait: Duration,
    },
    /// It is held back.
    Held,
}

/// Crashes by server, and by request.
#[derive(Debug, Clone, Copy)]
pub(super) struct CrashIndex<'a> {
    pub crashes: &'a HashMap<ServerKey, CrashRecord>,
    pub requests: &'a HashMap<RequestKey, Vec<ServerKey>>,
}

/// How strongly a request is suspected; the greater one explains a crash at which both were.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Suspicion {
    /// At one of its crashes nobody else was who was at several.
    was_alone: bool,
    crashes: usize,
}

impl CrashIndex<'_> {
    /// What speaks against a request.
    pub fn evidence(&self, request: RequestKey) -> CrashEvidence {
        self.evidence_from(request, |_| true)
    }

    /// What the crashes that are `counted` say against a request; the others still speak for it.
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
        // Of several that were alone at one of their crashes each has caused some: none excuses another.
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

    /// Whether the last crash at which a request was came long after its third one.
    fn is_lasting(&self, request: RequestKey) -> bool {
        let mut times: Vec<TimePoint> =
            self.records(request).map(|record| record.crashed_at).collect();
        times.sort_unstable();
        let third = times.get(CRASHES_TO_HOLD - 1);
        let last = times.last();
        third.zip(last).is_some_and(|(third, last)| last.since(*third) >= LATE_CRASH)
    }

    /// Whether a request was at one server before it was broken off at another one.
    fn is_spread(&self, request: RequestKey) -> bool {
        let runs = self.records(request).filter_map(|record| {
            let run = record.run(request)?;
            Some((record.crashed_at, run.started_at))
        });
        let mut runs: Vec<(TimePoint, TimePoint)> = runs.collect();
        runs.sort_unstable();
        runs.windows(2).any(|pair| {
            let [(first_broke, first_began), (broke, began)] = [pair[0], pair[1]];
            began + CLOCK_SLACK < first_broke && first_began + CLOCK_SLACK < broke
        })
    }
}
