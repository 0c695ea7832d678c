//! Acquires and releases the ownership of server ledgers.

use super::host_state::{HostState, lock};
use super::owned_server::OwnedServer;
use super::poll_loop::{CLAIMS_TIMEOUT, poll_while_owned};
use crate::intents::ServerSpec;
use crate::keys::{ServerKey, TimePoint, mix_hash};
use crate::membership::{MemberState, MemberUpdate};
use crate::peers::{PeerReply, PeerRequest};
use crate::placement::ServerLedger;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

const OWNERSHIP_PERIOD: Duration = Duration::from_millis(50);
/// A host that has not joined by this age serves with the hosts that it knows. Two seeds that do not answer take 4 s;
/// callers lose less by a host that finds too few servers than by one that refuses all requests.
const JOIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Updates the ownership whenever the membership or the configuration changes.
pub(super) async fn run_ownership(host: Arc<HostState>) {
    let mut last_hash = 0;
    loop {
        // Read before the members and the configuration, so that the update below includes both.
        let has_joined = host.has_joined.load(Ordering::Acquire)
            || host.now().since(TimePoint::CLOCK_START) >= JOIN_TIMEOUT;
        let is_configured = host.config().version > 0;
        let hash = ownership_hash(&host);
        if hash != last_hash {
            last_hash = hash;
            update_ownership(&host);
        }
        if has_joined && is_configured {
            host.has_ledgers.store(true, Ordering::Relaxed);
        }
        tokio::time::sleep(OWNERSHIP_PERIOD).await;
    }
}

/// Hash of what ownership depends on: the configuration's version and the domain's living hosts.
fn ownership_hash(host: &HostState) -> u64 {
    let version = host.config().version;
    let members = lock(&host.members);
    members
        .living_in(host.domain())
        .fold(version, |sum, (candidate, _)| sum.wrapping_add(mix_hash(candidate, 1)))
}

/// Drops ledgers that belong to other hosts, and rebuilds and polls the ones acquired.
fn update_ownership(host: &Arc<HostState>) {
    let config = host.config();
    let domain = host.domain();
    let mut wanted: HashMap<ServerKey, ServerSpec> = HashMap::new();
    for server in config.servers.iter().filter(|server| server.domain_key() == domain) {
        let owner = host.owner_of(server.key(), domain);
        if owner.is_some_and(|owner| owner.incarnation == host.incarnation) {
            wanted.insert(server.key(), server.clone());
        }
    }
    let mut acquired = Vec::new();
    {
        let mut owned = lock(&host.owned);
        owned.retain(|key, _| wanted.contains_key(key));
        for (key, spec) in wanted {
            if let std::collections::hash_map::Entry::Vacant(entry) = owned.entry(key) {
                let term = host.next_term.fetch_add(1, Ordering::Relaxed);
                log::info!("event=book_taken server={} term={term}", spec.name);
                entry.insert(OwnedServer::new(ServerLedger::rebuilding(spec), term));
                acquired.push((key, term));
            }
        }
    }
    for (key, term) in acquired {
        let host = Arc::clone(host);
        tokio::spawn(async move {
            rebuild_ledger(&host, key).await;
            poll_while_owned(host, key, term).await;
        });
    }
}

/// Rebuilds a ledger from the slots that all living hosts' attempts claim on the server.
async fn rebuild_ledger(host: &Arc<HostState>, key: ServerKey) {
    let peers: Vec<MemberUpdate> = lock(&host.members)
        .records()
        .map(|record| record.update)
        .filter(|update| update.domain == host.domain() && update.state != MemberState::Dead)
        .collect();
    let mut calls = tokio::task::JoinSet::new();
    for peer in peers {
        let host = Arc::clone(host);
        calls.spawn(async move {
            host.call_peer(peer, &PeerRequest::Claims(key), CLAIMS_TIMEOUT).await
        });
    }
    let mut claims = host.claims_on(key);
    while let Some(joined) = calls.join_next().await {
        if let Ok(Ok(PeerReply::Claims(more))) = joined {
            claims.extend(more);
        }
    }
    let now = host.now();
    if let Some(server) = lock(&host.owned).get_mut(&key) {
        server.ledger.apply_claims(now, &claims);
    }
}
