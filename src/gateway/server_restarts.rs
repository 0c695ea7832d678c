//! What follows when a server starts again under its id: nothing that its former life did counts.

use super::gateway_host::GatewayHost;
use crate::fleet::{IncarnationChange, IncarnationOutcome, ServerEntry};

impl GatewayHost {
    /// Whether a server that was chosen earlier has started again since.
    pub(super) fn has_restarted(&self, chosen: &ServerEntry) -> bool {
        self.state().fleet.has_restarted(chosen)
    }

    /// Takes note of news of servers, and of those that name other lives than the known ones.
    ///
    /// Whatever is kept under the key of a former life is found by nobody any more, and most of it passes
    /// by itself; what would stay is dropped here.
    pub(super) fn handle_incarnation_changes(&self, revision: u64, changes: &[IncarnationChange]) {
        let now = self.now();
        let mut state = self.state();
        state.record_cold_servers(now);
        for change in changes.iter().filter(|change| !change.is_outdated()) {
            state.server_health.remove(&change.known);
        }
        drop(state);
        for change in changes {
            log_life(revision, change);
        }
    }
}

fn log_life(revision: u64, change: &IncarnationChange) {
    let id = &change.id;
    let (known, told) =
        (start_time_text(change.known_started_at), start_time_text(change.received_started_at));
    match change.outcome {
        IncarnationOutcome::Restarted => log::info!(
            "event=server_restarted server={id} born={told} former={known} revision={revision} \
             outcome=former_life_forgotten"
        ),
        IncarnationOutcome::Outdated => log::info!(
            "event=server_life_outdated server={id} born={told} known={known} revision={revision} \
             outcome=passed_over"
        ),
    }
}

/// When a life began, as logs show it.
pub(super) fn start_time_text(born: Option<u64>) -> String {
    born.map_or_else(|| "unknown".to_owned(), |born| born.to_string())
}
