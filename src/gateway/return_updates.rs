//! Tells refused callers when to return, and exchanges promised returns with the other hosts of the failure domain.

use super::call_context::CallContext;
use super::call_end::NotRunReason;
use super::gateway_host::GatewayHost;
use super::gateway_state::GatewayState;
use super::peer_messages::GatewayDatagram;
use crate::keys::RequestKey;
use crate::membership::MemberUpdate;
use crate::return_times::{RefusalCause, ReturnRequest, ReturnUpdate, SLOT_TIME};
use crate::routes::ServiceKey;
use crate::server_limits::CallRank;
use std::sync::Arc;
use std::time::Duration;

/// Sends the promised returns and the figures of this host while callers are refused.
pub(super) async fn run_return_updates(host: Arc<GatewayHost>) {
    let mut ticker = tokio::time::interval(SLOT_TIME);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticker.tick().await;
        host.send_returns();
    }
}

impl GatewayHost {
    /// Records that a request arrived, as a new one or as a return.
    pub(super) fn record_arrival(
        &self,
        id: &str,
        service: ServiceKey,
        rank: CallRank,
        key: RequestKey,
    ) {
        if !self.settings.features.return_times {
            return;
        }
        let now = self.now();
        let is_return = self.state().return_calendar.record_arrival(now, service, rank, key);
        if is_return {
            log::info!("event=caller_returned request={id} contents={key}");
            self.metrics().add("returns_received", 1);
        }
    }

    /// Handles a message of another host.
    pub(super) fn receive_returns(&self, update: &ReturnUpdate) {
        if self.settings.features.return_times {
            let now = self.now();
            self.state().return_calendar.apply(now, update);
        }
    }

    fn send_returns(&self) {
        let now = self.now();
        let mut state = self.state();
        let neighbours = state.neighbours().count();
        let update = state.return_calendar.next_update(now, self.incarnation, neighbours);
        let Some((update, targets)) = update else { return };
        let others = state.sorted_neighbours();
        drop(state);
        let datagram = GatewayDatagram::Returns(update);
        for target in targets {
            self.send(others[target].address, &datagram);
        }
    }
}

impl GatewayState {
    /// The other living hosts of this host's failure domain.
    fn neighbours(&self) -> impl Iterator<Item = MemberUpdate> {
        let own = self.members.own();
        let hosts = self.members.living_in(own.domain).map(|(_, host)| host);
        hosts.filter(move |host| host.incarnation != own.incarnation)
    }

    /// The neighbours in a stable order, since updates are sent to them in turn.
    fn sorted_neighbours(&self) -> Vec<MemberUpdate> {
        let mut others: Vec<MemberUpdate> = self.neighbours().collect();
        others.sort_unstable_by_key(|host| host.incarnation);
        others
    }

    /// Requests of this failure domain that the ready servers of a service run at a time, if each domain has a share in
    /// proportion to its hosts.
    fn domain_places(&self, service: ServiceKey) -> f64 {
        let slots: u32 = self.fleet.ready(service).map(|server| server.slots).sum();
        let domain = self.neighbours().count() + 1;
        let all = self.members.living().count();
        f64::from(slots) * domain as f64 / all.max(1) as f64
    }
}

impl CallContext {
    /// The time after which the refused caller returns. All refusals for lack of capacity, of servers or by an engine go
    /// through here; others keep the `constant` pause.
    pub fn return_pause(&self, reason: NotRunReason, constant: Duration) -> Duration {
        if !self.host.settings.features.return_times {
            return constant;
        }
        let is_engine = self.spec.engine.is_some();
        let (now, draw) = (self.host.now(), rand::random());
        let mut state = self.host.state();
        let cause = match reason {
            NotRunReason::NoMemory => RefusalCause::NoMemory,
            NotRunReason::Rejected if is_engine => RefusalCause::EngineFailed,
            NotRunReason::Rejected => RefusalCause::NoPlace(state.domain_places(self.service)),
            NotRunReason::NoServer => RefusalCause::NoServer(None),
            _ => return constant,
        };
        let request = ReturnRequest {
            service: self.service,
            rank: self.rank,
            key: self.contents,
            cause,
            usual: constant,
            time_left: self.time_left(),
            neighbours: state.neighbours().count(),
            draw,
        };
        let calendar = &mut state.return_calendar;
        let is_return = calendar.is_return(now, self.contents);
        if matches!(cause, RefusalCause::NoMemory | RefusalCause::NoPlace(_)) {
            calendar.record_refusal(now, self.service, self.rank);
        }
        let time = calendar.promise(now, &request);
        drop(state);
        log::info!(
            "event=return_promised request={} contents={} cause={} basis={} pause_ms={} \
             left_ms={} fresh={} granted={} promised={} returned={is_return}",
            self.id(),
            self.contents,
            reason.name(),
            time.basis.name(),
            time.pause.as_millis(),
            request.time_left.as_millis(),
            time.fresh,
            time.granted,
            time.promised
        );
        let mut metrics = self.host.metrics();
        metrics.add("returns_promised", 1);
        if is_return {
            metrics.add("returns_refused", 1);
        }
        time.pause
    }

    /// Records that the request was granted memory.
    pub fn record_memory_grant(&self) {
        if self.host.settings.features.return_times {
            let now = self.host.now();
            self.host.state().return_calendar.record_grant(now, self.service, self.rank);
        }
    }

    /// Records that a server of a plain service answered the request.
    pub fn record_plain_answer(&self) {
        if self.host.settings.features.return_times {
            let now = self.host.now();
            let took = now.since(self.sent_at());
            let (service, rank) = (self.service, self.rank);
            self.host.state().return_calendar.record_answer(now, service, rank, took);
            self.count_served_return();
        }
    }

    /// Counts a return that was served, unless that took longer than returns are recognised. Of a request that runs
    /// repeatedly, only the first run is counted.
    pub fn count_served_return(&self) {
        if !self.host.settings.features.return_times {
            return;
        }
        let now = self.host.now();
        if self.host.state().return_calendar.is_return(now, self.contents) {
            self.host.metrics().add("returns_served", 1);
        }
    }
}
