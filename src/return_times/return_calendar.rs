use super::{
    AnswerTimer, CallFigures, CallMeter, PeerFigures, Promise, PromiseEntry, PromiseTable,
    REPEAT_TIME, RefusalCause, ReturnBasis, ReturnRequest, ReturnTime, ReturnUpdate,
    ServiceFigures, SlotPlan, UpdateSchedule,
};
use crate::keys::{IncarnationId, RequestKey, TimePoint};
use crate::routes::ServiceKey;
use crate::server_limits::CallRank;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Earliest return of a caller that found no memory: the promise reaches the other hosts within this time.
const MIN_MEMORY_PAUSE: Duration = Duration::from_millis(500);
/// A shortage that began less than this ago is not in the rates of the last second yet. Computed from them, returns
/// would be promised for the burst that has just begun.
const MIN_SHORTAGE: Duration = Duration::from_secs(1);
/// A shortage has ended when nobody was refused for this long. Figures of other hosts count refusals of the last second
/// and arrive up to 0.75 s later.
const SHORTAGE_GAP: Duration = Duration::from_secs(2);
/// The mean rate is used only once requests have arrived for this long; before, it is that of the present demand.
const MIN_MEAN_TIME: Duration = Duration::from_secs(5);
/// Fewest requests in the last second from which rates are computed; the rate of eight is right within a third.
const MIN_REQUESTS: u32 = 8;
/// Returns that other hosts promised within this time are not known here yet: half of a round of updates, and the delay
/// of a message.
const UNSEEN_SECONDS: f64 = 0.3;
/// Promises of less than this are not announced to other hosts, since the caller would arrive before the update.
const MIN_ANNOUNCED_PAUSE: Duration = Duration::from_millis(500);
/// Expected time until servers accept requests again if none does: a crashed server restarts within seconds, and one
/// that is excluded is tried again after 0.25 to 1 s. An earlier return is refused again, and a later one is rarely
/// possible.
const SERVER_BACK_TIME: Duration = Duration::from_secs(2);
/// Part of the time until a server is back over which returns are spread.
const SERVER_BACK_SPREAD: f64 = 0.3;
/// Most promises in an update of the target size of 1,200 bytes, at up to 24 bytes each.
const MAX_UPDATE_PROMISES: usize = 34;
/// Number of updates that announce a promise to each host. With one update in 20 lost, one host in 400 misses both.
const PROMISE_REPEATS: usize = 2;
/// Most services and ranks in an update, at up to 26 bytes each; with more, those with the fewest requests are left out.
const MAX_UPDATE_FIGURES: usize = 12;

/// A time in which callers were refused for lack of memory or places.
#[derive(Debug, Clone, Copy)]
struct Shortage {
    began_at: TimePoint,
    seen_at: TimePoint,
}

