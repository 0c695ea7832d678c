//! Weighs which of the requests that were at crashes caused them.

use super::crash_record::CrashRecord;
use crate::keys::{RequestKey, ServerKey};
use std::collections::HashMap;

/// Crashes that nobody else explains from which on a request is held back.
pub const CRASHES_TO_HOLD: usize = 3;
/// One more while another request was at all of them: a fourth one tells them apart.
const CRASHES_OF_PAIR: usize = CRASHES_TO_HOLD + 1;

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
}

impl CrashEvidence {
    /// Whether the request is held back.
    pub fn is_enough(&self) -> bool {
        let needed = if self.has_companion { CRASHES_OF_PAIR } else { CRASHES_TO_HOLD };
        self.unexplained >= needed
    }
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
        let crashes = self.crash_count(request);
        if crashes < CRASHES_TO_HOLD {
            return CrashEvidence { crashes, ..CrashEvidence::default() };
        }
        let own = self.suspicion(request);
        // Of several that were alone at one of their crashes each has caused some: none excuses another.
        let explained = |record: &&CrashRecord| {
            !own.was_alone && record.requests.iter().any(|other| self.suspicion(*other) > own)
        };
        let unexplained = self.records(request).filter(|record| !explained(record)).count();
        CrashEvidence {
            crashes,
            unexplained,
            was_alone: own.was_alone,
            has_companion: self.has_companion(request),
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
            let others = record.requests.iter().filter(|other| **other != request);
            others.into_iter().all(|other| self.crash_count(*other) < 2)
        };
        Suspicion { was_alone: crashes >= 2 && self.records(request).any(alone), crashes }
    }

    fn has_companion(&self, request: RequestKey) -> bool {
        let Some(first) = self.records(request).next() else { return false };
        let others = first.requests.iter().filter(|other| **other != request);
        others
            .into_iter()
            .any(|other| self.records(request).all(|record| record.requests.contains(other)))
    }
}
