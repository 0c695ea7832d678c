use super::helper_mark::{HelperMark, HelperMarks};
use super::pending_call::{CallRecord, PendingCall};
use super::{DialedConnection, PathRecord};
use crate::connections::{ReadMeter, ResetMark};
use crate::keys::{TimePoint, stable_hash};
use crate::server_paths::ConnectionPath;
use bytes::Bytes;
use http::HeaderMap;
use http::header::HeaderValue;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const MAX_IDLE_PER_ADDRESS: usize = 64;
/// Keep-alive time assumed for a server that does not state one.
pub(super) const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(2);
/// Time before the server closes an idle connection during which it is no longer used; otherwise the server might close
/// it while a request is in flight.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// How long after an answer without proof no connection to its server is reused. A server that sends one answer twice
/// has usually sent others twice as well, and each copy fails the request that receives it.
const FOREIGN_COOLDOWN: Duration = Duration::from_secs(2);
/// Minimum time without an answer after which an abandoned call counts against its connection.
const MIN_SILENCE: Duration = Duration::from_millis(150);
/// Age at which a connection through another host is closed, so that requests return to this host's own paths and spread
/// over the hosts that help.
const MAX_TUNNEL_AGE: Duration = Duration::from_secs(10);
/// Number of calls after which a connection is closed. It bounds the set of call ids that a connection remembers.
const MAX_CALLS: u32 = 256;

pub(super) type CallSender = SendRequest<Full<Bytes>>;

/// A connection and the record of its calls.
#[derive(Debug)]
pub(super) struct PooledConnection {
    pub sender: CallSender,
    /// Counts what is read on the connection.
    pub meter: ReadMeter,
    path: ConnectionPath,
    /// The host that forwards it, if one does.
    helper: Option<Arc<HelperMark>>,
    opened_at: TimePoint,
    /// While a call waits for its answer, the end of the connection is a reset.
    pub mark: ResetMark,
    /// Number of calls sent on this connection.
    pub calls: u32,
    /// Hashes of the ids of these calls. The ids themselves are not stored: an id would keep alive the buffer into
    /// which its request was read, 4 KB or more per caller's connection.
    ids: HashSet<u64>,
}

impl PooledConnection {
    fn new(dialed: DialedConnection, now: TimePoint, helpers: &HelperMarks) -> Self {
        let DialedConnection { sender, path, mark, meter } = dialed;
        let helper = match path {
            ConnectionPath::Direct => None,
            ConnectionPath::Tunnel(address) => Some(helpers.mark(address)),
        };
        Self { sender, meter, path, helper, opened_at: now, mark, calls: 0, ids: HashSet::new() }
    }

    /// Whether no host that is leaving forwards it: its exit would cut off a call that lasts longer.
    fn has_usable_path(&self) -> bool {
        self.helper.as_ref().is_none_or(|helper| helper.is_usable())
    }

    /// Records a call on this connection.
    pub fn record_call(&mut self, id: Option<&HeaderValue>) {
        self.calls += 1;
        self.ids.extend(id.map(|id| stable_hash(id.as_bytes())));
    }

    /// Whether the answer to a call with `id` can be distinguished from the answers to earlier calls. If a call is sent
    /// again with the same id, for example after the server rejected it, its two answers look alike.
    fn may_carry(&self, id: Option<&HeaderValue>) -> bool {
        id.is_none_or(|id| !self.ids.contains(&stable_hash(id.as_bytes())))
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: PooledConnection,
    idle_since: TimePoint,
    /// How long the server keeps the connection open while it is idle.
    keep_alive: Duration,
}

impl IdleConnection {
    /// Whether the server keeps the connection open long enough for one more request.
    fn is_usable(&self, now: TimePoint) -> bool {
        now.since(self.idle_since) + KEEP_ALIVE_MARGIN.min(self.keep_alive / 2) < self.keep_alive
    }
}

/// Connections that are idle between calls, by address.
#[derive(Debug, Clone, Default)]
pub(super) struct IdleConnections {
    paths: PathRecord,
    helpers: HelperMarks,
    servers: Arc<Mutex<HashMap<SocketAddr, AddressConnections>>>,
}

/// The connections of one address.
#[derive(Debug, Default)]
struct AddressConnections {
    idle: Vec<IdleConnection>,
    /// When the last answer without proof arrived from this address.
    foreign_at: Option<TimePoint>,
    /// When an answer last began to arrive from this address.
    answered_at: Option<TimePoint>,
    /// Calls without an answer so far.
    pending: Vec<CallRecord>,
}

impl AddressConnections {
    fn is_trusted(&self, now: TimePoint) -> bool {
        self.foreign_at.is_none_or(|at| now.since(at) > FOREIGN_COOLDOWN)
    }
}

impl IdleConnections {
    /// What the connections show of this host's own paths.
    pub fn paths(&self) -> &PathRecord {
        &self.paths
    }

