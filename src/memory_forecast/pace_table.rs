use super::read_speed::ReadSpeed;
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
/// By how much a received pace must be newer than the known one. Ages are rounded to tenths of a second, so a pace that
/// returns to its sender could seem newer.
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
/// property of the server. Servers that have run no answer yet are known by how fast they read prompts.
#[derive(Debug, Default)]
pub struct PaceTable {
    paces: HashMap<ServerKey, KnownPace>,
    reads: HashMap<ServerKey, ReadSpeed>,
    /// Speed over the median of the service.
    relative: HashMap<ServerKey, f64>,
    compared_at: TimePoint,
    /// Whether any value has changed since the last update was sent.
    has_changed: bool,
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
        self.has_changed = true;
        self.compare(now, is_new);
    }

    /// Records that a server of `service` read a prompt of `tokens` in `took`.
    pub fn record_read(
        &mut self,
        now: TimePoint,
        (service, server): (NameKey, ServerKey),
        tokens: u32,
        took: Duration,
    ) {
        let millis = took.as_secs_f64() * 1000.0;
        if tokens == 0 || millis <= 0.0 {
            return;
        }
        let speed = f64::from(tokens) / millis;
        let is_new = !self.reads.contains_key(&server);
        let read = self.reads.entry(server).or_insert_with(|| ReadSpeed::new(service));
        read.own.record(now, speed);
        read.known.record(now, speed);
        self.has_changed = true;
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
            let Some(service) = service_of(entry.server) else { continue };
            if entry.read_tokens_per_ms > 0 {
                is_new |= !self.reads.contains_key(&entry.server);
                let read =
                    self.reads.entry(entry.server).or_insert_with(|| ReadSpeed::new(service));
                read.known.record(now, entry.read_tokens_per_ms.into());
            }
            if entry.tokens_per_second == 0 {
                continue;
            }
            let measured_at = now - Duration::from_millis(u64::from(entry.age_tenths) * 100);
            let known = self.paces.get(&entry.server);
            if known.is_some_and(|known| measured_at.since(known.measured_at) < MIN_NEWER) {
                continue;
            }
            is_new |= known.is_none();
            let tokens_per_second = f64::from(entry.tokens_per_second);
            let pace = KnownPace { service, tokens_per_second, measured_at };
            self.paces.insert(entry.server, pace);
            self.has_changed = true;
        }
        self.compare(now, is_new);
    }

    /// Tokens per second of one run at a server, if known.
    pub fn pace(&self, server: ServerKey) -> Option<f64> {
        self.paces.get(&server).map(|pace| pace.tokens_per_second)
    }

    /// Speed of a server over the median of its service; 1.0 if it is not known. It is compared by its pace, or by its
    /// reads of prompts while no run is known there, each with the servers known in the same way.
    pub fn relative(&self, server: ServerKey) -> f64 {
        self.relative.get(&server).copied().unwrap_or(1.0)
    }

    /// The relative speeds of all servers that are known by their pace or their reads.
    pub fn relative_paces(&self) -> &HashMap<ServerKey, f64> {
        &self.relative
    }

    /// Drops servers that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(ServerKey) -> bool) {
        self.paces.retain(|server, _| exists(*server));
        self.reads.retain(|server, _| exists(*server));
        self.relative.retain(|server, _| exists(*server));
    }

    /// What to send to other hosts: the newest paces and, if there are too many, some of the others by `salt`. `None` if
    /// nothing has changed since the last call.
    pub fn update(&mut self, now: TimePoint, from: IncarnationId, salt: u64) -> Option<PaceUpdate> {
        if !std::mem::take(&mut self.has_changed) {
            return None;
        }
        let paces = self.paces.iter().map(|(server, pace)| (pace.measured_at, *server));
        let only_read = self.reads.iter().filter_map(|(server, read)| {
            let is_recent =
                read.own.recent_value(now).is_some() && !self.paces.contains_key(server);
            is_recent.then_some((read.own.started_at, *server))
        });
        let mut known: Vec<(TimePoint, ServerKey)> = paces.chain(only_read).collect();
        if known.len() > MAX_PACES_SENT {
            known.sort_unstable_by_key(|(known_at, server)| (Reverse(*known_at), *server));
            known[MAX_PACES_SENT / 2..]
                .sort_unstable_by_key(|(_, server)| mix_hash(salt, server.0));
            known.truncate(MAX_PACES_SENT);
        }
        let paces = known.into_iter().map(|(_, server)| self.entry(now, server)).collect();
        Some(PaceUpdate { from, paces })
    }

    fn entry(&self, now: TimePoint, server: ServerKey) -> ServerPace {
        let pace = self.paces.get(&server);
        let read = self.reads.get(&server).and_then(|read| read.own.recent_value(now));
        // Rounded up, so that a pace never seems newer than it is.
        let age = |pace: &KnownPace| now.since(pace.measured_at).as_millis() / 100 + 1;
        ServerPace {
            server,
            tokens_per_second: pace.map_or(0, |pace| {
                pace.tokens_per_second.round().clamp(1.0, f64::from(u16::MAX)) as u16
            }),
            age_tenths: pace.map_or(0, |pace| u16::try_from(age(pace)).unwrap_or(u16::MAX)),
            read_tokens_per_ms: read
                .map_or(0, |speed| speed.round().clamp(1.0, f64::from(u8::MAX)) as u8),
        }
    }

    /// Compares the servers of each service, at once for a new server.
    fn compare(&mut self, now: TimePoint, is_new: bool) {
        if !is_new && now.since(self.compared_at) < COMPARE_INTERVAL {
            return;
        }
        self.compared_at = now;
        let reads = self.reads.iter();
        self.relative = over_median(
            reads.map(|(server, read)| (*server, read.service, read.known.value())).collect(),
        );
        let paces = self.paces.iter();
        self.relative.extend(over_median(
            paces.map(|(server, pace)| (*server, pace.service, pace.tokens_per_second)).collect(),
        ));
    }
}

/// Speeds of servers over the median of their service.
fn over_median(mut speeds: Vec<(ServerKey, NameKey, f64)>) -> HashMap<ServerKey, f64> {
    speeds.sort_unstable_by(|left, right| left.1.cmp(&right.1).then(left.2.total_cmp(&right.2)));
    let by_service = speeds.chunk_by(|left, right| left.1 == right.1);
    let relative = by_service.flat_map(|servers| {
        let median =
            f64::midpoint(servers[(servers.len() - 1) / 2].2, servers[servers.len() / 2].2);
        servers.iter().map(move |(server, _, speed)| (*server, speed / median))
    });
    relative.collect()
}
