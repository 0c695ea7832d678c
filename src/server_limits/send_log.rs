use super::SendHistory;
use super::send_history::HistoryPoint;
use crate::keys::{ServerKey, TimePoint};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// How long sends are kept: longer than the window in which sends are counted against a limit, so that requests sent
/// before a limit was known count against it.
pub const LOG_RETENTION: Duration = Duration::from_secs(5);
/// Sends within this time share one entry, which bounds the log to 100 entries per server.
const BIN_WIDTH: Duration = Duration::from_millis(50);

/// Number of sends within one bin of [`BIN_WIDTH`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SendCount {
    started_at: TimePoint,
    count: u32,
}

/// Requests that this host recently sent to each backend server.
#[derive(Debug, Default)]
pub struct SendLog {
    servers: HashMap<ServerKey, VecDeque<SendCount>>,
}

impl SendLog {
    /// Records that a request is sent to a server.
    pub fn record(&mut self, now: TimePoint, server: ServerKey) {
        let started_at = bin_start(now);
        let counts = self.servers.entry(server).or_default();
        drop_old(now, counts);
        match counts.back_mut() {
            Some(last) if last.started_at == started_at => last.count += 1,
            _ => counts.push_back(SendCount { started_at, count: 1 }),
        }
    }

    /// Removes a request that was recorded at `at` but not sent.
    pub fn undo(&mut self, at: TimePoint, server: ServerKey) {
        let started_at = bin_start(at);
        let Some(counts) = self.servers.get_mut(&server) else { return };
        if let Some(entry) = counts.iter_mut().find(|entry| entry.started_at == started_at) {
            entry.count = entry.count.saturating_sub(1);
        }
    }

    /// Number of requests that were sent to a server within the last `span`.
    pub fn recent(&self, now: TimePoint, server: ServerKey, span: Duration) -> u32 {
        let counts = self.servers.get(&server).into_iter().flatten();
        counts
            .filter(|entry| now.since(entry.started_at + BIN_WIDTH) < span)
            .map(|entry| entry.count)
            .sum()
    }

    /// All requests that were sent to a server within [`LOG_RETENTION`].
    pub fn history(&self, now: TimePoint, server: ServerKey) -> SendHistory {
        let counts = self.servers.get(&server).into_iter().flatten();
        let recent =
            counts.filter(|entry| entry.count > 0 && now.since(entry.started_at) < LOG_RETENTION);
        SendHistory(recent.map(|entry| entry.point(now)).collect())
    }

    /// Drops entries older than [`LOG_RETENTION`].
    pub fn expire(&mut self, now: TimePoint) {
        self.servers.retain(|_, counts| {
            drop_old(now, counts);
            !counts.is_empty()
        });
    }
}

impl SendCount {
    /// The age is measured from the end of the bin, so that no send appears older than it is.
    fn point(self, now: TimePoint) -> HistoryPoint {
        let age = now.since(self.started_at + BIN_WIDTH).as_millis();
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

fn bin_start(at: TimePoint) -> TimePoint {
    let width = BIN_WIDTH.as_micros() as i64;
    TimePoint(at.0.div_euclid(width) * width)
}
