use super::PoolStanding;
use crate::keys::TimePoint;
use std::time::Duration;

/// How long opening a new run for a lost stream is retried; callers give up after a gap of two seconds and more.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1500);
/// The same while no other server answers: one that stands still goes on within seconds, and there is nothing else to try.
const SILENT_RESUME_TIMEOUT: Duration = Duration::from_millis(4000);
/// How long after the other servers were silent they count as going on just now.
const RETURN_TIME: Duration = Duration::from_millis(500);

/// How long a lost stream waits for a server that takes it up.
#[derive(Debug, Clone, Copy)]
pub struct ResumeWait {
    started_at: TimePoint,
    /// When no server that could take it up was last seen to answer.
    silent_at: Option<TimePoint>,
}

impl ResumeWait {
    /// Begins to wait.
    pub fn start(now: TimePoint) -> Self {
        Self { started_at: now, silent_at: None }
    }

    /// Whether a refused opening is tried again. `candidates` are the servers that could take the stream up; a host that is
    /// cut off itself learns nothing from their silence.
    pub fn goes_on(&mut self, now: TimePoint, candidates: PoolStanding, is_cut_off: bool) -> bool {
        let is_silent = candidates.servers > 0 && candidates.silent == candidates.servers;
        if is_silent && !is_cut_off {
            self.silent_at = Some(now);
        }
        let was_silent = self.silent_at.is_some_and(|at| now.since(at) < RETURN_TIME);
        let limit = if was_silent { SILENT_RESUME_TIMEOUT } else { RESUME_TIMEOUT };
        now.since(self.started_at) <= limit
    }
}
