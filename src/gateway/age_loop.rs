//! Keeps the known age of this host's configuration low: the watcher of the failure domain learns it
//! from the store, and the other hosts request it from the watcher.

use super::gateway_host::GatewayHost;
use super::peer_messages::GatewayDatagram;
use crate::keys::{TimePoint, mix_hash};
use crate::membership::{MemberUpdate, ViewMark};
use crate::organisations::{AgeReply, AgeRequest};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How often the age is requested. With the watcher's own age of up to 1 s, keys stay valid for at
/// least 3.4 s after the last contact with the store.
const REQUEST_PERIOD: Duration = Duration::from_millis(500);
/// The period while callers are refused because the configuration is too old.
const EXPIRED_PERIOD: Duration = Duration::from_millis(150);
/// When a request has no reply after this time, the host asks other hosts as well.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);
/// Above this age the host also asks other hosts: the watcher has lost the store, or another host is
/// the watcher.
const SUSPECT_AGE: Duration = Duration::from_millis(2000);

/// Requests the age of the configuration as long as caller keys depend on it.
pub(super) async fn poll_config_age(host: Arc<GatewayHost>) {
    let mut was_too_old = true;
    loop {
        let (bounded, too_old, age) = {
            let now = host.now();
            let state = host.state();
            (
                state.max_config_age().is_some(),
                state.is_config_too_old(now),
                state.config_age.age(now),
            )
        };
        if too_old && !was_too_old {
            log::warn!("event=keys_expired age_ms={}", age.as_millis());
        }
        was_too_old = too_old;
        if bounded {
            host.request_config_age();
        }
        tokio::time::sleep(if too_old { EXPIRED_PERIOD } else { REQUEST_PERIOD }).await;
    }
}

impl GatewayHost {
    /// Requests the age from the watcher of this host's failure domain, and from up to two other hosts if
    /// the last request has no reply or the known age is too high.
    pub(super) fn request_config_age(&self) {
        let now = self.now();
        for address in self.age_targets(now) {
            let request = self.state().config_age.next_request(now);
            self.send(address, &GatewayDatagram::AgeRequest(request));
        }
    }

    fn age_targets(&self, now: TimePoint) -> Vec<SocketAddr> {
        let state = self.state();
        let watcher = state.watcher(now, self.domain()).filter(|host| *host != self.incarnation);
        let watcher = watcher.and_then(|host| state.members.record(host));
        let in_doubt = state.config_age.has_unanswered_request(now, REPLY_TIMEOUT)
            || state.config_age.age(now) > SUSPECT_AGE;
        let mut targets: Vec<MemberUpdate> =
            watcher.map(|record| record.update).into_iter().collect();
        if in_doubt {
            let salt = mix_hash(self.incarnation.0, now.0.cast_unsigned());
            targets.extend(state.same_domain_member(salt));
            let remote = state.members.reachable(now).filter(|host| host.domain != self.domain());
            targets.extend(remote.min_by_key(|host| mix_hash(salt, host.incarnation.0)));
        }
        targets.into_iter().map(|member| member.address).collect()
    }

    /// Replies to another host's request, if this host knows the age of its configuration.
    pub(super) fn reply_config_age(&self, from: SocketAddr, request: AgeRequest) {
        let reply = self.config_age_reply(request);
        if let Some(reply) = reply {
            self.send(from, &GatewayDatagram::AgeReply(reply));
        }
    }

    /// The reply to a request for the age of this host's configuration.
    pub(super) fn config_age_reply(&self, request: AgeRequest) -> Option<AgeReply> {
        let now = self.now();
        let state = self.state();
        state.config_age.reply(now, request, state.routes.version())
    }

    /// Applies a reply. If the replying host has a newer configuration, fetches it from there.
    pub(super) fn apply_age_reply(self: &Arc<Self>, from: SocketAddr, reply: AgeReply) {
        let now = self.now();
        let version = {
            let mut state = self.state();
            let version = state.routes.version();
            let was_too_old = state.is_config_too_old(now);
            state.config_age.apply_reply(reply, version);
            if was_too_old && !state.is_config_too_old(now) {
                let age_ms = state.config_age.age(now).as_millis();
                log::info!(
                    "event=keys_accepted source=peer peer={from} stated_age_ms={} age_ms={age_ms} version={version}",
                    reply.age_ms
                );
            }
            version
        };
        if reply.version > version {
            self.apply_view_mark(ViewMark { config_version: reply.version, fleet_revision: 0 });
            self.fetch_view(from);
        } else {
            self.config_age_updated.notify_waiters();
        }
    }

    /// Records that the store answered a request sent at `asked_at`: the configuration held by this host
    /// includes every change made before that time.
    pub(super) fn record_config_complete(&self, asked_at: TimePoint) {
        let now = self.now();
        let mut state = self.state();
        let was_too_old = state.is_config_too_old(now);
        state.config_age.record_complete(asked_at);
        if was_too_old && !state.is_config_too_old(now) {
            let (age_ms, version) = (state.config_age.age(now).as_millis(), state.routes.version());
            log::info!("event=keys_accepted source=store age_ms={age_ms} version={version}");
        }
        drop(state);
        self.config_age_updated.notify_waiters();
    }
}
