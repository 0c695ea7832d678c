use super::gateway_host::GatewayHost;
use super::limit_desk::LimitCharge;
use crate::keys::{RequestKey, TimePoint};
use crate::platform::{CallHead, ServerCall};
use crate::routes::{Route, ServiceKey, ServiceSpec};
use crate::server_limits::CallRank;
use std::sync::Arc;
use std::time::Duration;

/// One caller's request on its way.
#[derive(Debug)]
pub(super) struct CallContext {
    pub host: Arc<GatewayHost>,
    pub route: Arc<Route>,
    pub service: ServiceKey,
    pub spec: Arc<ServiceSpec>,
    pub head: CallHead,
    /// How urgent it is.
    pub rank: CallRank,
    /// The same for each attempt at this request, by whichever host.
    pub contents: RequestKey,
    /// Servers crashed while it was there; it may be sent to one more.
    pub is_trial: bool,
    pub call: ServerCall,
    /// What it cost its organisation, if that has a limit.
    pub charge: Option<LimitCharge>,
    /// When its head had been read.
    pub began: TimePoint,
    /// When it must have its final answer: the caller's deadline or the route's limit.
    pub ends_at: TimePoint,
}

impl CallContext {
    /// Time left until the final answer is due.
    pub fn left(&self) -> Duration {
        self.ends_at.since(self.host.now())
    }

    /// Time since the request came.
    pub fn age(&self) -> Duration {
        self.host.now().since(self.began)
    }

    /// The request's id, for logs and answers.
    pub fn id(&self) -> &str {
        &self.head.request_id
    }
}
