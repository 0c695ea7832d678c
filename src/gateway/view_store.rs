//! Reads the view from the store: lists and watches of the configuration and the servers.

use super::gateway_host::{GatewayHost, ViewSource};
use super::store_contact::{FollowedKind, record_store_answer};
use super::view_loop::FollowStep;
use super::view_servers::{apply_changes, logged, logged_name, replace_servers};
use crate::Result;
use crate::platform::{
    LONGEST_OBJECT, ListAge, ROUTES_OBJECT, SERVERS_KIND, StoreEvent, StoreObject,
    UnreadableObject, WatchAnswer, WatchPlan, decode_config,
};
use crate::routes::RouteTable;
use std::sync::Arc;
use std::time::Duration;

/// A listing's page begins within this; the store's usual answer takes some milliseconds.
const LIST_LIMIT: Duration = Duration::from_millis(1000);
/// How long one watch waits. Each costs a call, and a store that fell silent is noticed when it has
/// passed with its slack. Another host must then have taken over within the 2 s in which a change
/// has to be in force.
const WATCH_WAIT: Duration = Duration::from_millis(1000);
/// A watch that only asks what has changed; the store takes no shorter wait.
const NO_WAIT: Duration = Duration::from_millis(1);
/// How much later than its wait a watch may be answered; a slow store answers within 0.3 s.
const WATCH_SLACK: Duration = Duration::from_millis(400);
/// How often a host that lists looks whether a neighbour was faster.
const HEARD_LOOK: Duration = Duration::from_millis(100);

/// Lists a kind for the first time, or stops as soon as a neighbour has handed it over: of hundreds of
/// hosts that start together the first ones that finish spare the others their pages.
pub(super) async fn list_unless_received(
    host: &Arc<GatewayHost>,
    kind: FollowedKind,
) -> Result<FollowStep> {
    tokio::select! {
        listed = list(host, kind) => listed,
        () = wait_for_peer_view(host, kind) => Ok(FollowStep::Heard),
    }
}

async fn wait_for_peer_view(host: &GatewayHost, kind: FollowedKind) {
    while host.known_revision(kind).is_none() {
        tokio::time::sleep(HEARD_LOOK).await;
    }
}

/// Lists a kind. The first list of servers of a host's life may be stale: it is six pages for 266
/// servers and 61 for 3,000, and 300 hosts that start together ask for them within the rates of the
/// store only so.
pub(super) async fn list(host: &Arc<GatewayHost>, kind: FollowedKind) -> Result<FollowStep> {
    let asked_at = host.now();
    if kind == FollowedKind::Servers
        && host.known_revision(kind).is_none()
        && let Some(next) = list_stale(host).await?
    {
        return Ok(FollowStep::Told { next, until: asked_at });
    }
    let listed = host.store.list(kind.name(), ListAge::Newest, LIST_LIMIT).await?;
    record_store_answer(host, kind);
    match kind {
        FollowedKind::Routes => {
            for object in &listed.items {
                adopt_object(host, object);
            }
            for object in &listed.unreadable {
                note_unreadable(host, object);
            }
            if listed.is_whole && !listed.unreadable.iter().any(hides_config) {
                host.note_config_complete(asked_at);
            }
        }
        FollowedKind::Servers => {
            replace_servers(host, &listed);
            host.announce_view(ViewSource::Store);
        }
    }
    Ok(FollowStep::Told { next: listed.revision, until: asked_at })
}

/// Lists the servers as they were some seconds ago, and what has changed since; `None` if the store
/// no longer knows that. Nothing is believed before both are there.
async fn list_stale(host: &Arc<GatewayHost>) -> Result<Option<u64>> {
    let kind = SERVERS_KIND;
    let listed = host.store.list(kind, ListAge::Stale, LIST_LIMIT).await?;
    let plan = WatchPlan { wait: NO_WAIT, slack: LIST_LIMIT, longest: usize::MAX };
    let since = host.store.watch(kind, listed.revision, plan).await?;
    let WatchAnswer::Changes(changes, revision) = since else {
        return Ok(None);
    };
    record_store_answer(host, FollowedKind::Servers);
    replace_servers(host, &listed);
    apply_changes(host, revision, &changes);
    // Hosts of the other domains that start with this one list by themselves.
    host.announce_view(ViewSource::Peer);
    Ok(Some(revision))
}

/// How often the configuration is read where keys of callers depend on its age: the reading host knows it
/// to be at most this old, and the others 0.5 s more. A watch proves no more than that nothing had changed
/// when it began, a second ago, and costs as many calls.
const READ_PERIOD: Duration = Duration::from_millis(1000);
/// A slow store begins to answer within 0.3 s.
const READ_LIMIT: Duration = Duration::from_millis(500);
/// Routes and organisations up to which a configuration is read anew each time: at about 250 bytes each
/// 75 KB, 10 ms of work for a small host (reckoned). A larger one is watched, and known to be up to 2.5 s old.
const MOST_READ_ENTRIES: usize = 300;

