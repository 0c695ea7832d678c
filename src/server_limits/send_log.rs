use super::SendHistory;
use super::send_history::HistoryPoint;
use crate::keys::{ServerKey, TimePoint};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// How long sends are remembered: longer than the window in which a server's limit is counted, so that what
/// was sent before a limit was known counts against it.
pub const LOG_RETENTION: Duration = Duration::from_secs(5);
/// Sends within this time are counted as one entry, which bounds the log at 100 entries a server.
const GRAIN: Duration = Duration::from_millis(50);

/// Sends that began within one grain of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SendCount {
    started_at: TimePoint,
    count: u32,
}

/// Requests that this host sent to each backend server in the last seconds.
#[derive(Debug, Default)]
pub struct SendLog {
    servers: HashMap<ServerKey, VecDeque<SendCount>>,
}

impl SendLog {
    /// A request goes to a server.
    pub fn record(&mut self, now: TimePoint, server: ServerKey) {
        let began = grain(now);
        let counts = self.servers.entry(server).or_default();
        drop_old(now, counts);
        match counts.back_mut() {
            Some(last) if last.started_at == began => last.count += 1,
            _ => counts.push_back(SendCount { started_at: began, count: 1 }),
        }
    }

    /// A request that was noted at `at` did not go.
    pub fn undo(&mut self, at: TimePoint, server: ServerKey) {
        let began = grain(at);
        let Some(counts) = self.servers.get_mut(&server) else { return };
        if let Some(entry) = counts.iter_mut().find(|entry| entry.started_at == began) {
            entry.count = entry.count.saturating_sub(1);
        }
    }

    /// Requests that went to a server within the last `span`.
    pub fn recent(&self, now: TimePoint, server: ServerKey, span: Duration) -> u32 {
        let counts = self.servers.get(&server).into_iter().flatten();
        counts
            .filter(|entry| now.since(entry.started_at + GRAIN) < span)
            .map(|entry| entry.count)
            .sum()
    }

    /// All that went to a server in the time that is remembered.
    pub fn history(&self, now: TimePoint, server: ServerKey) -> SendHistory {
        let counts = self.servers.get(&server).into_iter().flatten();
        let recent =
            counts.filter(|entry| entry.count > 0 && now.since(entry.started_at) < LOG_RETENTION);
        SendHistory(recent.map(|entry| entry.point(now)).collect())
    }

    /// Forgets what is old.
    pub fn expire(&mut self, now: TimePoint) {
        self.servers.retain(|_, counts| {
            drop_old(now, counts);
            !counts.is_empty()
        });
    }
}

impl SendCount {
    /// Counted from the end of its grain: a send is never taken for older than it is.
    fn point(self, now: TimePoint) -> HistoryPoint {
        let age = now.since(self.started_at + GRAIN).as_millis();
        HistoryPoint {
            age_ms: u16::try_from(age).unwrap_or(u16::MAX),
            count: u16::try_from(self.count).unwrap_or(u16::MAX),
        }
    }
}

fn drop_old(now: TimePoint, counts: &mut VecDeque<SendCount>) {
    while counts.front().is_some_and(|entry| now.since(entry.started_at) > LOG_RETENTION) {
        counts.pop_front();
    }
}

fn grain(at: TimePoint) -> TimePoint {
    let length = GRAIN.as_micros() as u64;
    TimePoint(at.0 / length * length)
}
