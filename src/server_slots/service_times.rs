use crate::keys::{ServerKey, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

/// Weight of one answer in the mean: about the last five answers count, which is a few seconds of one host's requests
/// to one server.
const ANSWER_WEIGHT: f64 = 0.2;
/// How long a mean is used after the last answer; an older one says nothing about the present load.
const RETENTION: Duration = Duration::from_secs(10);
/// Bound of the ratio between a server's speed and the mean. The answers that one host sees vary by more than this even
/// if the servers are equally fast.
const MAX_RATIO: f64 = 2.0;

#[derive(Debug, Clone, Copy)]
struct ServiceTime {
    seconds: f64,
    at: TimePoint,
}

/// How long plain servers took to answer this host, as a mean of the last answers.
#[derive(Debug, Clone, Default)]
pub struct ServiceTimes {
    servers: HashMap<ServerKey, ServiceTime>,
}

impl ServiceTimes {
    /// Records that a server answered after `time`.
    pub fn record(&mut self, now: TimePoint, server: ServerKey, time: Duration) {
        let seconds = time.as_secs_f64();
        let entry = self.servers.entry(server).or_insert(ServiceTime { seconds, at: now });
        entry.seconds += (seconds - entry.seconds) * ANSWER_WEIGHT;
        entry.at = now;
    }

    /// Mean time of a server's answers.
    pub fn mean(&self, server: ServerKey) -> Option<Duration> {
        self.servers.get(&server).map(|entry| Duration::from_secs_f64(entry.seconds))
    }

    /// Speeds of `servers` relative to their mean; one for those that are not known.
    pub fn speeds(&self, servers: &[ServerKey]) -> Vec<f64> {
        let times: Vec<Option<f64>> =
            servers.iter().map(|key| self.servers.get(key).map(|entry| entry.seconds)).collect();
        let known = || times.iter().flatten();
        let mean = known().sum::<f64>() / known().count().max(1) as f64;
        let speed =
            |own: f64| (mean / own.max(f64::MIN_POSITIVE)).clamp(1.0 / MAX_RATIO, MAX_RATIO);
        times.iter().map(|own| own.map_or(1.0, speed)).collect()
    }

    /// Drops servers that have not answered for a while.
    pub fn expire(&mut self, now: TimePoint) {
        self.servers.retain(|_, entry| now.since(entry.at) < RETENTION);
    }
}
