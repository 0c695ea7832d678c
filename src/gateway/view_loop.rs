use super::gateway_host::GatewayHost;
use crate::Result;
use crate::fleet::{FleetChange, ServerEntry};
use crate::platform::{
    ROUTES_OBJECT, SERVERS_KIND, StoreObject, WatchAnswer, decode_change, decode_config,
    decode_server,
};
use crate::routes::RouteTable;
use std::sync::Arc;
use std::time::Duration;

/// A listing's page is answered within this; the store's usual answer takes some milliseconds.
const LIST_LIMIT: Duration = Duration::from_millis(1000);
/// How long one watch waits; each costs a call, and a silent one is doubted when it has passed.
const WATCH_WAIT: Duration = Duration::from_millis(1500);
/// How much longer than its wait a watch may take.
const WATCH_SLACK: Duration = Duration::from_millis(400);
/// Pause after the store did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// How often entries that lapsed are looked through.
const EXPIRE_PERIOD: Duration = Duration::from_millis(200);

/// Kinds of objects that a host follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FollowedKind {
    Routes,
    Servers,
}

impl FollowedKind {
    const fn name(self) -> &'static str {
        match self {
            Self::Routes => ROUTES_OBJECT.0,
            Self::Servers => SERVERS_KIND,
        }
    }
}

/// Follows the configuration and the servers in the store, and lets lapsed entries go.
pub(super) async fn run_view(host: Arc<GatewayHost>) {
    tokio::join!(
        follow(&host, FollowedKind::Routes),
        follow(&host, FollowedKind::Servers),
        expire_entries(&host)
    );
}

/// Lists a kind and watches it from there; lists again when the history is lost.
async fn follow(host: &GatewayHost, kind: FollowedKind) {
    let mut revision = None;
    let mut away = false;
    loop {
        let step = match revision {
            None => list(host, kind).await.map(Some),
            Some(after) => watch(host, kind, after).await,
        };
        match step {
            Ok(next) => {
                if std::mem::take(&mut away) {
                    log::info!("event=store_regained kind={}", kind.name());
                }
                note_heard(host, kind);
                revision = next;
            }
            Err(error) => {
                if !std::mem::replace(&mut away, true) {
                    log::warn!("event=store_lost kind={} cause=\"{error}\"", kind.name());
                }
                if kind == FollowedKind::Servers {
                    host.state().fleet.note_store_lost();
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn note_heard(host: &GatewayHost, kind: FollowedKind) {
    if kind == FollowedKind::Servers {
        let now = host.now();
        host.state().fleet.note_store_heard(now);
    }
}

async fn list(host: &GatewayHost, kind: FollowedKind) -> Result<u64> {
    let listed = host.store.list(kind.name(), LIST_LIMIT).await?;
    note_heard(host, kind);
    match kind {
        FollowedKind::Routes => {
            for object in &listed.items {
                adopt_routes(host, object);
            }
        }
        FollowedKind::Servers => {
            let entries: Vec<ServerEntry> =
                listed.items.iter().filter(|o| !o.deleting).filter_map(read_server).collect();
            log::info!(
                "event=servers_listed count={} revision={}",
                entries.len(),
                listed.revision
            );
            let now = host.now();
            host.state().fleet.replace_all(now, listed.revision, entries);
        }
    }
    Ok(listed.revision)
}

/// Waits for changes; `None` if the history is lost.
async fn watch(host: &GatewayHost, kind: FollowedKind, after: u64) -> Result<Option<u64>> {
    let limit = WATCH_WAIT + WATCH_SLACK;
    let answer = host.store.watch(kind.name(), after, WATCH_WAIT, limit).await?;
    note_heard(host, kind);
    let WatchAnswer::Changes(changes, revision) = answer else {
        log::warn!("event=store_history_lost kind={} after={after}", kind.name());
        return Ok(None);
    };
    match kind {
        FollowedKind::Routes => {
            for (object, gone) in &changes {
                if !gone {
                    adopt_routes(host, object);
                }
            }
        }
        FollowedKind::Servers => apply_changes(host, revision, &changes),
    }
    Ok(Some(revision))
}

fn apply_changes(host: &GatewayHost, revision: u64, changes: &[(StoreObject, bool)]) {
    let mut applied = Vec::new();
    for (object, gone) in changes {
        match decode_change(object, *gone) {
            Ok(change) => {
                log_change(&change, &object.name, revision);
                applied.push(change);
            }
            Err(error) => {
                log::warn!("event=server_unreadable server={} cause=\"{error}\"", object.name);
            }
        }
    }
    let now = host.now();
    host.state().fleet.apply(now, revision, applied);
}

fn log_change(change: &FleetChange, id: &str, revision: u64) {
    match change {
        FleetChange::Stated(entry) => {
            let stage = entry.stage.map_or("none", crate::fleet::ServerStage::name);
            let (state, domain) = (entry.state, entry.domain.0);
            log::info!(
                "event=server_stated server={id} state={state:?} stage={stage} \
                 domain={domain:016x} revision={revision}"
            );
        }
        FleetChange::Removed(_) => {
            log::info!("event=server_removed server={id} revision={revision}");
        }
    }
}

fn read_server(object: &StoreObject) -> Option<ServerEntry> {
    decode_server(object)
        .inspect_err(|error| {
            log::warn!("event=server_unreadable server={} cause=\"{error}\"", object.name);
        })
        .ok()
}

/// Adopts a configuration that is newer than the one in force.
fn adopt_routes(host: &GatewayHost, object: &StoreObject) {
    if object.name != ROUTES_OBJECT.1 {
        return;
    }
    let table: RouteTable = match decode_config(&object.spec) {
        Ok(table) => table,
        Err(error) => {
            let revision = object.revision;
            log::error!("event=config_unreadable revision={revision} cause=\"{error}\"");
            return;
        }
    };
    let mut state = host.state();
    let (old, new) = (state.routes.version, table.version);
    if new > old {
        state.routes = Arc::new(table);
        drop(state);
        log::info!("event=config_adopted version={new} replaced={old} revision={}", object.revision);
    }
}

async fn expire_entries(host: &GatewayHost) {
    let mut ticker = tokio::time::interval(EXPIRE_PERIOD);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticker.tick().await;
        let now = host.now();
        let lapsed = {
            let mut state = host.state();
            state.board.expire(now);
            state.fleet.expire(now)
        };
        for entry in lapsed {
            log::info!("event=server_lapsed server={}", entry.id);
        }
    }
}