/// When refused callers return, and what the time is computed from.
#[derive(Debug, Default)]
pub struct ReturnCalendar {
    meters: HashMap<(ServiceKey, CallRank), CallMeter>,
    first_arrivals: HashMap<ServiceKey, TimePoint>,
    answer_timers: HashMap<ServiceKey, AnswerTimer>,
    shortages: HashMap<ServiceKey, Shortage>,
    peers: PeerFigures,
    promises: PromiseTable,
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
        self.first_arrivals.entry(service).or_insert(now);
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
        // A caller returns once only, and no later than it can.
        if !request.latest().is_zero() && !self.is_return(now, request.key) {
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
        self.peers.apply(now, update);
        for entry in update.figures.iter().filter(|entry| entry.figures.refused > 0) {
            self.record_shortage(now, entry.service);
        }
        for entry in &update.promises {
            let at = now + Duration::from_millis(entry.after_ms.into());
            let promise = Promise { service: entry.service, rank: entry.rank, at, announced: None };
            self.promises.insert(now, entry.key, promise);
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

    fn choose_time(&self, now: TimePoint, request: &ReturnRequest) -> ReturnTime {
        let time = |pause, basis| ReturnTime { pause, basis, granted: 0, fresh: 0, promised: 0 };
        if request.latest().is_zero() {
            return time(request.usual, ReturnBasis::OutOfTime);
        }
        match request.cause {
            RefusalCause::NoMemory => self.choose_slot(now, request),
            RefusalCause::EngineFailed if self.shortages.contains_key(&request.service) => {
                self.choose_slot(now, request)
            }
            RefusalCause::EngineFailed => time(request.usual, ReturnBasis::Usual),
            RefusalCause::NoPlace(places) => self.choose_pause(now, request, places),
            RefusalCause::NoServer(next_trial) => {
                let spread = 1.0 - SERVER_BACK_SPREAD;
                let (from, to) = next_trial
                    .map_or((SERVER_BACK_TIME.mul_f64(spread), SERVER_BACK_TIME), |trial| {
                        (trial, trial.div_f64(spread))
                    });
                let to = to.min(request.latest());
                let from = from.min(to.mul_f64(spread));
                let pause = from + (to - from).mul_f64(request.draw);
                time(pause, ReturnBasis::ServerBack)
            }
        }
    }

    /// The return of a caller that found no memory.
    fn choose_slot(&self, now: TimePoint, request: &ReturnRequest) -> ReturnTime {
        let (service, latest) = (request.service, request.latest());
        let figures = self.ranked_figures(now, service, request.rank);
        let promised = self
            .promises
            .ahead(now)
            .filter(|(_, promise)| promise.service == service && promise.rank <= request.rank);
        let promised: Vec<Duration> = promised.map(|(_, promise)| promise.at.since(now)).collect();
        let time = |pause, basis| ReturnTime {
            pause,
            basis,
            granted: figures.granted,
            fresh: figures.fresh,
            promised: promised.len(),
        };
        if latest <= MIN_MEMORY_PAUSE {
            return time(latest, ReturnBasis::OutOfTime);
        }
        if !self.is_known(now, request, &figures) {
            return time(request.usual, ReturnBasis::Usual);
        }
        let (capacity, present) = (f64::from(figures.granted), f64::from(figures.fresh));
        let mut plan = SlotPlan::new(capacity, present, f64::from(figures.mean_fresh));
        for after in &promised {
            plan.add_return(*after);
        }
        let unseen =
            if request.neighbours > 0 { f64::from(figures.refused) * UNSEEN_SECONDS } else { 0.0 };
        let is_free = plan.has_free(MIN_MEMORY_PAUSE, latest);
        let basis = if is_free { ReturnBasis::Free } else { ReturnBasis::LeastDemand };
        time(plan.place(MIN_MEMORY_PAUSE, latest, unseen, request.draw), basis)
    }

    /// The return of a caller whose request all servers of a plain service rejected. The queues that rejected it are
    /// served in the time of an answer; then the callers return no faster than the servers can serve them beside the new
    /// requests.
    fn choose_pause(&self, now: TimePoint, request: &ReturnRequest, places: f64) -> ReturnTime {
        let (service, latest) = (request.service, request.latest());
        let figures = self.figures(now, service, |_| true);
        let time = |pause, basis| ReturnTime {
            pause,
            basis,
            granted: figures.granted,
            fresh: figures.fresh,
            promised: 0,
        };
        let Some(answer_time) = self.answer_timers.get(&service).and_then(AnswerTimer::mean) else {
            return time(request.usual, ReturnBasis::Usual);
        };
        if answer_time >= latest {
            return time(latest, ReturnBasis::OutOfTime);
        }
        if figures.granted + figures.refused < MIN_REQUESTS {
            return time(request.usual, ReturnBasis::Usual);
        }
        // Hosts without recent figures are assumed to have as many requests as the others.
        let known = self.peers.host_count(now) as f64 + 1.0;
        let scale = ((request.neighbours as f64 + 1.0) / known).max(1.0);
        // In full queues an answer takes longer than its work, and the answers of the last second are the better
        // measure.
        let by_places = places / answer_time.as_secs_f64().max(f64::EPSILON);
        let capacity = by_places.max(f64::from(figures.granted) * scale);
        let free = f64::from(figures.fresh).mul_add(-scale, capacity);
        let room = latest.saturating_sub(answer_time);
        let refused = f64::from(figures.refused) * scale;
        let spread = if refused < free * room.as_secs_f64() {
            Duration::from_secs_f64(refused / free).max(answer_time).min(room)
        } else {
            room
        };
        time(answer_time + spread.mul_f64(request.draw), ReturnBasis::AnswerTime)
    }

    /// Whether enough is known to place a return: the shortage is in the rates, and the figures of most hosts of the
    /// domain are known.
    fn is_known(&self, now: TimePoint, request: &ReturnRequest, figures: &CallFigures) -> bool {
        let is_old = |at: Option<&TimePoint>, age| at.is_some_and(|at| now.since(*at) >= age);
        let shortage = self.shortages.get(&request.service);
        let requests = figures.granted + figures.refused;
        is_old(shortage.map(|shortage| &shortage.began_at), MIN_SHORTAGE)
            && is_old(self.first_arrivals.get(&request.service), MIN_MEAN_TIME)
            && requests >= MIN_REQUESTS
            && self.peers.host_count(now) * 2 >= request.neighbours
    }

    /// The figures of the rank and the more urgent ones; less urgent ones are added until there are enough requests for
    /// rates.
    fn ranked_figures(&self, now: TimePoint, service: ServiceKey, rank: CallRank) -> CallFigures {
        let own = self.meters.keys().filter(|(of, _)| *of == service).map(|(_, rank)| *rank);
        let ranks: BTreeSet<CallRank> = own.chain(self.peers.ranks(now, service)).collect();
        let mut figures = self.figures(now, service, |other| other <= rank);
        for limit in ranks.into_iter().filter(|other| *other > rank) {
            if figures.granted + figures.refused >= MIN_REQUESTS {
                break;
            }
            figures = self.figures(now, service, |other| other <= limit);
        }
        figures
    }

    fn figures(
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
