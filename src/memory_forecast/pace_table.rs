use super::{MAX_PACES_SENT, PaceUpdate, ServerPace};
use crate::keys::{IncarnationId, NameKey, ServerKey, TimePoint, mix_hash};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

/// Weight of one measured event. A group of eight events counts a quarter, so that one that contains a pause of its
/// server does not change the order of the servers.
const EVENT_WEIGHT: f64 = 0.03;
/// Maximum factor between a measurement and the known pace. A stream that was preempted is not evidence of a server that
/// is ten times slower; one that really is slower is known after a few groups.
const MAX_FACTOR: f64 = 2.0;
/// Minimum interval between two comparisons of the servers. Sorting thousands of them for each event would be costly,
/// and a pace hardly changes.
const COMPARE_INTERVAL: Duration = Duration::from_millis(500);
/// By how much a received pace must be newer than the known one. Ages are rounded to tenths of a second, and a pace that
/// was sent back and forth must not seem new.
const MIN_NEWER: Duration = Duration::from_millis(200);

/// The pace of one server.
#[derive(Debug, Clone, Copy)]
struct KnownPace {
    service: NameKey,
    /// Tokens per second of one run.
    tokens_per_second: f64,
    measured_at: TimePoint,
}

/// The pace of each server, as this host measured it or received it from others. The newest value counts: a pace is a
/// property of the server.
#[derive(Debug, Default)]
pub struct PaceTable {
    paces: HashMap<ServerKey, KnownPace>,
    /// Pace over the median of the service.
    relative: HashMap<ServerKey, f64>,
    compared_at: TimePoint,
    /// Whether any pace has changed since the last update was sent.
    has_news: bool,
}

impl PaceTable {
    /// Records that a run at a server of `service` produced `events` events of `event_tokens` tokens each in `took`.
    pub fn record(
        &mut self,
        now: TimePoint,
        (service, server): (NameKey, ServerKey),
        (events, event_tokens): (u32, u32),
        took: Duration,
    ) {
        let seconds = took.as_secs_f64();
        if events == 0 || event_tokens == 0 || seconds <= 0.0 {
            return;
        }
        let measured = f64::from(events) * f64::from(event_tokens) / seconds;
        let tokens_per_second = match self.paces.get(&server) {
            Some(known) => {
                let known = known.tokens_per_second;
                let measured = measured.clamp(known / MAX_FACTOR, known * MAX_FACTOR);
                known + (measured - known) * (f64::from(events) * EVENT_WEIGHT).min(1.0)
            }
            None => measured,
        };
        let pace = KnownPace { service, tokens_per_second, measured_at: now };
        let is_new = self.paces.insert(server, pace).is_none();
        self.has_news = true;
        self.compare(now, is_new);
    }

    /// Applies what another host knows; `service_of` names the service of a server that exists.
    pub fn apply(
        &mut self,
        now: TimePoint,
        update: &PaceUpdate,
        service_of: impl Fn(ServerKey) -> Option<NameKey>,
    ) {
        let mut is_new = false;
        for entry in update.paces.iter().take(MAX_PACES_SENT) {
            let Some(service) = service_of(entry.server).filter(|_| entry.tokens_per_second > 0)
            else {
                continue;
            };
            let measured_at = now - Duration::from_millis(u64::from(entry.age_tenths) * 100);
            let known = self.paces.get(&entry.server);
            if known.is_some_and(|known| measured_at.since(known.measured_at) < MIN_NEWER) {
                continue;
            }
            is_new |= known.is_none();
            let tokens_per_second = f64::from(entry.tokens_per_second);
            let pace = KnownPace { service, tokens_per_second, measured_at };
            self.paces.insert(entry.server, pace);
            self.has_news = true;
        }
        self.compare(now, is_new);
    }

    /// Tokens per second of one run at a server, if known.
    pub fn pace(&self, server: ServerKey) -> Option<f64> {
        self.paces.get(&server).map(|pace| pace.tokens_per_second)
    }

    /// Pace of a server over the median of its service; 1.0 if it is not known.
    pub fn relative(&self, server: ServerKey) -> f64 {
        self.relative.get(&server).copied().unwrap_or(1.0)
    }

    /// The relative paces of all servers whose pace is known.
    pub fn relative_paces(&self) -> &HashMap<ServerKey, f64> {
        &self.relative
    }

    /// Drops servers that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(ServerKey) -> bool) {
        self.paces.retain(|server, _| exists(*server));
        self.relative.retain(|server, _| exists(*server));
    }

    /// What to send to other hosts: the newest paces and, if there are too many, some of the others by `salt`. `None` if
    /// nothing has changed since the last call.
    pub fn update(&mut self, now: TimePoint, from: IncarnationId, salt: u64) -> Option<PaceUpdate> {
        if !std::mem::take(&mut self.has_news) {
            return None;
        }
        let mut known: Vec<(ServerKey, KnownPace)> =
            self.paces.iter().map(|(server, pace)| (*server, *pace)).collect();
        if known.len() > MAX_PACES_SENT {
            known.sort_unstable_by_key(|(server, pace)| (Reverse(pace.measured_at), *server));
            known[MAX_PACES_SENT / 2..]
                .sort_unstable_by_key(|(server, _)| mix_hash(salt, server.0));
            known.truncate(MAX_PACES_SENT);
        }
        let entry = |(server, pace): (ServerKey, KnownPace)| ServerPace {
            server,
            tokens_per_second: pace.tokens_per_second.round().clamp(1.0, f64::from(u16::MAX))
                as u16,
            // Rounded up, so that a pace never seems newer than it is.
            age_tenths: u16::try_from(now.since(pace.measured_at).as_millis() / 100 + 1)
                .unwrap_or(u16::MAX),
        };
        Some(PaceUpdate { from, paces: known.into_iter().map(entry).collect() })
    }

    /// Compares the servers of each service, at once for a new server.
    fn compare(&mut self, now: TimePoint, is_new: bool) {
        if !is_new && now.since(self.compared_at) < COMPARE_INTERVAL {
            return;
        }
        self.compared_at = now;
        let mut by_service: HashMap<NameKey, Vec<f64>> = HashMap::new();
        for pace in self.paces.values() {
            by_service.entry(pace.service).or_default().push(pace.tokens_per_second);
        }
        for paces in by_service.values_mut() {
            paces.sort_unstable_by(f64::total_cmp);
        }
        let median = |service| {
            let paces: &Vec<f64> = &by_service[service];
            f64::midpoint(paces[(paces.len() - 1) / 2], paces[paces.len() / 2])
        };
        let relative = self
            .paces
            .iter()
            .map(|(server, pace)| (*server, pace.tokens_per_second / median(&pace.service)));
        self.relative = relative.collect();
    }
}
