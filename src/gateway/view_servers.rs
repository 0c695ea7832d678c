//! Puts what the store says of backend servers into the view.

use super::gateway_host::GatewayHost;
use crate::fleet::{FleetChange, ServerStage};
use crate::keys::IdKey;
use crate::platform::{ObjectList, StoreEvent, UnreadableObject, decode_change, decode_servers};

/// Signs of a name or a cause that are logged; another writer may have made them as long as an object.
const LONGEST_LOGGED: usize = 200;

/// Takes over a listing. What is listed but names no server to use is out of use at once.
pub(super) fn replace_servers(host: &GatewayHost, listed: &ObjectList) {
    let (entries, unreadable) = decode_servers(listed);
    let (count, bad, revision) = (entries.len(), unreadable.len(), listed.revision);
    let whole = listed.is_whole;
    log::info!(
        "event=servers_listed count={count} unreadable={bad} whole={whole} revision={revision}"
    );
    let unusable = note_all(host, &unreadable);
    let now = host.now();
    let mut state = host.state();
    let lives = if whole {
        state.fleet.replace_all(now, revision, entries)
    } else {
        // The listing says nothing of the servers behind its end: they hold.
        let stated = entries.into_iter().map(FleetChange::Updated).collect();
        state.fleet.apply(now, revision, stated)
    };
    state.fleet.apply(now, revision, unusable);
    drop(state);
    host.handle_incarnation_changes(revision, &lives);
}

fn note_all(host: &GatewayHost, unreadable: &[UnreadableObject]) -> Vec<FleetChange> {
    unreadable.iter().filter_map(|object| note_unreadable(host, object)).collect()
}

/// Takes over changes. The revision goes on also if none of them can be used.
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
            Err(object) => applied.extend(note_unreadable(host, &object)),
        }
    }
    let now = host.now();
    let lives = host.state().fleet.apply(now, revision, applied);
    host.handle_incarnation_changes(revision, &lives);
}

fn log_change(change: &FleetChange, event: &StoreEvent, revision: u64) {
    let id = match event {
        StoreEvent::Stated(object) => &object.name,
        StoreEvent::Gone(name) => name,
        StoreEvent::Unreadable(_) => return,
    };
    match change {
        FleetChange::Updated(entry) => {
            let stage = entry.stage.map_or("none", ServerStage::name);
            let (state, domain) = (entry.state, entry.domain.0);
            log::info!(
                "event=server_stated server={id} state={state:?} stage={stage} \
                 domain={domain:016x} revision={revision}"
            );
        }
        FleetChange::Removed(_) | FleetChange::Unusable(_) => {
            let id = logged(id);
            log::info!("event=server_removed server={id} revision={revision}");
        }
    }
}

/// Logs an entry that names no server to use, once for each change, and takes a server that was known
/// under its name out of use.
fn note_unreadable(host: &GatewayHost, object: &UnreadableObject) -> Option<FleetChange> {
    if host.state().unreadable_objects.insert(object) {
        let (name, revision) = (logged_name(object), object.revision);
        let cause = logged(&object.cause);
        log::warn!("event=server_unreadable server={name} revision={revision} cause=\"{cause}\"");
    }
    object.name.as_deref().map(|name| FleetChange::Unusable(IdKey::of(name)))
}

/// The name of an unreadable object in a line of the log.
pub(super) fn logged_name(object: &UnreadableObject) -> String {
    object.name.as_deref().map_or_else(|| "none".to_owned(), logged)
}

/// A text of another writer in a line of the log: no line ends, and not as long as an object.
pub(super) fn logged(text: &str) -> String {
    text.escape_debug().take(LONGEST_LOGGED).collect()
}
