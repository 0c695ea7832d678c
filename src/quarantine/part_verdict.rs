//! Decides which parts of prompts crash servers.

use super::crash_record::CLOCK_TOLERANCE;
use super::crash_verdict::CRASHES_TO_HOLD;
use crate::keys::{PartKey, RequestKey, ServerKey, TimePoint};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// A run that had not begun to write when its server crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SuspectRun {
    pub request: RequestKey,
    /// When it was sent to the server.
    pub started_at: TimePoint,
    /// The shared parts of its prompt that are not cleared.
    pub parts: Vec<PartKey>,
}

/// The crash of a server and the runs that had not begun to write there.
#[derive(Debug, Clone, Copy)]
pub(super) struct SuspectCrash<'a> {
    pub server: ServerKey,
    pub crashed_at: TimePoint,
    pub runs: &'a [SuspectRun],
}

/// Parts that crash servers when a prompt has all of them. There are several only as long as no run tells them apart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct HeldParts {
    pub parts: Vec<PartKey>,
    /// Number of crashes that they explain.
    pub crashes: usize,
    pub first_crash_at: TimePoint,
    pub last_crash_at: TimePoint,
}

impl HeldParts {
    /// Whether a prompt with these shared parts has all of them.
    pub fn are_in(&self, shared_parts: &[PartKey]) -> bool {
        self.parts.iter().all(|part| shared_parts.contains(part))
    }
}

/// How well one part explains crashes; the greater, the better. Of two parts that were in flight at the same crashes, the
/// one in fewer runs is the more specific explanation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PartEvidence {
    /// Crashes of which each run with the part began after the one before. Crashes at the same time are one event for
    /// whatever was in flight at all of them.
    successive: usize,
    crashes: usize,
    runs: Reverse<usize>,
}

/// The parts that crash servers, from `crashes` in the order of their times. The part that explains the most is found
/// first, and the crashes that it explains speak against no other.
pub(super) fn find_held_parts(crashes: &[SuspectCrash<'_>]) -> Vec<HeldParts> {
    let mut candidates = crashes_by_part(crashes);
    let mut found = Vec::new();
    loop {
        // Most parts are at one crash only.
        candidates.retain(|_, crashes| crashes.len() >= CRASHES_TO_HOLD);
        let weighed = candidates.iter().map(|(part, crashes)| (evidence(*part, crashes), *part));
        let Some((evidence, part)) = weighed.max() else { return found };
        if evidence.successive < CRASHES_TO_HOLD {
            return found;
        }
        let Some(explained) = candidates.remove(&part) else { return found };
        let servers: BTreeSet<ServerKey> = explained.iter().map(|crash| crash.server).collect();
        for crashes in candidates.values_mut() {
            crashes.retain(|crash| !servers.contains(&crash.server));
        }
        found.extend(held_parts(common_parts(part, &explained), &explained));
    }
}

/// The crashes at which each part was, in the order of their times.
fn crashes_by_part<'a>(crashes: &[SuspectCrash<'a>]) -> BTreeMap<PartKey, Vec<SuspectCrash<'a>>> {
    let mut by_part: BTreeMap<PartKey, Vec<SuspectCrash<'a>>> = BTreeMap::new();
    for crash in crashes {
        let parts: BTreeSet<PartKey> =
            crash.runs.iter().flat_map(|run| &run.parts).copied().collect();
        for part in parts {
            by_part.entry(part).or_default().push(*crash);
        }
    }
    by_part
}

fn held_parts(parts: Vec<PartKey>, explained: &[SuspectCrash<'_>]) -> Option<HeldParts> {
    let (first, last) = (explained.first()?, explained.last()?);
    Some(HeldParts {
        parts,
        crashes: explained.len(),
        first_crash_at: first.crashed_at,
        last_crash_at: last.crashed_at,
    })
}

fn runs_with<'a>(
    part: PartKey,
    crash: &SuspectCrash<'a>,
) -> impl Iterator<Item = &'a SuspectRun> + use<'a> {
    crash.runs.iter().filter(move |run| run.parts.contains(&part))
}

fn evidence(part: PartKey, crashes: &[SuspectCrash<'_>]) -> PartEvidence {
    let (mut successive, mut count, mut runs) = (0, 0, 0);
    let mut last_at: Option<TimePoint> = None;
    for crash in crashes {
        let Some(started_at) = runs_with(part, crash).map(|run| run.started_at).max() else {
            continue;
        };
        count += 1;
        runs += runs_with(part, crash).count();
        if last_at.is_none_or(|last| started_at + CLOCK_TOLERANCE >= last) {
            successive += 1;
            last_at = Some(crash.crashed_at);
        }
    }
    PartEvidence { successive, crashes: count, runs: Reverse(runs) }
}

/// The parts that all runs with `part` have in common.
fn common_parts(part: PartKey, crashes: &[SuspectCrash<'_>]) -> Vec<PartKey> {
    let mut runs = crashes.iter().flat_map(|crash| runs_with(part, crash));
    let mut common = runs.next().map(|run| run.parts.clone()).unwrap_or_default();
    for run in runs {
        common.retain(|other| run.parts.contains(other));
    }
    common
}
