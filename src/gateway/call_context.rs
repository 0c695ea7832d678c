use super::gateway_host::GatewayHost;
use super::limit_charge::LimitCharge;
use crate::fleet::ServerEntry;
use crate::in_flight::{InFlightGuard, RequestWait};
use crate::keys::{OrgKey, RequestKey, TimePoint};
use crate::platform::{CallHead, ServerCall};
use crate::retries::SendCredit;
use crate::routes::{Route, ServiceKey, ServiceSpec};
use crate::server_limits::CallRank;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A caller's request while this host serves it.
#[derive(Debug)]
pub(super) struct CallContext {
    pub host: Arc<GatewayHost>,
    pub route: Arc<Route>,
    pub service: ServiceKey,
    pub spec: Arc<ServiceSpec>,
    pub head: CallHead,
    /// The organisation that it runs for.
    pub org: Option<OrgKey>,
    /// Its priority among the requests to a server.
    pub rank: CallRank,
    /// Hash of its contents: the same for each attempt at this request, on every host.
    pub contents: RequestKey,
    /// Whether it is a trial: servers crashed while it was in flight there, and it may be sent to one more.
    pub is_trial: bool,
    pub call: ServerCall,
    /// What it costs its organisation, if that has a limit.
    pub charge: Option<LimitCharge>,
    /// How often it may still be sent to servers.
    pub credit: Mutex<SendCredit>,
    /// When it was last sent to a server, in microseconds on the host's clock.
    pub sent_at: AtomicI64,
    /// When its head was read.
    pub received_at: TimePoint,
    /// When its final answer is due: the caller's deadline or the route's time limit.
    pub deadline: TimePoint,
    /// Its entry among the work that the exit of the process would cut off.
    pub in_flight: Arc<InFlightGuard>,
}

impl CallContext {
    /// Time left until the final answer is due.
    pub fn time_left(&self) -> Duration {
        self.deadline.since(self.host.now())
    }

    /// Time since the request was received.
    pub fn age(&self) -> Duration {
        self.host.now().since(self.received_at)
    }

    /// When it was last sent to a server.
    pub fn sent_at(&self) -> TimePoint {
        TimePoint(self.sent_at.load(Ordering::Relaxed))
    }

    /// Records that the request is sent to a server at `now`.
    pub fn record_sent(&self, now: TimePoint) {
        self.sent_at.store(now.0, Ordering::Relaxed);
    }

    /// Records what the request waits for.
    pub fn wait_for(&self, wait: RequestWait) {
        self.in_flight.update(|progress| progress.wait = wait);
    }

    /// Records what the request waits for, and at which server.
    pub fn wait_at(&self, wait: RequestWait, server: &ServerEntry) {
        self.in_flight.update(|progress| progress.wait_at(wait, &server.id));
    }

    /// Records that it is sent to `server` to run, and waits for `wait`.
    pub fn record_run(&self, wait: RequestWait, server: &ServerEntry) {
        self.in_flight.update(|progress| {
            progress.may_have_run = true;
            progress.wait_at(wait, &server.id);
        });
    }

    /// Records that an event of a run at `server` is relayed.
    pub fn record_relayed(&self, server: &ServerEntry) {
        self.in_flight.update(|progress| {
            progress.events += 1;
            progress.wait_at(RequestWait::NextEvent, &server.id);
        });
    }

    /// The request's id, for logs and answers.
    pub fn id(&self) -> &str {
        &self.head.request_id
    }
}
