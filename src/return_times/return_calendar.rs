use super::{
    AnswerTimer, CallFigures, CallMeter, PeerFigures, Promise, PromiseEntry, PromiseTable,
    REPEAT_TIME, ReturnRequest, ReturnTime, ReturnUpdate, ServiceFigures, UpdateSchedule,
};
use crate::keys::{IncarnationId, RequestKey, TimePoint};
use crate::routes::ServiceKey;
use crate::server_limits::CallRank;
use std::collections::HashMap;
use std::time::Duration;

/// A shortage has ended when nobody was refused for this long. Figures of other hosts count refusals of the last second
/// and arrive up to 0.75 s later.
const SHORTAGE_GAP: Duration = Duration::from_secs(2);
/// Promises of less than this are not announced to other hosts, since the caller would arrive before the update.
const MIN_ANNOUNCED_PAUSE: Duration = Duration::from_millis(500);
/// Most promises in an update of the target size of 1,200 bytes, at up to 24 bytes each.
const MAX_UPDATE_PROMISES: usize = 34;
/// Number of updates that announce a promise to each host. With one update in 20 lost, one host in 400 misses both.
const PROMISE_REPEATS: usize = 2;
/// Most services and ranks in an update, at up to 26 bytes each; with more, those with the fewest requests are left out.
const MAX_UPDATE_FIGURES: usize = 12;

/// A time in which callers were refused for lack of memory or places.
#[derive(Debug, Clone, Copy)]
pub(super) struct Shortage {
    pub began_at: TimePoint,
    pub seen_at: TimePoint,
}

/// When refused callers return, and what the time is computed from.
#[derive(Debug, Default)]
pub struct ReturnCalendar {
    pub(super) meters: HashMap<(ServiceKey, CallRank), CallMeter>,
    pub(super) answer_timers: HashMap<ServiceKey, AnswerTimer>,
    pub(super) shortages: HashMap<ServiceKey, Shortage>,
    pub(super) peers: PeerFigures,
    pub(super) promises: PromiseTable,
    schedule: UpdateSchedule,
    version: u64,
}

impl ReturnCalendar {
    /// Records that a request arrived; returns whether its caller returns as it was told.
    pub fn record_arrival(
        &mut self,
        now: TimePoint,
        service: ServiceKey,
        rank: CallRank,
        key: RequestKey,
    ) -> bool {
        if self.is_return(now, key) {
            return true;
        }
        self.meters.entry((service, rank)).or_default().record_fresh(now);
        false
    }

    /// Records that a request was granted memory.
    pub fn record_grant(&mut self, now: TimePoint, service: ServiceKey, rank: CallRank) {
        self.meters.entry((service, rank)).or_default().record_granted(now);
    }

    /// Records that a server of a plain service answered a request.
    pub fn record_answer(
        &mut self,
        now: TimePoint,
        service: ServiceKey,
        rank: CallRank,
        took: Duration,
    ) {
        self.record_grant(now, service, rank);
        self.answer_timers.entry(service).or_default().record(took);
    }

    /// Records that a request was refused for lack of memory or places.
    pub fn record_refusal(&mut self, now: TimePoint, service: ServiceKey, rank: CallRank) {
        self.meters.entry((service, rank)).or_default().record_refused(now);
        self.record_shortage(now, service);
    }

    /// Whether the caller of a request returns as it was told. Two requests with the same contents are not
    /// distinguished.
    pub fn is_return(&self, now: TimePoint, key: RequestKey) -> bool {
        self.promises.is_return(now, key)
    }

    /// Requests whose callers were told to return and have not done so yet.
    pub fn promised(&self, now: TimePoint) -> impl Iterator<Item = RequestKey> {
        self.promises.ahead(now).map(|(key, _)| key)
    }

