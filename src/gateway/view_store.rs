//! Reads the view from the store: lists and watches of the configuration and the servers.

use super::gateway_host::GatewayHost;
use super::store_contact::{FollowedKind, record_store_answer};
use super::view_loop::FollowStep;
use super::view_servers::{apply_changes, logged, logged_name, replace_servers};
use super::view_source::ViewSource;
use crate::Result;
use crate::platform::{
    ListAge, MAX_OBJECT_BYTES, ROUTES_OBJECT, SERVERS_KIND, StoreEvent, StoreObject,
    UnreadableObject, WatchAnswer, WatchLimits, decode_config,
};
use crate::routes::RouteTable;
use std::sync::Arc;
use std::time::Duration;

/// Timeout until a page of a listing begins; the store usually answers within some milliseconds.
const LIST_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long one watch waits. Each watch costs a call, and a store that stopped answering is detected when
/// the wait and its slack have passed. Another host must then take over within the 2 s in which a change
/// has to be in force.
const WATCH_WAIT: Duration = Duration::from_millis(1000);
/// Wait of a watch that only polls for past changes; the store accepts no shorter one.
const NO_WAIT: Duration = Duration::from_millis(1);
/// How long after its wait a watch may be answered; a slow store answers within 0.3 s.
const WATCH_SLACK: Duration = Duration::from_millis(400);
/// How often a host that lists checks whether another host has sent it a view.
const PEER_VIEW_PERIOD: Duration = Duration::from_millis(100);

/// Lists a kind for the first time, and stops as soon as another host has sent it: of hundreds of hosts
/// that start at the same time, the first ones to finish spare the others the remaining pages.
pub(super) async fn list_unless_received(
    host: &Arc<GatewayHost>,
    kind: FollowedKind,
) -> Result<FollowStep> {
    tokio::select! {
        listed = list(host, kind) => listed,
        () = wait_for_peer_view(host, kind) => Ok(FollowStep::ReceivedFromPeer),
    }
}

async fn wait_for_peer_view(host: &GatewayHost, kind: FollowedKind) {
    while host.known_revision(kind).is_none() {
        tokio::time::sleep(PEER_VIEW_PERIOD).await;
    }
}

/// Lists a kind. The first list of servers after a start may be stale: a list is six pages for 266
/// servers and 61 for 3,000, and only stale lists let 300 hosts that start at the same time stay within
/// the rate limits of the store.
pub(super) async fn list(host: &Arc<GatewayHost>, kind: FollowedKind) -> Result<FollowStep> {
    let asked_at = host.now();
    if kind == FollowedKind::Servers
        && host.known_revision(kind).is_none()
        && let Some(next) = list_stale(host).await?
    {
        return Ok(FollowStep::Complete { next, until: asked_at });
    }
    let listed = host.store.list(kind.name(), ListAge::Newest, LIST_TIMEOUT).await?;
    record_store_answer(host, kind);
    match kind {
        FollowedKind::Routes => {
            for object in &listed.items {
                adopt_object(host, object);
            }
            for object in &listed.unreadable {
                log_unreadable(host, object);
            }
            if listed.is_complete && !listed.unreadable.iter().any(may_be_config) {
                host.record_config_complete(asked_at);
            }
        }
        FollowedKind::Servers => {
            replace_servers(host, &listed);
            host.announce_view(ViewSource::Store);
        }
    }
    Ok(FollowStep::Complete { next: listed.revision, until: asked_at })
}

/// Lists the servers as they were some seconds ago, and fetches the changes since then; `None` if the
/// store no longer has them. The list is not used before the changes have arrived.
async fn list_stale(host: &Arc<GatewayHost>) -> Result<Option<u64>> {
    let kind = SERVERS_KIND;
    let listing = host.store.list(kind, ListAge::Stale, LIST_TIMEOUT);
    let (listed, ()) = tokio::join!(listing, host.read_crashes_first());
    let listed = listed?;
    let limits = WatchLimits { wait: NO_WAIT, slack: LIST_TIMEOUT, max_bytes: usize::MAX };
    let since = host.store.watch(kind, listed.revision, limits).await?;
    let WatchAnswer::Changes(changes, revision) = since else {
        return Ok(None);
    };
    record_store_answer(host, FollowedKind::Servers);
    replace_servers(host, &listed);
    apply_changes(host, revision, &changes);
    // Hosts of other domains that start at the same time list the servers themselves.
    host.announce_view(ViewSource::Peer);
    Ok(Some(revision))
}

