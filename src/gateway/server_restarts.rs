//! Handles servers that restart under the same id: whatever is known of the former incarnation no longer applies.

use super::gateway_host::GatewayHost;
use crate::fleet::{IncarnationChange, IncarnationOutcome, ServerEntry};

impl GatewayHost {
    /// Whether a server that was chosen earlier has restarted since.
    pub(super) fn has_restarted(&self, chosen: &ServerEntry) -> bool {
        self.state().fleet.has_restarted(chosen)
    }

    /// Updates the state after a change of server entries, in particular of those that name another incarnation.
    ///
    /// State kept under the key of a former incarnation is never looked up again. Most of it expires on its
    /// own; what would stay is dropped here.
    pub(super) fn handle_incarnation_changes(&self, revision: u64, changes: &[IncarnationChange]) {
        let now = self.now();
        let mut state = self.state();
        state.record_cold_servers(now);
        for change in changes.iter().filter(|change| !change.is_outdated()) {
            state.server_health.remove(&change.known);
            state.shared_health.forget(change.known);
        }
        drop(state);
        for change in changes {
            log_incarnation(revision, change);
        }
    }
}

fn log_incarnation(revision: u64, change: &IncarnationChange) {
    let id = &change.id;
    let (known, received) =
        (start_time_text(change.known_started_at), start_time_text(change.received_started_at));
    match change.outcome {
        IncarnationOutcome::Restarted => log::info!(
            "event=server_restarted server={id} born={received} former={known} revision={revision} \
             outcome=former_life_forgotten"
        ),
        IncarnationOutcome::Outdated => log::info!(
            "event=server_life_outdated server={id} born={received} known={known} revision={revision} \
             outcome=passed_over"
        ),
    }
}

/// The start time of an incarnation, as logs show it.
pub(super) fn start_time_text(started_at: Option<u64>) -> String {
    started_at.map_or_else(|| "unknown".to_owned(), |started_at| started_at.to_string())
}
