use crate::keys::{ServerKey, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

/// A server that runs requests of this host and has sent no event of any of them for this long counts as silent: a few times the
/// longest pause after which a caller's answer is in time.
pub const SILENT_AFTER: Duration = Duration::from_millis(750);

#[derive(Debug, Clone, Copy)]
struct ServerHearing {
    runs: u32,
    heard_at: TimePoint,
}

/// When this host last heard of the servers that run its requests.
#[derive(Debug, Clone, Default)]
pub struct HearingTable {
    servers: HashMap<ServerKey, ServerHearing>,
}

impl HearingTable {
    /// Records that a run begins at a server, which has just granted memory for it.
    pub fn record_begin(&mut self, now: TimePoint, server: ServerKey) {
        let known = self.servers.entry(server).or_insert(ServerHearing { runs: 0, heard_at: now });
        known.runs += 1;
        known.heard_at = now;
    }

    /// Records an event of a run.
    pub fn record_event(&mut self, now: TimePoint, server: ServerKey) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.heard_at = now;
        }
    }

    /// Records that a run has ended, or its connection was closed.
    pub fn record_end(&mut self, server: ServerKey) {
        let Some(known) = self.servers.get_mut(&server) else { return };
        known.runs = known.runs.saturating_sub(1);
        if known.runs == 0 {
            self.servers.remove(&server);
        }
    }

    /// Whether a server is silent. Of servers that run nothing of this host nothing is known.
    pub fn is_silent(&self, now: TimePoint, server: ServerKey) -> bool {
        self.servers.get(&server).is_some_and(|known| now.since(known.heard_at) >= SILENT_AFTER)
    }
}
