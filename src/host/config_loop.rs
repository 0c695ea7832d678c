//! Learns confirmed configurations: from the store by a few watchers, from each other by the rest.

use super::host_state::{HostState, lock};
use crate::intents::ClusterConfig;
use crate::keys::{NameKey, mix_hash};
use crate::membership::{TableAction, ViewMark};
use crate::peers::{PeerReply, PeerRequest, PeerTimeouts};
use crate::placement::rendezvous_rank;
use crate::platform::INTENT_OBJECT;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Hosts of each failure domain that keep a watch at the store.
const WATCHERS_PER_DOMAIN: usize = 2;
/// A connection that falls silent is noticed when a watch on it has passed, and a change has to be in force in each
/// failure domain within seconds.
const WATCH_WAIT: Duration = Duration::from_secs(4);
const LOOK_AGAIN: Duration = Duration::from_millis(500);
/// A host that knows for this long that others have a newer version, and has not got it from them, reads it itself.
const BEHIND_LIMIT: Duration = Duration::from_millis(1500);
/// Every host reads the object itself this often, whatever the others say; rarely, since at two
/// years' size it is half a megabyte (docs/CAPACITY.md).
const READ_EVERY: Duration = Duration::from_secs(1800);
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(500);
/// A configuration may be half a megabyte.
const FETCH_PATIENCE: PeerTimeouts =
    PeerTimeouts { reply: Duration::from_millis(500), pause: Duration::from_millis(500) };
const PUSH_FAN_OUT: usize = 4;
/// Hosts of each other failure domain that are told as well.
const PUSH_ABROAD: usize = 1;

/// Runs for as long as the daemon.
pub(super) async fn run_config_loop(host: Arc<HostState>) {
    let mut last_read = None;
    // Where the own watch goes on; nothing until the configuration was listed.
    let mut position = None;
    loop {
        let now = host.now();
        let due = last_read.is_none_or(|at| now.since(at) >= READ_EVERY) || host.is_behind();
        let watches = is_watcher(&host);
        if !watches && !due && host.config().version > 0 {
            tokio::time::sleep(LOOK_AGAIN).await;
            continue;
        }
        last_read = Some(now);
        let heard = match position {
            Some(after) if watches && host.config().version > 0 => {
                host.watch_config(after, WATCH_WAIT).await
            }
            _ => host.list_config().await.map(|(_config, revision)| revision),
        };
        position = heard.as_ref().ok().copied();
        match heard {
            Ok(_) => {
                let version = host.config().version;
                lock(&host.config_freshness).record_complete(now, version);
                if version == 0 {
                    tokio::time::sleep(PAUSE_AFTER_FAILURE / 4).await;
                }
            }
            Err(error) => {
                log::debug!("event=store_unanswered kind=config cause=\"{error}\"");
                if host.config().version == 0 {
                    host.ask_neighbours().await;
                }
                // Spread over a second, so that hosts do not return to the store all at once.
                let spread = Duration::from_millis(rand::random::<u64>() % 500);
                tokio::time::sleep(PAUSE_AFTER_FAILURE + spread).await;
            }
        }
    }
}

fn is_watcher(host: &HostState) -> bool {
    let members = lock(&host.members);
    let thing = NameKey::of(INTENT_OBJECT.0).0;
    let own = rendezvous_rank(thing, host.incarnation.0);
    let ahead = members
        .owners(host.domain())
        .filter(|(candidate, _)| rendezvous_rank(thing, *candidate) > own)
        .count();
    ahead < WATCHERS_PER_DOMAIN
}

impl HostState {
    /// Puts a confirmed configuration in force if it is newer, and passes the news on.
    pub(super) fn adopt_config(self: &Arc<Self>, config: ClusterConfig) {
        let version = config.version;
        if !lock(&self.config).adopt(config) {
            return;
        }
        log::info!("event=config_adopted version={version}");
        let actions = {
            let mut members = lock(&self.members);
            members.set_view(ViewMark { config_version: version, fleet_revision: 0 });
            members.push_updates(PUSH_FAN_OUT, PUSH_ABROAD)
        };
        self.execute_actions(actions);
        let config = self.config();
        for (key, server) in lock(&self.owned).iter_mut() {
            if let Some(spec) = config.server(*key) {
                server.book.set_spec(spec.clone());
            }
        }
    }

    pub(super) fn execute_actions(self: &Arc<Self>, actions: Vec<TableAction>) {
        for action in actions {
            match action {
                TableAction::Send(address, message) => {
                    if let Ok(bytes) =
                        crate::peers::seal_datagram(&self.settings.shared_key, &message)
                    {
                        let _ = self.outbox.send((address, bytes));
                    }
                }
                TableAction::FetchView(address) => self.fetch_config(address),
                TableAction::Compare(address) => self.compare_members(address),
                TableAction::Died(incarnation) => {
                    log::info!("event=member_died incarnation={incarnation}");
                    for server in lock(&self.owned).values_mut() {
                        server.book.slots.mark_unconfirmed(incarnation);
                    }
                }
            }
        }
    }

    /// Another host has this version.
    pub(super) fn hear_version(&self, heard: u64) {
        let own = self.config().version;
        lock(&self.config_freshness).apply_revision(self.now(), own, heard);
    }

    fn is_behind(&self) -> bool {
        let own = self.config().version;
        let behind = lock(&self.config_freshness).behind_for(self.now(), own);
        behind.is_some_and(|time| time >= BEHIND_LIMIT)
    }

    fn fetch_config(self: &Arc<Self>, address: SocketAddr) {
        if !lock(&self.config_fetches).begin(self.now(), address) {
            return;
        }
        let host = Arc::clone(self);
        self.runtime.spawn(async move {
            host.fetch_from(address).await;
            lock(&host.config_fetches).end(address);
        });
    }

    async fn fetch_from(self: &Arc<Self>, address: SocketAddr) {
        let request = PeerRequest::Config(self.config().version);
        let on_piece = || lock(&self.config_fetches).record_progress(self.now(), address);
        if let Ok(PeerReply::Config(Some(config))) =
            self.peers.fetch(address, &request, FETCH_PATIENCE, on_piece).await
        {
            self.adopt_config(config);
        }
    }

    async fn ask_neighbours(self: &Arc<Self>) {
        let salt: u64 = rand::random();
        let mut known: Vec<SocketAddr> =
            lock(&self.members).records().map(|record| record.update.address).collect();
        known.extend(self.settings.seeds.iter().copied());
        known.sort_by_key(|address| mix_hash(salt, u64::from(address.port())));
        known.dedup();
        for address in known.into_iter().take(3) {
            self.fetch_from(address).await;
        }
    }
}
