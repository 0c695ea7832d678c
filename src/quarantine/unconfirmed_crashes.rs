use crate::keys::{RequestKey, ServerKey, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

/// How long a server that broke connections off and could be reached after it may turn out to have ended: its entry
/// goes after three missed heartbeats of 1.2 s, and the news of that are there within 2 s.
const DOUBT_LIFE: Duration = Duration::from_secs(6);
/// Servers in doubt at a time.
const MOST_SERVERS: usize = 256;
/// Requests kept of each.
const MOST_REQUESTS: usize = 64;

/// A request that a server broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLoss {
    /// The request.
    pub request: RequestKey,
    /// When it had been sent there.
    pub sent_at: TimePoint,
    /// When its connection broke.
    pub lost_at: TimePoint,
}

#[derive(Debug, Clone)]
struct UnconfirmedCrash {
    /// When it last broke off.
    since: TimePoint,
    broken: Vec<ConnectionLoss>,
    /// Whether it is there is being asked.
    is_asked: bool,
}

/// Servers that broke connections off in the middle of requests, as long as it is not known whether they
/// crashed or merely lost the connections.
#[derive(Debug, Clone, Default)]
pub struct UnconfirmedCrashes {
    open: HashMap<ServerKey, UnconfirmedCrash>,
}

impl UnconfirmedCrashes {
    /// A server broke off under a request; true if it is to be asked whether it is still there.
    pub fn record_loss(&mut self, server: ServerKey, broken: ConnectionLoss) -> bool {
        if !self.open.contains_key(&server) && self.open.len() >= MOST_SERVERS {
            return false;
        }
        let doubt = self.open.entry(server).or_insert_with(|| UnconfirmedCrash {
            since: broken.lost_at,
            broken: Vec::new(),
            is_asked: false,
        });
        doubt.since = broken.lost_at;
        doubt.add(broken);
        !std::mem::replace(&mut doubt.is_asked, true)
    }

    /// The server was reached, or nothing is known of it: it stays in doubt, and is asked again when it breaks off
    /// again.
    pub fn record_probed(&mut self, server: ServerKey) {
        if let Some(doubt) = self.open.get_mut(&server) {
            doubt.is_asked = false;
        }
    }

    /// The server has crashed; returns the requests that were there.
    pub fn confirm(&mut self, server: ServerKey) -> Vec<ConnectionLoss> {
        self.open.remove(&server).map(UnconfirmedCrash::crashed).unwrap_or_default()
    }

    /// Returns the servers in doubt that have `ended` since, with the requests that were there, and forgets
    /// those that have not for long.
    pub fn settle(
        &mut self,
        now: TimePoint,
        ended: impl Fn(ServerKey) -> bool,
    ) -> Vec<(ServerKey, Vec<ConnectionLoss>)> {
        let over: Vec<ServerKey> = self.open.keys().copied().filter(|key| ended(*key)).collect();
        let crashed = over.into_iter().map(|key| (key, self.confirm(key))).collect();
        self.open.retain(|_, doubt| now.since(doubt.since) < DOUBT_LIFE);
        crashed
    }
}

impl UnconfirmedCrash {
    /// What was there when the server crashed: that broke off the last of them. One that it had broken off before counts
    /// as well, since it may have come again.
    fn crashed(self) -> Vec<ConnectionLoss> {
        let broke_at = self.since;
        self.broken
            .into_iter()
            .map(|broken| ConnectionLoss { lost_at: broke_at, ..broken })
            .collect()
    }

    /// Of several runs of a request the oldest one counts.
    fn add(&mut self, broken: ConnectionLoss) {
        let has_room = self.broken.len() < MOST_REQUESTS;
        match self.broken.iter_mut().find(|known| known.request == broken.request) {
            Some(known) => known.sent_at = known.sent_at.min(broken.sent_at),
            None if has_room => self.broken.push(broken),
            None => {}
        }
    }
}
