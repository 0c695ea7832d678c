//! Exchanges the demand for decode memory with other hosts.

use super::gateway_host::GatewayHost;
use super::gateway_state::GatewayState;
use super::peer_messages::GatewayDatagram;
use crate::admission::{
    DecodePool, MIN_SEND_PERIOD, OrgPressure, PressureLevel, PressureScope, PressureUpdate,
};
use crate::fleet::ServerStage;
use crate::organisations::Organisation;
use crate::routes::ServiceKey;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Receivers in the same failure domain in each round. Unless the pool is calm, a host in a domain of 24 then receives
/// the figures of each other one every 0.6 s, and those that it decides by are 0.3 s old on average.
const LOCAL_TARGETS: usize = 8;
/// Receivers in other failure domains in each round, which get the sum of the sender's domain: each host then receives
/// the sum of another domain of about equal size every 0.4 s, and links between domains stay free for callers.
const REMOTE_TARGETS: usize = 1;
/// Receivers in other failure domains when a shortage begins.
const ANNOUNCE_REMOTE_TARGETS: usize = 4;

/// Sends the demand for decode memory periodically, where requests of several ranks or organisations compete for it.
pub(super) async fn run_pressure_updates(host: Arc<GatewayHost>) {
    if !host.settings.features.admission {
        return;
    }
    let mut ticker = tokio::time::interval(MIN_SEND_PERIOD);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut sent_at = host.now();
    loop {
        ticker.tick().await;
        let pools = host.state().contested_pools();
        if pools.is_empty() {
            continue;
        }
        let begins = host.update_pressure_levels(&pools);
        let now = host.now();
        // A tick may come a little early.
        let is_due = now.since(sent_at) + MIN_SEND_PERIOD / 2 >= host.pressure_period(&pools);
        if begins {
            host.send_own_pressure(usize::MAX);
            host.send_domain_pressure(&pools, ANNOUNCE_REMOTE_TARGETS);
        } else if is_due {
            host.send_own_pressure(LOCAL_TARGETS);
            host.send_domain_pressure(&pools, REMOTE_TARGETS);
        } else {
            continue;
        }
        sent_at = now;
    }
}

impl GatewayState {
    /// The decode servers of a service of model engines.
    pub(super) fn decode_pool(&self, service: ServiceKey) -> Option<DecodePool> {
        let engine = self.routes.service(service)?.engine.as_ref()?;
        let servers = self.fleet.ready_in_stage(service, ServerStage::Decode);
        Some(DecodePool {
            service,
            servers: servers.map(|server| (server.key(), server.domain)).collect(),
            memory_tokens: engine.memory_tokens,
            ranks: self.routes.priorities(service).to_vec(),
            org_weights: self.org_weights(),
            host_count: self.members.living_in(self.members.own().domain).count(),
            longest_run: self.routes.longest_limit(service),
        })
    }

    /// Shares of memory follow the limits that organisations agreed on: the usual demand of a large one is not too much
    /// only because others are small. One without a limit counts like the largest limit.
    fn org_weights(&self) -> HashMap<u32, f64> {
        let rate =
            |organisation: &Organisation| organisation.limit.as_ref().map(|limit| limit.rate);
        let organisations = self.routes.organisations();
        let largest = organisations.iter().filter_map(|entry| rate(entry)).fold(0.0, f64::max);
        let largest = if largest > 0.0 { largest } else { 1.0 };
        let weight =
            |entry: &Organisation| rate(entry).filter(|rate| *rate > 0.0).unwrap_or(largest);
        let short_key = |entry: &Organisation| OrgPressure::short_key(entry.key());
        organisations.iter().map(|entry| (short_key(entry), weight(entry) / largest)).collect()
    }

    /// Whether requests of several ranks or organisations compete for the memory of a service.
    pub(super) fn is_contested(&self, service: ServiceKey) -> bool {
        self.routes.priorities(service).len() > 1 || !self.routes.organisations().is_empty()
    }

    /// The pools for which requests of several ranks or organisations compete.
    fn contested_pools(&self) -> Vec<DecodePool> {
        let services = self.routes.services().map(|(service, _)| service);
        let contested = services.filter(|service| self.is_contested(*service));
        contested.filter_map(|service| self.decode_pool(service)).collect()
    }
}

impl GatewayHost {
    /// Handles a message of another host.
    pub(super) fn receive_pressure(&self, update: PressureUpdate) {
        // The figures of this host's own domain come from each of its hosts.
        let is_own_sum = update.scope == PressureScope::Domain(self.domain());
        if self.settings.features.admission && !is_own_sum {
            self.state().admission.apply(self.now(), update);
        }
    }

    /// Sends this host's figures to all hosts of its failure domain as a shortage begins, once a second at most.
    pub(super) fn announce_shortage(&self) {
        let now = self.now();
        if self.state().admission.begin_announcement(now) {
            self.send_own_pressure(usize::MAX);
        }
    }

    fn send_own_pressure(&self, max_targets: usize) {
        let round = self.gossip_round.fetch_add(1, Ordering::Relaxed);
        let update = self.state().admission.own_update(self.now(), self.incarnation);
        let update = GatewayDatagram::Pressure(update);
        for target in self.gossip_targets(round, max_targets, 0) {
            self.send(target, &update);
        }
    }

    fn send_domain_pressure(&self, pools: &[DecodePool], max_targets: usize) {
        let round = self.gossip_round.fetch_add(1, Ordering::Relaxed);
        let (now, from, domain) = (self.now(), self.incarnation, self.domain());
        let update = self.state().admission.domain_update(now, from, domain, pools);
        let update = GatewayDatagram::Pressure(update);
        for target in self.gossip_targets(round, 0, max_targets) {
            self.send(target, &update);
        }
    }

    fn pressure_period(&self, pools: &[DecodePool]) -> Duration {
        let state = self.state();
        let periods = pools.iter().map(|pool| state.admission.send_period(pool.service));
        periods.min().unwrap_or(MIN_SEND_PERIOD)
    }

    /// Updates how scarce the memory of each pool is, and logs changes. Returns whether a shortage begins.
    fn update_pressure_levels(&self, pools: &[DecodePool]) -> bool {
        let now = self.now();
        let mut begins = false;
        for pool in pools {
            let mut state = self.state();
            let change = state.admission.update_level(now, pool);
            let reserved = state.admission.reserved_count(pool);
            drop(state);
            if let Some((level, total)) = change {
                begins |= level == PressureLevel::Short;
                let (refused, searches) = total.searches();
                log::info!(
                    "event=memory_pressure service={:016x} level={} searches={searches} \
                     refused={refused} tokens={} memory={} servers={} reserved={reserved}",
                    pool.service.0,
                    level.name(),
                    total.tokens(),
                    pool.capacity(),
                    pool.servers.len()
                );
                self.metrics().add("memory_pressure_changes", 1);
            }
        }
        begins
    }
}
