use crate::keys::{HostClock, TimePoint, stable_hash};
use bytes::Bytes;
use http::HeaderMap;
use http::header::HeaderValue;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const IDLE_PER_ADDRESS: usize = 64;
/// Assumed of a server that does not say how long it keeps idle connections.
pub(super) const UNSTATED_KEEP: Duration = Duration::from_secs(2);
/// A connection is given up this long before its server closes it, for a request on the way.
const KEEP_MARGIN: Duration = Duration::from_millis(700);
/// How long after an answer without proof no connection to its server is kept: one that gives an answer
/// twice has mostly given others twice as well, and each copy costs the request that meets it. Where three
/// answers in ten came twice late, failed requests fell from 0.036 to 0.027, 0.031 to 0.026 and 0.037 to
/// 0.028 of all (three deployments, eight plays each); where three in a hundred did, nothing changed.
const FOREIGN_REST: Duration = Duration::from_secs(2);
/// A call that is given up sooner tells nothing of its connection.
const LEAST_SILENCE: Duration = Duration::from_millis(150);
/// Calls after which a connection is closed, so that it can remember the ids of all of them.
const MOST_CALLS: u32 = 256;

pub(super) type CallSender = SendRequest<Full<Bytes>>;

/// A connection and what it has carried.
#[derive(Debug)]
pub(super) struct PooledConnection {
    pub sender: CallSender,
    /// Calls that it has carried.
    pub calls: u32,
    /// Hashes of the ids of those that had one: an id itself would keep the buffer that its request was read
    /// into, 4 KB or more of a caller's connection.
    ids: HashSet<u64>,
}

impl PooledConnection {
    pub fn new(sender: CallSender) -> Self {
        Self { sender, calls: 0, ids: HashSet::new() }
    }

    /// It carries a call.
    pub fn note_call(&mut self, id: Option<&HeaderValue>) {
        self.calls += 1;
        self.ids.extend(id.map(|id| stable_hash(id.as_bytes())));
    }

    /// Whether an answer on it can be told from those to earlier calls: the id of a call that is sent
    /// again, as when a server turned it away, does not tell its two answers apart.
    fn may_carry(&self, id: Option<&HeaderValue>) -> bool {
        id.is_none_or(|id| !self.ids.contains(&stable_hash(id.as_bytes())))
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: PooledConnection,
    since: TimePoint,
    /// How long its server keeps it.
    keep: Duration,
}

impl IdleConnection {
    /// Whether its server keeps it long enough for one more request.
    fn is_usable(&self, now: TimePoint) -> bool {
        now.since(self.since) + KEEP_MARGIN.min(self.keep / 2) < self.keep
    }
}

/// Connections that rest between calls, by address.
#[derive(Debug, Clone, Default)]
pub(super) struct IdleConnections {
    clock: HostClock,
    servers: Arc<Mutex<HashMap<SocketAddr, KeptConnections>>>,
}

/// The connections of one address.
#[derive(Debug, Default)]
struct KeptConnections {
    idle: Vec<IdleConnection>,
    /// When an answer without proof came from there.
    foreign_at: Option<TimePoint>,
    /// When an answer last began to come from there.
    heard_at: Option<TimePoint>,
}

impl KeptConnections {
    fn is_trusted(&self, now: TimePoint) -> bool {
        self.foreign_at.is_none_or(|at| now.since(at) > FOREIGN_REST)
    }
}

impl IdleConnections {
    /// The connection that rested least and has not carried `id`, unless it has rested for too long.
    pub fn take(
        &self,
        address: SocketAddr,
        rested: Duration,
        id: Option<&HeaderValue>,
    ) -> Option<PooledConnection> {
        let now = self.clock.now();
        let mut servers = self.servers.lock().ok()?;
        let kept = servers.get_mut(&address)?;
        kept.idle.retain(|idle| idle.is_usable(now));
        let place = kept.idle.iter().rposition(|idle| idle.connection.may_carry(id))?;
        if now.since(kept.idle[place].since) > rested {
            return None;
        }
        Some(kept.idle.remove(place).connection)
    }

