use crate::keys::TimePoint;
use std::time::Duration;

/// Time after most of a pool was silent in which no further run is opened: servers that went on together send the next
/// events of the silent runs within a few of their steps, much sooner than a prompt is read elsewhere.
const RETURN_TIME: Duration = Duration::from_millis(250);
/// A stream that was silent for longer gets a further run wherever a server answers, even if most of its pool is silent.
/// After this time, those that answer are taken for all there are.
const LONG_SILENCE: Duration = Duration::from_secs(3);
/// Further runs are of no use while more than this part of a pool is silent: each server that answers would receive the
/// streams of two others at once, and read their prompts beside its own work.
const MOSTLY_SILENT: (usize, usize) = (2, 3);

/// How many servers a pool has, and how many of them are silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PoolStanding {
    /// Servers that accept requests.
    pub servers: usize,
    /// Those of them that are silent, or did not answer lately.
    pub silent: usize,
}

impl PoolStanding {
    const fn is_mostly_silent(self) -> bool {
        let (part, whole) = MOSTLY_SILENT;
        self.silent * whole > self.servers * part
    }
}

/// Why no further run is opened at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitReason {
    /// Most servers of the pool are silent.
    PoolSilent,
    /// Most servers of the pool were silent a moment ago.
    PoolReturned,
}

/// Whether a further run is opened beside a silent one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FurtherStep {
    /// It is opened.
    Open,
    /// The silent run alone is waited for, until the question is asked again.
    Wait(WaitReason),
}

/// The silence of one pool, as this host's silent streams found it.
#[derive(Debug, Clone, Copy, Default)]
pub struct PoolSilence {
    /// When most of it was last silent.
    silent_at: Option<TimePoint>,
}

impl PoolSilence {
    /// Decides whether a stream that has been silent for `silent_for` gets a further run.
    pub fn step(
        &mut self,
        now: TimePoint,
        standing: PoolStanding,
        silent_for: Duration,
    ) -> FurtherStep {
        let is_silent = standing.is_mostly_silent();
        if is_silent {
            self.silent_at = Some(now);
        }
        if silent_for >= LONG_SILENCE {
            return FurtherStep::Open;
        }
        if is_silent {
            return FurtherStep::Wait(WaitReason::PoolSilent);
        }
        let is_back = self.silent_at.is_some_and(|at| now.since(at) < RETURN_TIME);
        if is_back { FurtherStep::Wait(WaitReason::PoolReturned) } else { FurtherStep::Open }
    }
}
