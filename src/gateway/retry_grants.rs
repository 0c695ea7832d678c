//! Takes retries from this host's own share of the retry budget, or else from the pool of its failure domain, whose
//! owner is another host or this one.

use super::gateway_host::GatewayHost;
use super::gateway_state::GatewayState;
use super::peer_messages::GatewayDatagram;
use crate::keys::TimePoint;
use crate::limits::{OwnerChoice, choose_owner};
use crate::retries::{OwnShare, RetryReply, RetryRequest, RetryShare, assumed_hosts};
use crate::routes::ServiceKey;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A pool that denied a retry is not expected to grant one before this time has passed: several hosts share what it
/// gains in the meantime.
const DENIAL_MEMORY: Duration = Duration::from_secs(5);

impl GatewayHost {
    /// Takes `count` retries of a service's requests, if the retry budget allows them.
    pub(super) async fn take_retries(&self, service: ServiceKey, count: u32) -> bool {
        if self.take_own_retries(service, count) {
            self.metrics().add("repeats_own", count.into());
            log::info!("event=repeats_taken service={:016x} count={count}", service.0);
            return true;
        }
        let serial = self.next_serial.fetch_add(1, Ordering::Relaxed);
        let request = RetryRequest { sequence: serial as u32, service, count };
        let granted = self.query_pool(&request).await;
        let name = if granted { "repeats_pooled" } else { "repeats_denied" };
        self.metrics().add(name, count.into());
        granted
    }

    fn take_own_retries(&self, service: ServiceKey, count: u32) -> bool {
        let now = self.now();
        let mut state = self.state();
        let bounds = state.bounds.retries;
        let share = state.own_retry_share(now);
        state.retry_windows.entry(service).or_default().try_take(now, &bounds, share, count)
    }

    /// Whether the retry budget will probably allow one more retry of a service's requests.
    pub(super) fn expects_retry(&self, service: ServiceKey) -> bool {
        let now = self.now();
        let mut state = self.state();
        let bounds = state.bounds.retries;
        let share = state.own_retry_share(now);
        let has_room =
            state.retry_windows.entry(service).or_default().has_room(now, &bounds, share, 1);
        let denied_at = state.retries_denied_at.get(&service);
        has_room || denied_at.is_none_or(|at| now.since(*at) >= DENIAL_MEMORY)
    }

    async fn query_pool(&self, request: &RetryRequest) -> bool {
        let owner = self.state().pool_owner(self.now(), request.service);
        let reply = match owner {
            OwnerChoice::Own => Some(self.grant_retries(request)),
            OwnerChoice::Other(owner) => {
                let datagram = GatewayDatagram::RetryRequest(*request);
                self.request_reply(&self.retry_replies, request.sequence, owner, &datagram).await
            }
            OwnerChoice::Unknown => None,
        };
        let granted = reply.is_some_and(|reply| reply.granted);
        if !granted {
            let now = self.now();
            self.state().retries_denied_at.insert(request.service, now);
        }
        log::info!(
            "event=repeats_asked service={:016x} count={} answered={} granted={granted}",
            request.service.0,
            request.count,
            reply.is_some()
        );
        granted
    }

    /// Handles a request of another host of the failure domain.
    pub(super) fn receive_retry_request(&self, from: SocketAddr, request: &RetryRequest) {
        let reply = self.grant_retries(request);
        self.send(from, &GatewayDatagram::RetryReply(reply));
    }

    fn grant_retries(&self, request: &RetryRequest) -> RetryReply {
        let now = self.now();
        let mut state = self.state();
        let bounds = state.bounds.retries;
        let (seen, known) = state.count_domain_hosts(self.domain());
        let share = RetryShare::for_domain(&bounds, seen, known);
        let is_settled = state.members.is_settled(now, bounds.window)
            && state.retry_pools.term().lasts_for(now, bounds.window);
        // A host that only the requesting host considers the owner would grant in addition to the real owner.
        let is_owner = state.pool_owner(now, request.service) == OwnerChoice::Own;
        let granted = is_owner && state.retry_pools.receive(now, request, &share, is_settled);
        RetryReply { sequence: request.sequence, granted }
    }
}

impl GatewayState {
    /// This host's share of the slack of each service.
    fn own_retry_share(&self, now: TimePoint) -> OwnShare {
        let bounds = &self.bounds.retries;
        let (_, known_here) = self.count_domain_hosts(self.members.own().domain);
        let hosts = assumed_hosts(bounds, self.known_host_count(), known_here);
        let age = now.since(TimePoint::CLOCK_START);
        OwnShare::new(bounds, age, (!self.members.is_alone()).then_some(hosts))
    }

    /// The host that grants retries of a service's requests in this host's failure domain.
    fn pool_owner(&self, now: TimePoint, service: ServiceKey) -> OwnerChoice {
        let own = self.members.own();
        let hosts = self.members.living_in(own.domain).map(|(_, host)| host);
        let is_alone = self.members.is_alone();
        choose_owner(now, service, own.incarnation, is_alone, hosts, &self.silent_owners)
    }
}