/// How often the configuration is read where caller keys depend on its age. For the reading host the
/// configuration is at most this old, for other hosts 0.5 s older. A watch only proves that nothing had
/// changed when it began, a second ago, and costs as many calls.
const READ_PERIOD: Duration = Duration::from_millis(1000);
/// Timeout of a read; a slow store begins to answer within 0.3 s.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Most routes and organisations of a configuration that is read periodically: at about 250 bytes each they
/// are 75 KB, or 10 ms of work for a small host. A larger configuration is watched, and up to 2.5 s old.
const MAX_READ_ENTRIES: usize = 300;

impl GatewayHost {
    /// Whether a kind is read periodically instead of watched.
    pub(super) fn reads_periodically(&self, kind: FollowedKind) -> bool {
        let state = self.state();
        let parts = state.routes.parts();
        let entries = parts.routes.len() + parts.organisations.len();
        let keyed = state.max_config_age().is_some();
        kind == FollowedKind::Routes && keyed && entries <= MAX_READ_ENTRIES
    }
}

/// Reads the configuration, and returns when the next read is due.
pub(super) async fn read_periodically(host: &Arc<GatewayHost>, after: u64) -> Result<FollowStep> {
    let asked_at = host.now();
    let step = read_config(host, after).await?;
    host.record_view_complete(FollowedKind::Routes, asked_at, after);
    tokio::time::sleep(READ_PERIOD.saturating_sub(host.now().since(asked_at))).await;
    Ok(step)
}

/// Reads the configuration. Its current version alone is in force, regardless of versions between `after` and now.
async fn read_config(host: &Arc<GatewayHost>, after: u64) -> Result<FollowStep> {
    let asked_at = host.now();
    let (kind, name) = ROUTES_OBJECT;
    let object = host.store.read(kind, name, READ_TIMEOUT).await?;
    record_store_answer(host, FollowedKind::Routes);
    if let Some(object) = &object {
        adopt_object(host, object);
    }
    host.record_config_complete(asked_at);
    let next = object.map_or(after, |object| object.revision.max(after));
    Ok(FollowStep::Complete { next, until: asked_at })
}

/// Fetches the changes after a revision without waiting for further ones: after an unanswered call, missed changes are
/// needed at once.
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

/// Waits for changes of a kind after a revision.
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
    let max_bytes = match kind {
        // Each version is complete: an answer longer than the longest object holds several, and only the last one counts.
        FollowedKind::Routes => MAX_OBJECT_BYTES,
        FollowedKind::Servers => usize::MAX,
    };
    let limits = WatchLimits { wait, slack: WATCH_SLACK, max_bytes };
    let asked_at = host.now();
    let answer = host.store.watch(kind.name(), after, limits).await?;
    record_store_answer(host, kind);
    let (changes, revision) = match answer {
        WatchAnswer::Changes(changes, revision) => (changes, revision),
        // Only watches of the configuration have a bounded length.
        WatchAnswer::TooLong => return read_config(host, after).await,
        WatchAnswer::HistoryLost => {
            log::warn!("event=store_history_lost kind={} after={after}", kind.name());
            return Ok(FollowStep::HistoryLost);
        }
    };
    match kind {
        FollowedKind::Routes => {
            let mut is_complete = true;
            // The last version is applied first, so that earlier ones need not be decoded.
            for event in changes.iter().rev() {
                match event {
                    StoreEvent::Changed(object) => adopt_object(host, object),
                    StoreEvent::Unreadable(object) => {
                        is_complete &= !may_be_config(object);
                        log_unreadable(host, object);
                    }
                    StoreEvent::Removed(_) => {}
                }
            }
            if is_complete {
                host.record_config_complete(asked_at);
            }
        }
        FollowedKind::Servers => {
            apply_changes(host, revision, &changes);
            if !changes.is_empty() {
                host.announce_view(ViewSource::Store);
            }
        }
    }
    Ok(FollowStep::Complete { next: revision, until: host.now() })
}

/// Whether an unreadable object may be the newest configuration.
fn may_be_config(object: &UnreadableObject) -> bool {
    object.name.as_deref().is_none_or(|name| name == ROUTES_OBJECT.1)
}

/// Logs an unreadable object of the configuration's kind, once for each change of it.
fn log_unreadable(host: &GatewayHost, object: &UnreadableObject) {
    if host.state().unreadable_objects.insert(object) {
        let (name, revision) = (logged_name(object), object.revision);
        let cause = logged(&object.cause);
        log::warn!("event=config_unreadable name={name} revision={revision} cause=\"{cause}\"");
    }
}

/// Adopts a configuration that is newer than the one in force, and notifies other hosts.
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
