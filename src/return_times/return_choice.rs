//! Chooses when a refused caller returns, by what it was refused for.

use super::{
    AnswerTimer, CallFigures, RefusalCause, ReturnBasis, ReturnCalendar, ReturnRequest, ReturnTime,
    SlotPlan,
};
use crate::keys::TimePoint;
use crate::routes::ServiceKey;
use crate::server_limits::CallRank;
use std::collections::BTreeSet;
use std::time::Duration;

/// Earliest return of a caller that found no memory: the promise reaches the other hosts within this time.
const MIN_MEMORY_PAUSE: Duration = Duration::from_millis(500);
/// A shortage that began less than this ago is not in the rates of the last second yet. Computed from them, returns
/// would be promised for the burst that has just begun.
const MIN_SHORTAGE: Duration = Duration::from_secs(1);
/// Fewest requests in the last second from which rates are computed; the rate of eight is right within a third.
const MIN_REQUESTS: u32 = 8;
/// Returns that other hosts promised within this time are not known here yet: half of a round of updates, and the delay
/// of a message.
const UNSEEN_SECONDS: f64 = 0.3;
/// Expected time until servers accept requests again if none does: a crashed server restarts within seconds, and one
/// that is excluded is tried again after 0.25 to 1 s. An earlier return is refused again, and a later one is rarely
/// possible.
const SERVER_BACK_TIME: Duration = Duration::from_secs(2);
/// Part of the time until a server is back over which returns are spread.
const SERVER_BACK_SPREAD: f64 = 0.3;

impl ReturnCalendar {
    /// When a refused caller returns.
    pub fn choose_time(&self, now: TimePoint, request: &ReturnRequest) -> ReturnTime {
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
        let (capacity, arrivals) = (f64::from(figures.granted), f64::from(figures.fresh));
        let mut plan = SlotPlan::new(capacity, arrivals, latest);
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
        let shortage = self.shortages.get(&request.service);
        let requests = figures.granted + figures.refused;
        shortage.is_some_and(|shortage| now.since(shortage.began_at) >= MIN_SHORTAGE)
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
}