    /// Begins the record of a connection that has just been opened.
    pub fn begin(&self, dialed: DialedConnection) -> PooledConnection {
        PooledConnection::new(dialed, self.paths.now(), &self.helpers)
    }

    /// Takes the connection with the shortest idle time that has not carried `id`; `None` if that idle time exceeds
    /// `max_idle`.
    pub fn take(
        &self,
        address: SocketAddr,
        max_idle: Duration,
        id: Option<&HeaderValue>,
    ) -> Option<PooledConnection> {
        let now = self.paths.now();
        let mut servers = self.servers.lock().ok()?;
        let connections = servers.get_mut(&address)?;
        connections.idle.retain(|idle| {
            let is_cut = idle.connection.path == ConnectionPath::Direct
                && !self.paths.is_direct_usable(idle.idle_since);
            idle.is_usable(now) && !is_cut
        });
        let index = connections.idle.iter().rposition(|idle| idle.connection.may_carry(id))?;
        if now.since(connections.idle[index].idle_since) > max_idle {
            return None;
        }
        Some(connections.idle.remove(index).connection)
    }

    /// Returns a connection to the pool; the server keeps it open for `keep_alive`.
    pub fn put(&self, address: SocketAddr, connection: PooledConnection, keep_alive: Duration) {
        let now = self.paths.now();
        let Ok(mut servers) = self.servers.lock() else { return };
        let connections = servers.entry(address).or_default();
        let is_old_tunnel = connection.path != ConnectionPath::Direct
            && now.since(connection.opened_at) > MAX_TUNNEL_AGE;
        let is_used_up = connection.sender.is_closed()
            || connection.calls >= MAX_CALLS
            || is_old_tunnel
            || !connection.has_usable_path();
        if !is_used_up
            && connections.is_trusted(now)
            && connections.idle.len() < MAX_IDLE_PER_ADDRESS
        {
            connections.idle.push(IdleConnection { connection, idle_since: now, keep_alive });
        }
    }

    /// Records that an answer began to arrive on `connection`.
    pub fn record_answer(&self, address: SocketAddr, connection: &PooledConnection) {
        if connection.path == ConnectionPath::Direct {
            self.paths.record_answer(address, connection.opened_at);
        }
        let now = self.paths.now();
        let Ok(mut servers) = self.servers.lock() else { return };
        servers.entry(address).or_default().answered_at = Some(now);
    }

    /// Whether an answer began to arrive from `address` no longer than `within` ago, on any connection.
    pub fn has_answered(&self, address: SocketAddr, within: Duration) -> bool {
        let now = self.paths.now();
        let Ok(servers) = self.servers.lock() else { return false };
        let answered_at = servers.get(&address).and_then(|known| known.answered_at);
        answered_at.is_some_and(|at| now.since(at) < within)
    }

    /// Records that a call is sent on `connection`. Until its answer is accepted, the end of the connection is a reset.
    pub fn start_call(&self, address: SocketAddr, connection: &PooledConnection) -> PendingCall {
        connection.mark.set();
        let (path, opened_at) = (connection.path, connection.opened_at);
        let sent_at = self.paths.now();
        let record = CallRecord { path, opened_at, sent_at, is_silence_noted: false };
        if let Ok(mut servers) = self.servers.lock() {
            servers.entry(address).or_default().pending.push(record);
        }
        PendingCall::new(self.clone(), address, record)
    }

