//! Applies the store's entries of backend servers to the view.

use super::gateway_host::GatewayHost;
use crate::fleet::{FleetChange, ListSpan, ServerStage};
use crate::keys::IdKey;
use crate::platform::{ObjectList, StoreEvent, UnreadableObject, decode_change, decode_servers};

/// Most characters of a name or a cause that are logged; another writer may have made them as long as an object.
const MAX_LOGGED_CHARS: usize = 200;

/// Applies a listing. A listed object that describes no usable server takes the server out of use at once.
pub(super) fn replace_servers(host: &GatewayHost, listed: &ObjectList) {
    let (entries, unreadable) = decode_servers(listed);
    let (count, bad, revision) = (entries.len(), unreadable.len(), listed.revision);
    let whole = listed.is_complete;
    log::info!(
        "event=servers_listed count={count} unreadable={bad} whole={whole} revision={revision}"
    );
    let unusable = unusable_servers(host, &unreadable);
    let span = ListSpan { first: revision, last: listed.newest_revision };
    let now = host.now();
    let mut state = host.state();
    let incarnations = if whole {
        state.fleet.replace_all(now, span, entries)
    } else {
        // The listing is incomplete: servers after its end are unknown and stay as they are.
        let updated = entries.into_iter().map(FleetChange::Updated).collect();
        state.fleet.apply_listed(now, span, updated)
    };
    state.fleet.apply_listed(now, span, unusable);
    drop(state);
    host.handle_incarnation_changes(revision, &incarnations);
}

fn unusable_servers(host: &GatewayHost, unreadable: &[UnreadableObject]) -> Vec<FleetChange> {
    unreadable.iter().filter_map(|object| log_unreadable(host, object)).collect()
}

/// Applies changes. The revision advances even if none of them is usable.
pub(super) fn apply_changes(host: &GatewayHost, revision: u64, events: &[StoreEvent]) {
    if events.is_empty() {
        return;
    }
    let mut applied = Vec::new();
    for event in events {
        match decode_change(event) {
            Ok(change) => {
                log_change(&change, event, revision);
                applied.push(change);
            }
            Err(object) => applied.extend(log_unreadable(host, &object)),
        }
    }
    let now = host.now();
    let incarnations = host.state().fleet.apply(now, revision, applied);
    host.handle_incarnation_changes(revision, &incarnations);
}

fn log_change(change: &FleetChange, event: &StoreEvent, revision: u64) {
    let id = match event {
        StoreEvent::Changed(object) => &object.name,
        StoreEvent::Removed(name) => name,
        StoreEvent::Unreadable(_) => return,
    };
    match change {
        FleetChange::Updated(entry) => {
            let stage = entry.stage.map_or("none", ServerStage::name);
            let (state, domain) = (entry.state, entry.domain.0);
            let version = logged(&entry.version);
            log::info!(
                "event=server_stated server={id} version=\"{version}\" state={state:?} stage={stage} \
                 domain={domain:016x} revision={revision}"
            );
        }
        FleetChange::Removed(_) | FleetChange::Unusable(_) => {
            let id = logged(id);
            log::info!("event=server_removed server={id} revision={revision}");
        }
    }
}

/// Logs an entry that describes no usable server, once for each change of it, and returns the change that
/// takes the server of that name out of use.
fn log_unreadable(host: &GatewayHost, object: &UnreadableObject) -> Option<FleetChange> {
    if host.state().unreadable_objects.insert(object) {
        let (name, revision) = (logged_name(object), object.revision);
        let cause = logged(&object.cause);
        log::warn!("event=server_unreadable server={name} revision={revision} cause=\"{cause}\"");
    }
    object.name.as_deref().map(|name| FleetChange::Unusable(IdKey::of(name)))
}

/// The name of an unreadable object, for a log line.
pub(super) fn logged_name(object: &UnreadableObject) -> String {
    object.name.as_deref().map_or_else(|| "none".to_owned(), logged)
}

/// A text of another writer, escaped to a single line and truncated, for a log line.
pub(super) fn logged(text: &str) -> String {
    text.escape_debug().take(MAX_LOGGED_CHARS).collect()
}
