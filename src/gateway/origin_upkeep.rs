//! Keeps the known origins of streams at the hosts that hold them, and observes which software versions serve.

use super::gateway_host::GatewayHost;
use super::gateway_state::GatewayState;
use super::peer_messages::GatewayDatagram;
use crate::keys::{IncarnationId, VersionKey, mix_hash};
use crate::membership::MemberUpdate;
use crate::routes::ServiceKey;
use crate::stream_origins::{OriginUpdate, origin_holders};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How often holders that came or may have missed something are told.
const UPKEEP_PERIOD: Duration = Duration::from_millis(250);
/// Most streams in one datagram, at up to 25 bytes each.
const MAX_ORIGINS_SENT: usize = 128;

/// Tells holders of streams periodically, and observes the versions of the servers.
pub(super) async fn run_origin_upkeep(host: Arc<GatewayHost>) {
    let mut ticker = tokio::time::interval(UPKEEP_PERIOD);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut observed_revision = 0;
    loop {
        ticker.tick().await;
        let revision = host.state().fleet.revision();
        if revision != observed_revision {
            host.observe_versions();
            observed_revision = revision;
        }
        host.tell_due_holders();
    }
}

impl GatewayHost {
    /// Records the versions that the servers have now.
    pub(super) fn observe_versions(&self) {
        let now = self.now();
        let mut state = self.state();
        let state = &mut *state;
        let engines = state.fleet.entries().filter(|entry| entry.stage.is_some());
        let present: BTreeSet<(ServiceKey, VersionKey)> =
            engines.map(|entry| (entry.service, entry.version_key())).collect();
        state.version_history.record_present(now, present.into_iter());
    }

    /// The versions of a service that serve or served recently.
    pub(super) fn recent_versions(&self, service: ServiceKey) -> Vec<VersionKey> {
        self.observe_versions();
        let now = self.now();
        self.state().version_history.recent(now, service)
    }

    /// Whether no version can have served, and no route led elsewhere, within the retention without this host knowing.
    pub(super) fn is_version_history_settled(&self) -> bool {
        let now = self.now();
        let state = self.state();
        state.version_history.is_settled(now) && state.target_history.is_settled(now)
    }

    fn tell_due_holders(&self) {
        let now = self.now();
        let due = {
            let mut state = self.state();
            let state = &mut *state;
            let others = other_members(state, self.incarnation);
            let digest =
                others.iter().fold(0, |digest, host| digest ^ mix_hash(host.incarnation.0, 1));
            state.stream_origins.expire(now);
            state
                .stream_origins
                .due_updates(now, digest, |stream| origin_holders(stream, others.iter().copied()))
        };
        let mut batches: BTreeMap<SocketAddr, Vec<OriginUpdate>> = BTreeMap::new();
        for (holder, update) in due {
            batches.entry(holder.address).or_default().push(update);
        }
        for (address, updates) in batches {
            for part in updates.chunks(MAX_ORIGINS_SENT) {
                self.send(address, &GatewayDatagram::Origins(part.to_vec()));
            }
        }
    }
}

/// The other hosts that may hold origins of streams.
pub(super) fn other_members(state: &GatewayState, own: IncarnationId) -> Vec<MemberUpdate> {
    let living = state.members.living().map(|(_, member)| member);
    living.filter(|member| member.incarnation != own).collect()
}