    /// Records that a call which goes on is silent, with the consequences for idle connections of one that was abandoned.
    pub fn record_silence(&self, address: SocketAddr) {
        let now = self.paths.now();
        let Ok(mut servers) = self.servers.lock() else { return };
        let Some(connections) = servers.get_mut(&address) else { return };
        let unnoted = connections.pending.iter_mut().filter(|call| !call.is_silence_noted);
        let Some(call) = unnoted.min_by_key(|call| call.sent_at) else { return };
        call.is_silence_noted = true;
        let call = *call;
        self.give_up_idle(now, address, connections, call);
    }

    /// Closes the idle connections through hosts for which `is_usable` does not hold, and those in use once their call ends.
    pub fn retain_tunnels(&self, is_usable: impl Fn(SocketAddr) -> bool) {
        self.helpers.update(is_usable);
        let Ok(mut servers) = self.servers.lock() else { return };
        for connections in servers.values_mut() {
            connections.idle.retain(|idle| idle.connection.has_usable_path());
        }
    }

    /// Whether connections through other hosts are open, idle or in use.
    pub fn has_tunnels(&self) -> bool {
        self.helpers.is_any_open()
    }

    /// Ends the record of a call; `is_abandoned` tells whether it was given up without an answer.
    pub fn end_call(&self, address: SocketAddr, call: CallRecord, is_abandoned: bool) {
        let now = self.paths.now();
        let Ok(mut servers) = self.servers.lock() else { return };
        let connections = servers.entry(address).or_default();
        let place = connections.pending.iter().position(|known| known.is_same_call(&call));
        let known = place.map(|place| connections.pending.swap_remove(place));
        let is_noted = known.is_some_and(|known| known.is_silence_noted);
        if is_abandoned && !is_noted {
            self.give_up_idle(now, address, connections, call);
        }
    }

    /// Closes the idle connections to a server that did not answer `call`, unless another answer has arrived from it since.
    fn give_up_idle(
        &self,
        now: TimePoint,
        address: SocketAddr,
        connections: &mut AddressConnections,
        call: CallRecord,
    ) {
        let sent_at = call.sent_at;
        let is_responsive = connections.answered_at.is_some_and(|at| at >= sent_at);
        if is_responsive || now.since(sent_at) < MIN_SILENCE {
            return;
        }
        self.paths.record_silence(address, call.path, call.opened_at, sent_at);
        if connections.idle.is_empty() {
            return;
        }
        log::info!(
            "event=connections_given_up address={address} count={} silent_ms={}",
            connections.idle.len(),
            now.since(sent_at).as_millis()
        );
        connections.idle.clear();
    }

    /// Records an answer without proof. The idle connections to its server are closed, because it may have sent other
    /// answers twice as well.
    pub fn record_foreign(&self, address: SocketAddr) {
        let now = self.paths.now();
        let Ok(mut servers) = self.servers.lock() else { return };
        let connections = servers.entry(address).or_default();
        connections.idle.clear();
        connections.foreign_at = Some(now);
    }

    /// Returns the addresses that have a usable connection, and closes connections that are no longer usable.
    pub fn addresses(&self) -> HashSet<SocketAddr> {
        let now = self.paths.now();
        let Ok(mut servers) = self.servers.lock() else { return HashSet::new() };
        servers.retain(|_, connections| {
            connections.idle.retain(|idle| idle.is_usable(now));
            let is_in_use = !connections.idle.is_empty() || !connections.pending.is_empty();
            is_in_use || !connections.is_trusted(now)
        });
        let warm = servers.iter().filter(|(_, connections)| !connections.idle.is_empty());
        warm.map(|(address, _)| *address).collect()
    }
}

/// Reads from an answer's headers how long the server keeps the connection open; `None` if it closes the connection.
pub(super) fn keep_alive_time(headers: &HeaderMap) -> Option<Duration> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    if text("connection").is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
        return None;
    }
    let Some(stated) = text("keep-alive") else {
        return Some(DEFAULT_KEEP_ALIVE);
    };
    let digits: String = stated
        .chars()
        .skip_while(|character| !character.is_ascii_digit())
        .take_while(char::is_ascii_digit)
        .collect();
    Some(digits.parse().map_or(DEFAULT_KEEP_ALIVE, Duration::from_secs))
}
