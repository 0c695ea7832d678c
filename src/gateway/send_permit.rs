//! The right to send one request to one backend server.

use super::call_context::CallContext;
use super::call_end::{CallEnd, NotRunReason};
use super::gateway_host::GatewayHost;
use crate::fleet::{ServerEntry, ServerStage};
use crate::keys::{ServerKey, TimePoint};
use crate::server_limits::{AskPurpose, CallRank, ServerLimit};
use std::sync::Arc;
use std::time::Duration;

/// A request that is sent later than this after it was granted is asked for again: owners count for four seconds,
/// and reading a prompt takes about one.
const PERMIT_LIFE: Duration = Duration::from_secs(2);
/// When a caller may come back whose server's owner does not say.
const UNTOLD_PAUSE: Duration = Duration::from_millis(500);
/// The shortest pause that is worth naming.
const LEAST_PAUSE: Duration = Duration::from_millis(20);

/// One request counted as sent to a server; given back if it is dropped before it goes.
#[derive(Debug)]
pub(super) struct SendPermit {
    host: Arc<GatewayHost>,
    server: ServerKey,
    rank: CallRank,
    noted_at: TimePoint,
    /// The server's owner granted it; other servers have no limit.
    is_granted: bool,
    is_used: bool,
}

impl SendPermit {
    /// The request goes.
    pub fn used(&mut self) {
        self.is_used = true;
    }

    /// Certainly nothing of the request reached the server.
    pub fn unused(&mut self) {
        self.is_used = false;
    }

    /// The same right now, after a while in which the server may have named a limit, or this host was suspended.
    pub async fn renewed(self, context: &CallContext, server: &ServerEntry) -> Option<Self> {
        let mut permit = self;
        let now = permit.host.now();
        let needs_grant = permit.host.state().sends.limit(now, permit.server).is_some();
        let is_old = now.since(permit.noted_at) > PERMIT_LIFE;
        if needs_grant && (is_old || !permit.is_granted) {
            drop(permit);
            return context.permit(server).await;
        }
        {
            let mut state = permit.host.state();
            state.sends.log.take_back(permit.noted_at, permit.server);
            state.sends.log.note(now, permit.server);
        }
        permit.noted_at = now;
        Some(permit)
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        if self.is_used {
            return;
        }
        self.host.state().sends.log.take_back(self.noted_at, self.server);
        if self.is_granted {
            self.host.notify_owner(self.server, self.rank, AskPurpose::GiveBack);
        }
    }
}

impl CallContext {
    /// Asks for this request to be sent to a server, if that has a limit. Nothing is sent without a permit, so that
    /// no way to a server passes its limit by.
    pub async fn permit(&self, server: &ServerEntry) -> Option<SendPermit> {
        let (host, key, now) = (&self.host, server.key(), self.host.now());
        let is_limited = {
            let mut state = host.state();
            let is_limited = state.sends.limit(now, key).is_some();
            if !is_limited {
                state.sends.log.note(now, key);
            }
            is_limited
        };
        let noted_at =
            if is_limited { host.request_send(self.id(), key, self.rank).await? } else { now };
        Some(SendPermit {
            host: Arc::clone(host),
            server: key,
            rank: self.rank,
            noted_at,
            is_granted: is_limited,
            is_used: false,
        })
    }

    /// Servers that would take this request but for their limit, with that.
    fn closed_servers(&self, stage: Option<ServerStage>) -> Vec<(ServerKey, ServerLimit)> {
        let now = self.host.now();
        let state = self.host.state();
        let ready = state.fleet.ready(self.service);
        let staged = ready.filter(|server| stage.is_none_or(|stage| server.stage == Some(stage)));
        let closed = staged.filter(|server| !state.sends.is_open(now, server.key(), self.rank));
        closed
            .filter_map(|server| Some((server.key(), state.sends.limit(now, server.key())?)))
            .collect()
    }

    /// Whether servers would take this request but for their limit.
    pub fn is_limited_out(&self, stage: Option<ServerStage>) -> bool {
        !self.closed_servers(stage).is_empty()
    }

    /// The refusal of a request that only servers at their limit could take, with when one of them will.
    pub async fn refuse_at_limit(&self, stage: Option<ServerStage>) -> CallEnd {
        let closed = self.closed_servers(stage);
        let told = match draw_server(&closed) {
            Some(server) => self.host.request_retry_pause(server, self.rank).await,
            None => None,
        };
        let pause = told.unwrap_or(UNTOLD_PAUSE).max(LEAST_PAUSE);
        log::info!(
            "event=refused_at_limit request={} servers={} told={} come_back_ms={}",
            self.id(),
            closed.len(),
            told.is_some(),
            pause.as_millis()
        );
        CallEnd::NotRun(NotRunReason::ServersAtLimit, pause)
    }
}

/// One of the servers, each as likely as its limit is large: so callers are spread over them as they take them.
fn draw_server(servers: &[(ServerKey, ServerLimit)]) -> Option<ServerKey> {
    let whole: f64 = servers.iter().map(|(_, limit)| limit.per_second()).sum();
    let mut point = rand::random::<f64>() * whole;
    for (server, limit) in servers {
        point -= limit.per_second();
        if point <= 0.0 {
            return Some(*server);
        }
    }
    servers.last().map(|(server, _)| *server)
}
