use super::crash_record::whole_millis;
use super::part_verdict::SuspectRun;
use super::{PartCrash, SuspectRequest};
use crate::keys::{ServerKey, TimePoint};

/// One crash of a server at which runs had not begun to write.
#[derive(Debug, Clone)]
pub(super) struct PartCrashRecord {
    pub crashed_at: TimePoint,
    /// When this host learned of it.
    pub learned_at: TimePoint,
    pub runs: Vec<SuspectRun>,
    /// How many more times it is sent to other hosts.
    pub sends_left: u8,
    /// Whether the copy in the store contains it.
    pub is_saved: bool,
}

impl PartCrashRecord {
    pub fn update(&self, now: TimePoint, server: ServerKey) -> PartCrash {
        let request = |run: &SuspectRun| SuspectRequest {
            request: run.request,
            ran_ms: whole_millis(self.crashed_at.since(run.started_at)),
            parts: run.parts.clone(),
        };
        PartCrash {
            server,
            age_ms: whole_millis(now.since(self.crashed_at)),
            requests: self.runs.iter().map(request).collect(),
        }
    }
}

/// A part on which a server wrote.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClearedPart {
    pub written_at: TimePoint,
    pub sends_left: u8,
}
