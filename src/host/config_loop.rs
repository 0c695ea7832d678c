//! Fetches confirmed configurations: a few watchers from the store, the other hosts from each
//! other.

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

/// Number of hosts in each failure domain that watch the store.
const WATCHERS_PER_DOMAIN: usize = 2;
/// A silent connection is only noticed when the watch on it ends, and a change must be in force in
/// each failure domain within seconds.
const WATCH_WAIT: Duration = Duration::from_secs(4);
const IDLE_POLL_PERIOD: Duration = Duration::from_millis(500);
/// A host that has known of a newer version for this long without receiving it from its peers reads
/// the store itself.
const MAX_BEHIND: Duration = Duration::from_millis(1500);
/// Every host reads the object itself this often, even if its peers report nothing newer. Rarely,
/// since the object is expected to grow to half a megabyte in two years (docs/CAPACITY.md).
const FULL_READ_PERIOD: Duration = Duration::from_secs(1800);
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(500);
/// Timeouts of fetching a configuration of up to half a megabyte from a peer.
const FETCH_TIMEOUTS: PeerTimeouts =
    PeerTimeouts { reply: Duration::from_millis(500), pause: Duration::from_millis(500) };
const PUSH_FAN_OUT: usize = 4;
/// Number of hosts in each other failure domain that the update is pushed to as well.
const PUSH_PER_OTHER_DOMAIN: usize = 1;

/// Keeps the configuration up to date for as long as the daemon runs.
pub(super) async fn run_config_loop(host: Arc<HostState>) {
    let mut last_read = None;
    // Revision from which the next watch starts; `None` until the configuration was listed.
    let mut watch_from = None;
    loop {
        let now = host.now();
        let due = last_read.is_none_or(|at| now.since(at) >= FULL_READ_PERIOD) || host.is_behind();
        let watches = is_watcher(&host);
        if !watches && !due && host.config().version > 0 {
            tokio::time::sleep(IDLE_POLL_PERIOD).await;
            continue;
        }
        last_read = Some(now);
        let revision = match watch_from {
            Some(after) if watches && host.config().version > 0 => {
                host.watch_config(after, WATCH_WAIT).await
            }
            _ => host.list_config().await.map(|(_config, revision)| revision),
        };
        watch_from = revision.as_ref().ok().copied();
        match revision {
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
                    host.fetch_from_peers().await;
                }
                // Random jitter, so that the hosts do not all return to the store within the same
                // second.
                let spread = Duration::from_millis(rand::random::<u64>() % 500);
                tokio::time::sleep(PAUSE_AFTER_FAILURE + spread).await;
            }
        }
    }
}

/// Whether this host is among the watchers of its domain, chosen by rendezvous rank.
fn is_watcher(host: &HostState) -> bool {
    let members = lock(&host.members);
    let object_hash = NameKey::of(INTENT_OBJECT.0).0;
    let own_rank = rendezvous_rank(object_hash, host.incarnation.0);
    let higher_ranked = members
        .living_in(host.domain())
        .filter(|(candidate, _)| rendezvous_rank(object_hash, *candidate) > own_rank)
        .count();
    higher_ranked < WATCHERS_PER_DOMAIN
}

impl HostState {
    /// Adopts a confirmed configuration if it is newer, and pushes the update to peers.
    pub(super) fn adopt_config(self: &Arc<Self>, config: ClusterConfig) {
        let version = config.version;
        if !lock(&self.config).adopt(config) {
            return;
        }
        log::info!("event=config_adopted version={version}");
        let actions = {
            let mut members = lock(&self.members);
            members.set_view(ViewMark { config_version: version, fleet_revision: 0 });
            members.push_updates(PUSH_FAN_OUT, PUSH_PER_OTHER_DOMAIN)
        };
        self.execute_actions(actions);
        let config = self.config();
        for (key, server) in lock(&self.owned).iter_mut() {
            if let Some(spec) = config.server(*key) {
                server.ledger.set_spec(spec.clone());
            }
        }
    }

    /// Executes the actions that the member table requests.
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
                TableAction::Compare(address) => self.start_member_sync(address),
                TableAction::Died(incarnation) => {
                    log::info!("event=member_died incarnation={incarnation}");
                    for server in lock(&self.owned).values_mut() {
                        server.ledger.slots.mark_unconfirmed(incarnation);
                    }
                }
            }
        }
    }

    /// Records that another host has this configuration version.
    pub(super) fn on_peer_version(&self, peer_version: u64) {
        let own_version = self.config().version;
        lock(&self.config_freshness).apply_revision(self.now(), own_version, peer_version);
    }

    /// Whether a newer version has been known for too long without being received.
    fn is_behind(&self) -> bool {
        let own_version = self.config().version;
        let behind = lock(&self.config_freshness).behind_for(self.now(), own_version);
        behind.is_some_and(|time| time >= MAX_BEHIND)
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
        let on_progress = || lock(&self.config_fetches).record_progress(self.now(), address);
        if let Ok(PeerReply::Config(Some(config))) =
            self.peers.fetch(address, &request, FETCH_TIMEOUTS, on_progress).await
        {
            self.adopt_config(config);
        }
    }

    /// Fetches the configuration from a few random hosts, while the store gives no answer.
    async fn fetch_from_peers(self: &Arc<Self>) {
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
