//! The owner's account of the places at one server.

use super::{PlaceDecision, PlaceEnd, PlaceOrder, PlaceRelease, PlaceReply, PlaceRequest};
use crate::keys::{IncarnationId, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

/// A place is held for at most this many mean service times. A request that waited in the server's queue rarely needs
/// more than a few, and a release that was lost must not block a place for longer.
const LIFETIME_SERVICES: u32 = 16;
/// Bounds of the time for which a place is held. A host that dies holds its places for at most the longest.
const MIN_LIFETIME: Duration = Duration::from_millis(250);
const MAX_LIFETIME: Duration = Duration::from_secs(1);
/// Longest service time that is assumed before the first answer: that of the fastest known service. Too short an estimate
/// lengthens the server's queue for some tens of milliseconds; too long a one refuses requests while slots are free.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(30);
/// Least mean service time, which bounds the rates computed from it.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(1);
/// Weight of one answer in the mean service time, so that about the last 20 answers count: a tenth of a second of a
/// server that is contended.
const SERVICE_WEIGHT: f64 = 0.05;
/// Longest queue at the server, in multiples of its slots. A slot is then never idle during the round trip after a
/// release (1 to 2 ms of a service time of 30 ms), and the wait in the server's queue, which serves urgent requests no
/// earlier than others, is at most one mean service time.
const QUEUE_RATIO: f64 = 1.0;
/// A request is queued at the server only if this many mean service times remain after its wait there: one for the
/// work, and one because service times vary about as much as their mean.
const RESERVED_SERVICES: f64 = 2.0;
/// One in this many repeatable requests is ordered like one that must run only once. Otherwise repeatable requests would
/// get no places while the others alone exceed the capacity.
const PROMOTION_INTERVAL: u32 = 2;
/// Most requests that wait at the owner. A place becomes free each five to ten milliseconds, so that more could not
/// be served in the 40 ms for which requests wait.
const MAX_WAITING: usize = 64;

/// The request for a place: its host, and the host's sequence.
type PlaceId = (IncarnationId, u32);

/// A place that is granted.
#[derive(Debug, Clone, Copy)]
struct Place {
    granted_at: TimePoint,
    /// Requests at the server when it was granted, this one included.
    in_use: f64,
}

/// A request that waits for a place.
#[derive(Debug, Clone, Copy)]
struct PlaceWaiter {
    id: PlaceId,
    order: PlaceOrder,
    arrived_at: TimePoint,
    until: TimePoint,
    deadline_at: TimePoint,
}

/// Requests at the server that no host reported to this owner. They leave the server at the rate of its services.
#[derive(Debug, Clone, Copy)]
struct UnknownLoad {
    count: f64,
    at: TimePoint,
}

/// The places at one server.
#[derive(Debug)]
pub struct SlotAccount {
    slots: f64,
    service_time: f64,
    unknown: UnknownLoad,
    places: HashMap<PlaceId, Place>,
    /// Requests at the server without a place, as each host reported them.
    unplaced: HashMap<IncarnationId, (TimePoint, u16)>,
    /// Requests that were refused, or whose places were released, so that a duplicate that arrives late gets no place.
    ended: HashMap<PlaceId, TimePoint>,
    waiting: Vec<PlaceWaiter>,
    /// Number of repeatable requests that asked for a place.
    repeatable_count: u32,
}

impl SlotAccount {
    /// The account of a server of which this host has just become the owner. The requests that run there were granted
    /// by another owner or none, so that all slots count as in use for the first mean service time. `answer_time` is the
    /// mean time of the server's answers, if this host knows it; it includes the wait in the server's queue.
    pub fn new(now: TimePoint, slots: u32, answer_time: Option<Duration>) -> Self {
        let slots = f64::from(slots.max(1));
        let service_time = answer_time.unwrap_or(INITIAL_SERVICE_TIME);
        let service_time = service_time.clamp(MIN_SERVICE_TIME, INITIAL_SERVICE_TIME);
        Self {
            slots,
            service_time: service_time.as_secs_f64(),
            unknown: UnknownLoad { count: slots, at: now },
            places: HashMap::new(),
            unplaced: HashMap::new(),
            ended: HashMap::new(),
            waiting: Vec::new(),
            repeatable_count: 0,
        }
    }

    /// Decides on a request for a place; `None` while it waits for one, in which case [`Self::poll`] returns the
    /// decision.
    pub fn receive(&mut self, now: TimePoint, request: &PlaceRequest) -> Option<PlaceDecision> {
        let id = (request.from, request.sequence);
        for sequence in &request.released {
            let released = (request.from, *sequence);
            if !self.ended.contains_key(&released) {
                self.remove(now, released);
            }
        }
        self.unplaced.insert(request.from, (now, request.unplaced));
        if self.places.contains_key(&id) {
            return Some(PlaceDecision::Granted);
        }
        if self.waiting.iter().any(|waiter| waiter.id == id) {
            return None;
        }
        let order = self.promoted(request.order);
        let waiter = PlaceWaiter {
            id,
            order,
            arrived_at: now,
            until: now + Duration::from_millis(request.wait_ms.into()),
            deadline_at: now + Duration::from_millis(request.left_ms.into()),
        };
        if self.ended.contains_key(&id) {
            return Some(self.busy(now, &waiter));
        }
        if self.places_ahead(now, &waiter) < 0.0 {
            self.grant(now, id);
            return Some(PlaceDecision::Granted);
        }
        if now + self.wait(now, &waiter) > waiter.until || self.waiting.len() >= MAX_WAITING {
            return Some(self.refuse(now, &waiter));
        }
        self.waiting.push(waiter);
        None
    }

    /// The decisions on waiting requests that are due: places that have become free, most urgent requests first, and
    /// refusals of requests that waited for as long as they may.
    pub fn poll(&mut self, now: TimePoint, own: IncarnationId) -> Vec<(IncarnationId, PlaceReply)> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        self.waiting.sort_by_key(|waiter| (waiter.order, waiter.arrived_at));
        let mut decided = Vec::new();
        for waiter in std::mem::take(&mut self.waiting) {
            let decision = if self.in_use(now) < self.limit(now, &waiter) {
                self.grant(now, waiter.id);
                PlaceDecision::Granted
            } else if now >= waiter.until {
                self.refuse(now, &waiter)
            } else {
                self.waiting.push(waiter);
                continue;
            };
            let (host, sequence) = waiter.id;
            decided.push((host, PlaceReply { from: own, sequence, decision }));
        }
        decided
    }

    /// Applies the release of a place.
    pub fn release(&mut self, now: TimePoint, release: &PlaceRelease) {
        let place = self.remove(now, (release.from, release.sequence));
        match release.end {
            PlaceEnd::Served => {
                // The time at the server contains the wait in its queue, which grows with the requests there. A place
                // that has expired counts too: otherwise the estimate for a slow server would never rise.
                let in_use = place.map_or_else(|| self.in_use(now), |place| place.in_use);
                let queued = (in_use / self.slots).max(1.0);
                let sample = f64::from(release.held_ms) / 1000.0 / queued;
                let mean = self.service_time + (sample - self.service_time) * SERVICE_WEIGHT;
                self.service_time = mean.max(MIN_SERVICE_TIME.as_secs_f64());
            }
            PlaceEnd::Rejected => self.record_rejection(now),
            PlaceEnd::Unused => {}
        }
    }

    /// Records that the server was full. More requests are there than this owner knows of, and none is granted until
    /// enough of them have left.
    pub fn record_rejection(&mut self, now: TimePoint) {
        let full = self.slots * (1.0 + QUEUE_RATIO) + self.slots;
        let known = self.known(now);
        let count = self.unknown(now).max(full - known);
        self.unknown = UnknownLoad { count, at: now };
    }

    /// Whether requests wait at the owner, or more of them are at the server than its slots and half of its queue.
    pub fn is_crowded(&self, now: TimePoint) -> bool {
        !self.waiting.is_empty() || self.in_use(now) > self.slots * (1.0 + QUEUE_RATIO / 2.0)
    }

    /// Whether places are granted or requests wait for them.
    pub fn is_used(&self) -> bool {
        self.has_waiting() || !self.places.is_empty()
    }

    /// Whether requests wait for places.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Number of requests at the server, as far as this owner knows or assumes.
    pub fn in_use(&self, now: TimePoint) -> f64 {
        self.known(now) + self.unknown(now)
    }

    /// Mean service time of the server.
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service_time)
    }

    /// Drops places and reports that nobody renewed, and requests that ended a while ago. Called several times a second;
    /// decisions in between leave out the expired places and reports themselves.
    pub fn expire(&mut self, now: TimePoint) {
        let lifetime = self.lifetime();
        self.places.retain(|_, place| now.since(place.granted_at) < lifetime);
        self.ended.retain(|_, at| now.since(*at) < MAX_LIFETIME);
        let service_time = self.service_time();
        self.unplaced.retain(|_, (at, count)| *count > 0 && now.since(*at) < service_time);
    }

    fn lifetime(&self) -> Duration {
        (self.service_time() * LIFETIME_SERVICES).clamp(MIN_LIFETIME, MAX_LIFETIME)
    }

    fn known(&self, now: TimePoint) -> f64 {
        let lifetime = self.lifetime();
        let places = self.places.values();
        let placed = places.filter(|place| now.since(place.granted_at) < lifetime).count();
        let reports = self.unplaced.values();
        let fresh = reports.filter(|(at, _)| now.since(*at) < self.service_time());
        let unplaced: u32 = fresh.map(|(_, count)| u32::from(*count)).sum();
        placed as f64 + f64::from(unplaced)
    }

    fn unknown(&self, now: TimePoint) -> f64 {
        let elapsed = now.since(self.unknown.at).as_secs_f64();
        (self.unknown.count - elapsed * self.slots / self.service_time).max(0.0)
    }

    /// Most requests that may be at the server when one more of this urgency is added: its slots, and a queue in which
    /// the request waits no longer than its caller's time allows.
    fn limit(&self, now: TimePoint, waiter: &PlaceWaiter) -> f64 {
        let left = waiter.deadline_at.since(now).as_secs_f64();
        let queue = (left / self.service_time - RESERVED_SERVICES).clamp(0.0, QUEUE_RATIO);
        (self.slots * (1.0 + queue)).floor()
    }

    /// How many places must become free before this request gets one, less one; negative if one is free now.
    fn places_ahead(&self, now: TimePoint, waiter: &PlaceWaiter) -> f64 {
        let ahead = self.waiting.iter().filter(|other| other.order <= waiter.order).count();
        self.in_use(now) + ahead as f64 - self.limit(now, waiter)
    }

    /// Expected time until a place is free for this request.
    fn wait(&self, now: TimePoint, waiter: &PlaceWaiter) -> Duration {
        let ahead = self.places_ahead(now, waiter).max(0.0) + 1.0;
        Duration::from_secs_f64(ahead * self.service_time / self.slots)
    }

    /// The order in which a request gets its place; one in [`PROMOTION_INTERVAL`] repeatable ones is promoted.
    fn promoted(&mut self, order: PlaceOrder) -> PlaceOrder {
        if !order.is_repeatable {
            return order;
        }
        self.repeatable_count = self.repeatable_count.wrapping_add(1);
        let is_promoted = self.repeatable_count.is_multiple_of(PROMOTION_INTERVAL);
        PlaceOrder { is_repeatable: !is_promoted, ..order }
    }

    fn busy(&self, now: TimePoint, waiter: &PlaceWaiter) -> PlaceDecision {
        PlaceDecision::Busy {
            wait_ms: millis(self.wait(now, waiter)).max(1),
            service_ms: millis(self.service_time()).max(1),
        }
    }

    fn refuse(&mut self, now: TimePoint, waiter: &PlaceWaiter) -> PlaceDecision {
        self.ended.insert(waiter.id, now);
        self.busy(now, waiter)
    }

    fn grant(&mut self, now: TimePoint, id: PlaceId) {
        let in_use = self.in_use(now) + 1.0;
        self.places.insert(id, Place { granted_at: now, in_use });
    }

    fn remove(&mut self, now: TimePoint, id: PlaceId) -> Option<Place> {
        self.waiting.retain(|waiter| waiter.id != id);
        self.ended.insert(id, now);
        self.places.remove(&id)
    }
}

fn millis(time: Duration) -> u16 {
    u16::try_from(time.as_millis()).unwrap_or(u16::MAX)
}