impl GatewayHost {
    /// Whether a kind is read again and again instead of watched.
    pub(super) fn reads(&self, kind: FollowedKind) -> bool {
        let state = self.state();
        let parts = state.routes.parts();
        let entries = parts.routes.len() + parts.organisations.len();
        let keyed = state.max_config_age().is_some();
        kind == FollowedKind::Routes && keyed && entries <= MOST_READ_ENTRIES
    }
}

/// Reads the configuration, and returns when the next read is due.
pub(super) async fn read_periodically(host: &Arc<GatewayHost>, after: u64) -> Result<FollowStep> {
    let asked_at = host.now();
    let step = read_config(host, after).await?;
    host.note_view_complete(FollowedKind::Routes, asked_at, after);
    tokio::time::sleep(READ_PERIOD.saturating_sub(host.now().since(asked_at))).await;
    Ok(step)
}

/// Reads the configuration: it alone says what is in force, whatever came between `after` and now.
async fn read_config(host: &Arc<GatewayHost>, after: u64) -> Result<FollowStep> {
    let asked_at = host.now();
    let (kind, name) = ROUTES_OBJECT;
    let object = host.store.read(kind, name, READ_LIMIT).await?;
    record_store_answer(host, FollowedKind::Routes);
    if let Some(object) = &object {
        adopt_object(host, object);
    }
    host.note_config_complete(asked_at);
    let next = object.map_or(after, |object| object.revision.max(after));
    Ok(FollowStep::Told { next, until: asked_at })
}

/// Asks for what is new after a revision, without waiting for a change: after a call that nobody answered, what may
/// have been missed is wanted at once.
pub(super) async fn poll_changes(
    host: &Arc<GatewayHost>,
    kind: FollowedKind,
    after: u64,
) -> Result<FollowStep> {
    match kind {
        FollowedKind::Routes => read_config(host, after).await,
        FollowedKind::Servers => watch_for(host, kind, after, NO_WAIT).await,
    }
}

/// Waits for changes.
pub(super) async fn watch(
    host: &Arc<GatewayHost>,
    kind: FollowedKind,
    after: u64,
) -> Result<FollowStep> {
    watch_for(host, kind, after, WATCH_WAIT).await
}

async fn watch_for(
    host: &Arc<GatewayHost>,
    kind: FollowedKind,
    after: u64,
    wait: Duration,
) -> Result<FollowStep> {
    let longest = match kind {
        // Each version is whole: more than the longest object are several, and only the last one counts.
        FollowedKind::Routes => LONGEST_OBJECT,
        FollowedKind::Servers => usize::MAX,
    };
    let plan = WatchPlan { wait, slack: WATCH_SLACK, longest };
    let asked_at = host.now();
    let answer = host.store.watch(kind.name(), after, plan).await?;
    record_store_answer(host, kind);
    let (changes, revision) = match answer {
        WatchAnswer::Changes(changes, revision) => (changes, revision),
        // Only those of the configuration are bounded.
        WatchAnswer::TooLong => return read_config(host, after).await,
        WatchAnswer::HistoryLost => {
            log::warn!("event=store_history_lost kind={} after={after}", kind.name());
            return Ok(FollowStep::HistoryLost);
        }
    };
    match kind {
        FollowedKind::Routes => {
            let mut is_known = true;
            // The last version first: of those before it none is decoded.
            for event in changes.iter().rev() {
                match event {
                    StoreEvent::Stated(object) => adopt_object(host, object),
                    StoreEvent::Unreadable(object) => {
                        is_known &= !hides_config(object);
                        note_unreadable(host, object);
                    }
                    StoreEvent::Gone(_) => {}
                }
            }
            if is_known {
                host.note_config_complete(asked_at);
            }
        }
        FollowedKind::Servers => {
            apply_changes(host, revision, &changes);
            if !changes.is_empty() {
                host.announce_view(ViewSource::Store);
            }
        }
    }
    Ok(FollowStep::Told { next: revision, until: host.now() })
}

/// Whether an object that cannot be read may be the newest configuration.
fn hides_config(object: &UnreadableObject) -> bool {
    object.name.as_deref().is_none_or(|name| name == ROUTES_OBJECT.1)
}

/// Logs an object beside the configuration that cannot be read, once for each change.
fn note_unreadable(host: &GatewayHost, object: &UnreadableObject) {
    if host.state().unreadable_objects.insert(object) {
        let (name, revision) = (logged_name(object), object.revision);
        let cause = logged(&object.cause);
        log::warn!("event=config_unreadable name={name} revision={revision} cause=\"{cause}\"");
    }
}

/// Adopts a configuration that is newer than the one in force, and tells others.
fn adopt_object(host: &Arc<GatewayHost>, object: &StoreObject) {
    let known = host.known_revision(FollowedKind::Routes).unwrap_or_default();
    if object.name != ROUTES_OBJECT.1 || object.revision <= known {
        return;
    }
    let parts = decode_config(&object.spec, &host.key_hasher);
    match parts.and_then(RouteTable::try_from) {
        Ok(table) => {
            if host.adopt_routes(object.revision, table, ViewSource::Store) {
                host.announce_view(ViewSource::Store);
            }
        }
        Err(error) => {
            let revision = object.revision;
            log::error!("event=config_unreadable revision={revision} cause=\"{error}\"");
        }
    }
}
