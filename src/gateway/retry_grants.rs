//! Takes repeats of requests: from this host's own part of what is allowed, or from its failure domain's pool, whose
//! owner it asks, or is.

use super::gateway_host::GatewayHost;
use super::gateway_state::GatewayState;
use super::peer_messages::GatewayDatagram;
use crate::keys::TimePoint;
use crate::limits::{OwnerChoice, choose_owner};
use crate::retries::{RetryReply, RetryRequest, RetryShare};
use crate::routes::ServiceKey;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

impl GatewayHost {
    /// Takes `count` repeats of a service's requests, if the bounds allow them.
    pub(super) async fn take_retries(&self, service: ServiceKey, count: u32) -> bool {
        if self.take_own_repeats(service, count) {
            self.metrics().add("repeats_own", count.into());
            return true;
        }
        let serial = self.serials.fetch_add(1, Ordering::Relaxed);
        let ask = RetryRequest { sequence: serial as u32, service, count };
        let granted = self.ask_pool(&ask).await;
        let name = if granted { "repeats_pooled" } else { "repeats_denied" };
        self.metrics().add(name, count.into());
        granted
    }

    fn take_own_repeats(&self, service: ServiceKey, count: u32) -> bool {
        let (now, hosts) = (self.now(), self.known_hosts());
        let mut state = self.state();
        let bounds = state.bounds.retries;
        state.retries.entry(service).or_default().try_take(now, &bounds, hosts, count)
    }

    async fn ask_pool(&self, ask: &RetryRequest) -> bool {
        let owner = self.state().pool_owner(self.now(), ask.service);
        let reply = match owner {
            OwnerChoice::Own => Some(self.grant_repeats(ask)),
            OwnerChoice::Other(owner) => {
                let question = GatewayDatagram::RetryRequest(*ask);
                self.ask_twice(&self.retry_waits, ask.sequence, owner, &question).await
            }
            OwnerChoice::Unknown => None,
        };
        let granted = reply.is_some_and(|reply| reply.granted);
        log::info!(
            "event=repeats_asked service={:016x} count={} answered={} granted={granted}",
            ask.service.0,
            ask.count,
            reply.is_some()
        );
        granted
    }

    /// Answers another host of the failure domain.
    pub(super) fn receive_retry_request(&self, from: SocketAddr, ask: &RetryRequest) {
        let reply = self.grant_repeats(ask);
        self.send(from, &GatewayDatagram::RetryReply(reply));
    }

    fn grant_repeats(&self, ask: &RetryRequest) -> RetryReply {
        let now = self.now();
        let mut state = self.state();
        let bounds = state.bounds.retries;
        let (seen, known) = state.count_domain_hosts(self.domain());
        let share = RetryShare::for_domain(&bounds, seen, known);
        let is_settled = state.members.is_settled(now, bounds.window)
            && state.retry_pools.term().lasts_for(now, bounds.window);
        // One that only the asking host takes for the owner would grant beside the real one.
        let is_owner = state.pool_owner(now, ask.service) == OwnerChoice::Own;
        let granted = is_owner && state.retry_pools.receive(now, ask, &share, is_settled);
        RetryReply { sequence: ask.sequence, granted }
    }
}

impl GatewayState {
    /// The host that grants repeats of a service's requests to this host's failure domain.
    fn pool_owner(&self, now: TimePoint, service: ServiceKey) -> OwnerChoice {
        let own = self.members.own();
        let hosts = self.members.owners(own.domain).map(|(_, host)| host);
        let is_alone = self.members.is_alone();
        choose_owner(now, service, own.incarnation, is_alone, hosts, &self.silent)
    }
}
