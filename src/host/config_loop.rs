//! Learns confirmed configurations: from the store by a few watchers, from each other by the rest.

use super::host_state::{HostState, lock};
use crate::Result;
use crate::intents::ClusterConfig;
use crate::keys::{NameKey, mix_hash};
use crate::membership::{TableOrder, ViewMark};
use crate::peers::{PeerReply, PeerRequest};
use crate::placement::rendezvous_rank;
use crate::platform::{CONFIG_KEY, StoredObject};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Hosts of each failure domain that keep a watch at the store.
const WATCHERS_PER_DOMAIN: usize = 2;
const WATCH_WAIT: Duration = Duration::from_secs(20);
const LOOK_AGAIN: Duration = Duration::from_secs(2);
/// Every host reads the object itself this often, whatever the others say; rarely, since at two
/// years' size it is half a megabyte (docs/CAPACITY.md).
const READ_EVERY: Duration = Duration::from_secs(1800);
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(500);
const FETCH_LIMIT: Duration = Duration::from_secs(2);
const PUSH_FAN_OUT: usize = 4;

/// Runs for as long as the daemon.
pub(super) async fn run_config_loop(host: Arc<HostState>) {
    let mut last_read = None;
    loop {
        let now = host.now();
        let due = last_read.is_none_or(|at| now.since(at) >= READ_EVERY);
        let watches = is_watcher(&host);
        if !watches && !due && host.config().version > 0 {
            tokio::time::sleep(LOOK_AGAIN).await;
            continue;
        }
        last_read = Some(now);
        let after = host.config().version;
        let wait = if watches && after > 0 { WATCH_WAIT } else { Duration::ZERO };
        let platform = host.platform.clone();
        host.metrics().add("store_calls", 1);
        let read = tokio::task::spawn_blocking(move || {
            if wait.is_zero() {
                platform.read(CONFIG_KEY)
            } else {
                platform.watch(CONFIG_KEY, after, wait)
            }
        });
        match read.await {
            Ok(Ok(object)) => {
                lock(&host.desk).note_store(host.now());
                host.adopt_object(&object);
                if host.config().version == 0 {
                    tokio::time::sleep(PAUSE_AFTER_FAILURE / 4).await;
                }
            }
            _ => {
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
    let thing = NameKey::of(CONFIG_KEY).0;
    let own = rendezvous_rank(thing, host.incarnation.0);
    let ahead = members
        .owners(host.domain())
        .filter(|(candidate, _)| rendezvous_rank(thing, *candidate) > own)
        .count();
    ahead < WATCHERS_PER_DOMAIN
}

impl HostState {
    /// Reads the configuration from the store now.
    ///
    /// # Errors
    /// If the store gave no answer.
    pub(super) async fn read_config(self: &Arc<Self>) -> Result<ClusterConfig> {
        let platform = self.platform.clone();
        self.metrics().add("store_calls", 1);
        let read = tokio::task::spawn_blocking(move || platform.read(CONFIG_KEY)).await;
        let object = read.map_err(|_join| crate::Error::Timeout)??;
        lock(&self.desk).note_store(self.now());
        self.adopt_object(&object);
        parse_config(&object)
    }

    pub(super) fn adopt_object(self: &Arc<Self>, object: &StoredObject) {
        match parse_config(object) {
            Ok(config) => self.adopt_config(config),
            Err(error) => {
                log::error!("event=config_unreadable version={} cause=\"{error}\"", object.version);
            }
        }
    }

    /// Puts a confirmed configuration in force if it is newer, and passes the news on.
    pub(super) fn adopt_config(self: &Arc<Self>, config: ClusterConfig) {
        let version = config.version;
        if !lock(&self.config).adopt(config) {
            return;
        }
        log::info!("event=config_adopted version={version}");
        let orders = {
            let mut members = lock(&self.members);
            members.set_view(ViewMark { config_version: version, fleet_revision: 0 });
            members.push_news(PUSH_FAN_OUT)
        };
        self.carry_out_orders(orders);
        let config = self.config();
        for (key, server) in lock(&self.owned).iter_mut() {
            if let Some(spec) = config.server(*key) {
                server.book.set_spec(spec.clone());
            }
        }
    }

    pub(super) fn carry_out_orders(self: &Arc<Self>, orders: Vec<TableOrder>) {
        for order in orders {
            match order {
                TableOrder::Send(address, message) => {
                    if let Ok(bytes) =
                        crate::peers::seal_datagram(&self.settings.shared_key, &message)
                    {
                        let _ = self.outbox.send((address, bytes));
                    }
                }
                TableOrder::FetchView(address) => self.fetch_config(address),
                TableOrder::Compare(address) => self.compare_members(address),
                TableOrder::Died(incarnation) => {
                    log::info!("event=member_died incarnation={incarnation}");
                    for server in lock(&self.owned).values_mut() {
                        server.book.slots.doubt(incarnation);
                    }
                }
            }
        }
    }

    fn fetch_config(self: &Arc<Self>, address: SocketAddr) {
        if self.fetching_config.swap(true, Ordering::Relaxed) {
            return;
        }
        let host = Arc::clone(self);
        self.runtime.spawn(async move {
            host.fetch_from(address).await;
            host.fetching_config.store(false, Ordering::Relaxed);
        });
    }

    async fn fetch_from(self: &Arc<Self>, address: SocketAddr) {
        let request = PeerRequest::Config(self.config().version);
        if let Ok(PeerReply::Config(Some(config))) =
            self.peers.call(address, &request, FETCH_LIMIT).await
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

/// Reads the configuration out of its object; its version is the object's.
///
/// # Errors
/// If the object's value is not a configuration.
pub(super) fn parse_config(object: &StoredObject) -> Result<ClusterConfig> {
    if object.version == 0 {
        return Ok(ClusterConfig::default());
    }
    let mut config: ClusterConfig = serde_json::from_str(&object.value)?;
    config.version = object.version;
    Ok(config)
}