    /// Keeps a connection for as long as its server does.
    pub fn put(&self, address: SocketAddr, connection: PooledConnection, keep: Duration) {
        let now = self.clock.now();
        let Ok(mut servers) = self.servers.lock() else { return };
        let kept = servers.entry(address).or_default();
        let is_spent = connection.sender.is_closed() || connection.calls >= MOST_CALLS;
        if !is_spent && kept.is_trusted(now) && kept.idle.len() < IDLE_PER_ADDRESS {
            kept.idle.push(IdleConnection { connection, since: now, keep });
        }
    }

    /// An answer began to come.
    pub fn note_heard(&self, address: SocketAddr) {
        let now = self.clock.now();
        let Ok(mut servers) = self.servers.lock() else { return };
        servers.entry(address).or_default().heard_at = Some(now);
    }

    /// A call leaves on a kept connection.
    pub fn sent(&self, address: SocketAddr) -> SentCall {
        SentCall { idle: self.clone(), address, sent_at: self.clock.now(), is_answered: false }
    }

    /// A call that left on a kept connection at `sent_at` was given up without an answer.
    fn note_unanswered(&self, address: SocketAddr, sent_at: TimePoint) {
        let now = self.clock.now();
        let Ok(mut servers) = self.servers.lock() else { return };
        let Some(kept) = servers.get_mut(&address) else { return };
        let is_heard = kept.heard_at.is_some_and(|at| at >= sent_at);
        if is_heard || now.since(sent_at) < LEAST_SILENCE || kept.idle.is_empty() {
            return;
        }
        log::info!(
            "event=connections_given_up address={address} count={} silent_ms={}",
            kept.idle.len(),
            now.since(sent_at).as_millis()
        );
        kept.idle.clear();
    }

    /// An answer without proof came: its server may have given others twice as well.
    pub fn note_foreign(&self, address: SocketAddr) {
        let Ok(mut servers) = self.servers.lock() else { return };
        let kept = servers.entry(address).or_default();
        kept.idle.clear();
        kept.foreign_at = Some(self.clock.now());
    }

    /// Addresses to which a kept connection can be used now; those that can't be used any more are closed.
    pub fn addresses(&self) -> HashSet<SocketAddr> {
        let now = self.clock.now();
        let Ok(mut servers) = self.servers.lock() else { return HashSet::new() };
        servers.retain(|_, kept| {
            kept.idle.retain(|idle| idle.is_usable(now));
            !kept.idle.is_empty() || !kept.is_trusted(now)
        });
        let warm = servers.iter().filter(|(_, kept)| !kept.idle.is_empty());
        warm.map(|(address, _)| *address).collect()
    }
}

/// A call under way on a kept connection. Dropped without an answer, while nothing else came from its server either, it
/// ends the use of the other kept connections there: those that are open may fall silent together without an end, and
/// each would cost one more request.
#[derive(Debug)]
pub(super) struct SentCall {
    idle: IdleConnections,
    address: SocketAddr,
    sent_at: TimePoint,
    is_answered: bool,
}

impl SentCall {
    /// Its answer began to come, or its connection broke.
    pub fn ended(mut self) {
        self.is_answered = true;
    }
}

impl Drop for SentCall {
    fn drop(&mut self) {
        if !self.is_answered {
            self.idle.note_unanswered(self.address, self.sent_at);
        }
    }
}

/// How long a server keeps the connection of this answer; `None` if it closes it.
pub(super) fn stated_keep(headers: &HeaderMap) -> Option<Duration> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    if text("connection").is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
        return None;
    }
    let Some(stated) = text("keep-alive") else {
        return Some(UNSTATED_KEEP);
    };
    let digits: String = stated
        .chars()
        .skip_while(|character| !character.is_ascii_digit())
        .take_while(char::is_ascii_digit)
        .collect();
    Some(digits.parse().map_or(UNSTATED_KEEP, Duration::from_secs))
}