    /// Decides when a refused caller returns, and records its promise. Its refusal is recorded separately.
    pub fn promise(&mut self, now: TimePoint, request: &ReturnRequest) -> ReturnTime {
        let time = self.choose_time(now, request);
        if !request.latest().is_zero() {
            let pause = time.pause.min(request.latest());
            let (service, rank, at) = (request.service, request.rank, now + pause);
            let announced = (pause >= MIN_ANNOUNCED_PAUSE).then_some(0);
            let promise = Promise { service, rank, at, announced };
            self.promises.insert(now, request.key, promise);
        }
        time
    }

    /// Applies what another host sent.
    pub fn apply(&mut self, now: TimePoint, update: &ReturnUpdate) {
        let is_newest = self.peers.apply(now, update);
        for entry in update.figures.iter().filter(|entry| entry.figures.refused > 0) {
            self.record_shortage(now, entry.service);
        }
        for entry in &update.promises {
            let at = now + Duration::from_millis(entry.after_ms.into());
            let promise = Promise { service: entry.service, rank: entry.rank, at, announced: None };
            self.promises.insert_heard(now, entry.key, promise, is_newest);
        }
    }

    /// The update for this round, and the positions of its receivers among the `hosts` other hosts of the failure
    /// domain;
    /// `None` if there is nothing to send.
    pub fn next_update(
        &mut self,
        now: TimePoint,
        from: IncarnationId,
        hosts: usize,
    ) -> Option<(ReturnUpdate, Vec<usize>)> {
        self.expire(now);
        let max_announced = (UpdateSchedule::turn_rounds(hosts) * PROMISE_REPEATS) as u32;
        let is_new = self.promises.has_unannounced(now, max_announced, now + REPEAT_TIME);
        let is_short = is_new || !self.shortages.is_empty();
        let targets = self.schedule.next_round(hosts, is_new, is_short);
        if targets.is_empty() {
            return None;
        }
        self.version += 1;
        let mut figures: Vec<ServiceFigures> = self
            .meters
            .iter()
            .map(|((service, rank), meter)| ServiceFigures {
                service: *service,
                rank: *rank,
                figures: meter.figures(now),
            })
            .filter(|entry| !entry.figures.is_idle())
            .collect();
        let activity = |figures: CallFigures| figures.fresh + figures.granted + figures.refused;
        figures.sort_by_key(|entry| std::cmp::Reverse(activity(entry.figures)));
        figures.truncate(MAX_UPDATE_FIGURES);
        let promises = self.promises.take_unannounced(now, MAX_UPDATE_PROMISES, max_announced);
        let promises = promises
            .into_iter()
            .map(|(key, promise)| PromiseEntry {
                key,
                service: promise.service,
                rank: promise.rank,
                after_ms: u16::try_from(promise.at.since(now).as_millis()).unwrap_or(u16::MAX),
            })
            .collect();
        let update = ReturnUpdate { from, version: self.version, figures, promises };
        (!update.is_empty()).then_some((update, targets))
    }

    /// Drops what is no longer used.
    pub fn expire(&mut self, now: TimePoint) {
        self.peers.expire(now);
        self.promises.expire(now);
        self.shortages.retain(|_, shortage| now.since(shortage.seen_at) < SHORTAGE_GAP);
        self.meters.retain(|_, meter| !meter.figures(now).is_idle());
    }

    fn record_shortage(&mut self, now: TimePoint, service: ServiceKey) {
        let begun = Shortage { began_at: now, seen_at: now };
        let shortage = self.shortages.entry(service).or_insert(begun);
        if now.since(shortage.seen_at) >= SHORTAGE_GAP {
            *shortage = begun;
        }
        shortage.seen_at = now;
    }

    /// The figures of a service over all hosts, for the ranks that count.
    pub(super) fn figures(
        &self,
        now: TimePoint,
        service: ServiceKey,
        is_counted: impl Fn(CallRank) -> bool,
    ) -> CallFigures {
        let mut sum = self.peers.sum(now, service, &is_counted);
        for ((of, rank), meter) in &self.meters {
            if *of == service && is_counted(*rank) {
                sum += meter.figures(now);
            }
        }
        sum
    }
}
