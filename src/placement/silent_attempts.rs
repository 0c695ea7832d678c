use crate::keys::{ServerKey, TimePoint};
use std::time::Duration;

/// The attempts at one request that are running, and when another server is searched for beside them.
///
/// Answers the load of servers that stand still with calls in flight: no attempt is ended for its silence, since its server
/// may go on, but a request whose servers are all silent may be sent to one more.
#[derive(Debug, Clone)]
pub struct SilentAttempts {
    /// How long an attempt runs before it is silent.
    silence: Duration,
    running: Vec<(ServerKey, TimePoint)>,
    /// When a search last found no server.
    searched_at: Option<TimePoint>,
}

impl SilentAttempts {
    /// No attempt; those that begin are silent after `silence`.
    pub const fn new(silence: Duration) -> Self {
        Self { silence, running: Vec::new(), searched_at: None }
    }

    /// Records that the request is sent to `server` at `now`.
    pub fn begin(&mut self, now: TimePoint, server: ServerKey) {
        self.running.push((server, now));
        self.searched_at = None;
    }

    /// Records that the attempt at `server` ended.
    pub fn end(&mut self, server: ServerKey) {
        self.running.retain(|(key, _)| *key != server);
    }

    /// Records that a search at `now` found no server, or none that the retry budget allows.
    pub const fn record_search(&mut self, now: TimePoint) {
        self.searched_at = Some(now);
    }

    /// Whether an attempt is running.
    pub const fn is_any_running(&self) -> bool {
        !self.running.is_empty()
    }

    /// When all running attempts are silent, or a search that found nothing is repeated; `None` if none is running and
    /// the search does not wait.
    pub fn search_due_at(&self) -> Option<TimePoint> {
        let last_begun_at = self.running.iter().map(|(_, begun_at)| *begun_at).max()?;
        Some(self.searched_at.map_or(last_begun_at, |at| at.max(last_begun_at)) + self.silence)
    }
}
