//! Permission to send one request to one backend server.

use super::call_context::CallContext;
use super::call_end::{CallEnd, NotRunReason};
use super::gateway_host::GatewayHost;
use crate::fleet::{ServerEntry, ServerStage};
use crate::keys::{ServerKey, TimePoint};
use crate::server_limits::{CallRank, PermitPurpose, ServerLimit};
use std::sync::Arc;
use std::time::Duration;

/// A permit that is older than this when its request is sent must be granted again: owners count for four seconds,
/// and reading a prompt takes about one.
const PERMIT_LIFETIME: Duration = Duration::from_secs(2);
/// Retry delay for a caller if the owner of the server states none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(500);
/// The shortest retry delay that is stated to a caller.
const MIN_PAUSE: Duration = Duration::from_millis(20);

/// Counts one request as sent to a server; the count is undone if the permit is dropped before the request is sent.
#[derive(Debug)]
pub(super) struct SendPermit {
    host: Arc<GatewayHost>,
    server: ServerKey,
    rank: CallRank,
    counted_at: TimePoint,
    /// Whether the server's owner granted it; servers without a limit need no grant.
    is_granted: bool,
    is_used: bool,
}

impl SendPermit {
    /// Marks the request as sent.
    pub fn mark_used(&mut self) {
        self.is_used = true;
    }

    /// Marks the request as not sent: certainly nothing of it reached the server.
    pub fn mark_unused(&mut self) {
        self.is_used = false;
    }

    /// Renews the permit after a delay in which the server may have stated a limit, or this host may have been
    /// suspended; `None` if it is refused.
    pub async fn renewed(self, context: &CallContext, server: &ServerEntry) -> Option<Self> {
        let mut permit = self;
        let now = permit.host.now();
        let needs_grant = permit.host.state().send_control.limit(now, permit.server).is_some();
        let is_old = now.since(permit.counted_at) > PERMIT_LIFETIME;
        if needs_grant && (is_old || !permit.is_granted) {
            drop(permit);
            return context.permit(server).await;
        }
        {
            let mut state = permit.host.state();
            state.send_control.log.undo(permit.counted_at, permit.server);
            state.send_control.log.record(now, permit.server);
        }
        permit.counted_at = now;
        Some(permit)
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        if self.is_used {
            return;
        }
        self.host.state().send_control.log.undo(self.counted_at, self.server);
        if self.is_granted {
            self.host.notify_owner(self.server, self.rank, PermitPurpose::Release);
        }
    }
}

impl CallContext {
    /// Requests a permit to send this request to a server; only servers that have a limit can refuse it. Nothing is
    /// sent without a permit, so that no path to a server bypasses its limit.
    pub async fn permit(&self, server: &ServerEntry) -> Option<SendPermit> {
        let (host, key, now) = (&self.host, server.key(), self.host.now());
        let is_limited = {
            let mut state = host.state();
            let is_limited = state.send_control.limit(now, key).is_some();
            if !is_limited {
                state.send_control.log.record(now, key);
            }
            is_limited
        };
        let counted_at =
            if is_limited { host.request_permit(self.id(), key, self.rank).await? } else { now };
        Some(SendPermit {
            host: Arc::clone(host),
            server: key,
            rank: self.rank,
            counted_at,
            is_granted: is_limited,
            is_used: false,
        })
    }

    /// Servers that would accept this request but for their limit, with that limit.
    fn servers_at_limit(&self, stage: Option<ServerStage>) -> Vec<(ServerKey, ServerLimit)> {
        let now = self.host.now();
        let state = self.host.state();
        let ready = state.fleet.ready(self.service);
        let staged = ready.filter(|server| stage.is_none_or(|stage| server.stage == Some(stage)));
        let closed =
            staged.filter(|server| !state.send_control.is_open(now, server.key(), self.rank));
        closed
            .filter_map(|server| Some((server.key(), state.send_control.limit(now, server.key())?)))
            .collect()
    }

    /// Whether some servers would accept this request but for their limit.
    pub fn is_blocked_by_limits(&self, stage: Option<ServerStage>) -> bool {
        !self.servers_at_limit(stage).is_empty()
    }

    /// Refuses a request that only servers at their limit could accept, with the time after which one of them will.
    pub async fn refuse_at_limit(&self, stage: Option<ServerStage>) -> CallEnd {
        let closed = self.servers_at_limit(stage);
        let stated = match draw_server(&closed) {
            Some(server) => self.host.request_retry_pause(server, self.rank).await,
            None => None,
        };
        let pause = stated.unwrap_or(DEFAULT_PAUSE).max(MIN_PAUSE);
        log::info!(
            "event=refused_at_limit request={} servers={} told={} come_back_ms={}",
            self.id(),
            closed.len(),
            stated.is_some(),
            pause.as_millis()
        );
        CallEnd::NotRun(NotRunReason::ServersAtLimit, pause)
    }
}

/// Draws a server with a probability proportional to its limit, so that callers are spread over servers in proportion
/// to what these accept.
fn draw_server(servers: &[(ServerKey, ServerLimit)]) -> Option<ServerKey> {
    let total: f64 = servers.iter().map(|(_, limit)| limit.per_second()).sum();
    let mut point = rand::random::<f64>() * total;
    for (server, limit) in servers {
        point -= limit.per_second();
        if point <= 0.0 {
            return Some(*server);
        }
    }
    servers.last().map(|(server, _)| *server)
}
