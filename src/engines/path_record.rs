use crate::Error;
use crate::keys::NameKey;
use crate::keys::{HostClock, TimePoint};
use crate::server_paths::{
    ConnectionPath, Helper, HelperTable, PathChange, PathPlan, PathTable, TunnelRefusal,
};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What the connections of a pool show of the paths to servers: this host's own, and those through other hosts.
#[derive(Debug, Clone, Default)]
pub struct PathRecord {
    clock: HostClock,
    table: Arc<Mutex<PathTable>>,
    helpers: Arc<Mutex<HelperTable>>,
}

impl PathRecord {
    /// Decides how a new connection to `server` is opened.
    pub fn plan(&self, server: SocketAddr) -> PathPlan {
        self.table().plan(self.clock.now(), server)
    }

    /// Sets which servers are in this host's failure domain.
    pub fn set_local_servers(&self, servers: HashSet<SocketAddr>) {
        self.table().set_local_servers(servers);
    }

    /// Whether this host reaches no server on its own paths.
    pub fn is_cut_off(&self) -> bool {
        self.table().is_cut_off()
    }

    /// Whether the own paths apart from the one to `server` are known to work.
    pub fn is_proven(&self, server: SocketAddr) -> bool {
        self.table().is_proven(self.clock.now(), server)
    }

    /// Records that a connection to `server` could not be opened on the own path.
    pub fn record_unopened(&self, server: SocketAddr, error: &Error) {
        log::debug!("event=path_failed address={server} cause=\"{error}\"");
        let change = self.table().record_unopened(self.clock.now(), server);
        log_change(change);
    }

    /// Selects the hosts to ask for a connection; `draw` is a random number.
    pub fn select_helpers(
        &self,
        candidates: &[Helper],
        own_domain: NameKey,
        draw: u64,
    ) -> Vec<SocketAddr> {
        self.helpers().select(self.clock.now(), candidates, own_domain, draw)
    }

    /// Records how a host replied to the request for a connection; `None` if it did not reply.
    pub fn record_helper(
        &self,
        helper: SocketAddr,
        reply: Option<std::result::Result<(), TunnelRefusal>>,
    ) {
        let now = self.clock.now();
        match reply {
            Some(Ok(())) => self.helpers().record_opened(now, helper),
            Some(Err(refusal)) => self.helpers().record_refused(now, helper, refusal),
            None => self.helpers().record_silent(now, helper),
        }
    }

    /// Records that a connection to `server` was opened through another host.
    pub fn record_detour(&self, server: SocketAddr) {
        self.table().record_detour(self.clock.now(), server);
    }

    /// Records that another host does not reach `server` either.
    pub fn record_server_fault(&self, server: SocketAddr) {
        self.table().record_server_fault(self.clock.now(), server);
    }

    /// Drops failures that no longer count.
    pub fn expire(&self) {
        let now = self.clock.now();
        self.table().expire(now);
        self.helpers().expire(now);
    }

    /// The present time on the clock of this record.
    pub fn now(&self) -> TimePoint {
        self.clock.now()
    }

    pub(super) fn is_direct_usable(&self, answered_at: TimePoint) -> bool {
        self.table().is_direct_usable(answered_at)
    }

    /// Records that a call has been unanswered since `sent_at` on a connection that was opened at `opened_at`.
    pub(super) fn record_silence(
        &self,
        server: SocketAddr,
        path: ConnectionPath,
        opened_at: TimePoint,
        sent_at: TimePoint,
    ) {
        let now = self.clock.now();
        match path {
            ConnectionPath::Direct => {
                let change = self.table().record_silence(now, server, opened_at, sent_at);
                log_change(change);
            }
            // The server may be silent itself; another host finds that out as well.
            ConnectionPath::Tunnel(helper) => self.helpers().record_silent(now, helper),
        }
    }

    /// Records that `server` answered on a connection that was opened on the own path at `opened_at`.
    pub fn record_answer(&self, server: SocketAddr, opened_at: TimePoint) {
        let change = self.table().record_answer(self.clock.now(), server, opened_at);
        log_change(change);
    }

    fn helpers(&self) -> MutexGuard<'_, HelperTable> {
        self.helpers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn table(&self) -> MutexGuard<'_, PathTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_change(change: Option<PathChange>) {
    match change {
        None => {}
        Some(PathChange::CutOff { servers }) => {
            log::warn!("event=servers_unreachable failed={servers}");
        }
        Some(PathChange::Restored { after }) => {
            log::info!("event=servers_reachable after_ms={}", after.as_millis());
        }
    }
}
