use crate::keys::{PartKey, RequestKey, ServerKey, TimePoint};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// How long a crash may remain unconfirmed after a connection loss. Even if the server seemed reachable, its entry
/// may still be removed: that takes three missed heartbeats of 1.2 s, and the update arrives within another 2 s.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum number of servers with an unconfirmed crash.
const MAX_SERVERS: usize = 256;
/// Maximum number of requests kept per server.
const MAX_REQUESTS: usize = 64;

/// A request whose connection a server broke off.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConnectionLoss {
    /// The request.
    pub request: RequestKey,
    /// When it was sent to the server.
    pub sent_at: TimePoint,
    /// When its connection was lost.
    pub lost_at: TimePoint,
    /// The shared parts of its prompt that the server may have crashed on: none if it had written on them before.
    pub unwritten_parts: Arc<[PartKey]>,
}

#[derive(Debug, Clone)]
struct UnconfirmedCrash {
    last_loss_at: TimePoint,
    losses: Vec<ConnectionLoss>,
    /// Whether the server is being probed.
    is_probed: bool,
}

/// Servers that broke off connections in the middle of requests, while it is unknown whether they crashed or only
/// lost the connections.
#[derive(Debug, Clone, Default)]
pub struct UnconfirmedCrashes {
    servers: HashMap<ServerKey, UnconfirmedCrash>,
}

impl UnconfirmedCrashes {
    /// Records that a server broke off the connection of a request. Returns true if the caller must probe whether the
    /// server is still running.
    pub fn record_loss(&mut self, server: ServerKey, loss: ConnectionLoss) -> bool {
        if !self.servers.contains_key(&server) && self.servers.len() >= MAX_SERVERS {
            return false;
        }
        let crash = self.servers.entry(server).or_insert_with(|| UnconfirmedCrash {
            last_loss_at: loss.lost_at,
            losses: Vec::new(),
            is_probed: false,
        });
        crash.last_loss_at = loss.lost_at;
        crash.add(loss);
        !std::mem::replace(&mut crash.is_probed, true)
    }

    /// Records that a probe did not show a crash, because it reached the server or was inconclusive. The crash remains
    /// unconfirmed, and the next connection loss starts another probe.
    pub fn record_probed(&mut self, server: ServerKey) {
        if let Some(crash) = self.servers.get_mut(&server) {
            crash.is_probed = false;
        }
    }

    /// Confirms that a server has crashed. Returns the requests that were in flight.
    pub fn confirm(&mut self, server: ServerKey) -> Vec<ConnectionLoss> {
        self.servers.remove(&server).map(UnconfirmedCrash::into_crashed).unwrap_or_default()
    }

    /// Returns the servers that have `ended` in the meantime, with the requests that were in flight, and drops the
    /// servers whose last connection loss is too long ago.
    pub fn settle(
        &mut self,
        now: TimePoint,
        ended: impl Fn(ServerKey) -> bool,
    ) -> Vec<(ServerKey, Vec<ConnectionLoss>)> {
        let ended_keys: Vec<ServerKey> =
            self.servers.keys().copied().filter(|key| ended(*key)).collect();
        let crashed = ended_keys.into_iter().map(|key| (key, self.confirm(key))).collect();
        self.servers.retain(|_, crash| now.since(crash.last_loss_at) < CONFIRM_TIMEOUT);
        crashed
    }
}

impl UnconfirmedCrash {
    /// The requests that were in flight when the server crashed, which is taken to be when the last connection was
    /// lost. Requests that lost their connections earlier count as well, since they may have been sent there again.
    fn into_crashed(self) -> Vec<ConnectionLoss> {
        let lost_at = self.last_loss_at;
        self.losses.into_iter().map(|loss| ConnectionLoss { lost_at, ..loss }).collect()
    }

    /// Adds a request. Of several runs of one request, the oldest counts.
    fn add(&mut self, loss: ConnectionLoss) {
        let has_room = self.losses.len() < MAX_REQUESTS;
        match self.losses.iter_mut().find(|known| known.request == loss.request) {
            Some(known) => {
                known.sent_at = known.sent_at.min(loss.sent_at);
                known.unwritten_parts = loss.unwritten_parts;
            }
            None if has_room => self.losses.push(loss),
            None => {}
        }
    }
}
