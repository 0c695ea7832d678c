//! Many hosts before a few plain servers, without a network: messages take a millisecond and may be lost, and loads of
//! other hosts are up to 1.5 s old.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::time::Duration;
use tealcleat::fleet::{ServerEntry, ServerState, StageChanges};
use tealcleat::keys::{IncarnationId, NameKey, ServerKey, TimePoint, mix_hash};
use tealcleat::placement::{
    DomainBreakers, LoadTable, RankingContext, RankingCriterion, ServerLoad, rank_servers,
};
use tealcleat::server_limits::CallRank;
use tealcleat::server_slots::{
    PlaceDecision, PlaceEnd, PlaceNeed, PlaceOrder, PlaceReply, PlaceRequest, SlotControl,
};

const SLOTS: u32 = 6;
const QUEUE: usize = 24;
/// Delay of a message and of a request, one way.
const DELAY: u64 = 1_000;
/// When a request without a reply is repeated, and when it is sent without a place.
const RESEND_TIMEOUT: u64 = 25_000;
const REPLY_TIMEOUT: u64 = 65_000;
const POLL: u64 = 5_000;
const EXPIRY_PERIOD: u64 = 100_000;
const LOAD_PERIOD: u64 = 1_500_000;
const MAX_SENDS: usize = 2;
const ONE_REQUEST: ServerLoad = ServerLoad { requests: 1, memory_tokens: 0, prompt_tokens: 0 };

/// The size of a service and its load.
#[derive(Debug, Clone, Copy)]
pub struct SlotPlan {
    pub hosts: usize,
    pub servers: usize,
    pub service_time: Duration,
    pub objective: Duration,
    /// Time from a request's arrival until its caller's deadline.
    pub deadline: Duration,
    /// Arrivals relative to the capacity of all servers.
    pub load: f64,
    /// Fraction of the messages between hosts that are lost.
    pub loss: f64,
    /// Whether the owners are silent from the first second on.
    pub silent_owners: bool,
    pub has_slots: bool,
}

/// How the requests ended.
#[derive(Debug, Default, Clone, Copy)]
pub struct SlotTally {
    pub requests: u32,
    pub served: u32,
    /// Requests that may run once only, and those of them that were served.
    pub once: u32,
    pub once_served: u32,
    pub in_time: u32,
    /// Requests that a server rejected, each time.
    pub rejected: u32,
    /// Requests that were refused because no place was free.
    pub refused: u32,
    /// Of these, those refused while under half of the slots of some server were in use.
    pub refused_beside_free: u32,
    pub messages: u32,
}

#[derive(Debug, Clone)]
enum Event {
    Arrival,
    LoadUpdate(usize),
    Expire(usize),
    Asked(usize, PlaceRequest),
    Replied(usize, PlaceReply),
    Resend(usize, u32),
    ReplyTimeout(usize, u32),
    Poll(usize),
    AtServer(usize, usize),
    Served(usize, usize),
    Answered(usize, usize, bool),
    Released(usize, tealcleat::server_slots::PlaceRelease),
    Rejected(usize),
    Contended(usize, usize, Duration),
}

#[derive(Debug, Default)]
struct Host {
    loads: LoadTable,
    control: SlotControl,
    version: u64,
}

#[derive(Debug, Default)]
struct Server {
    running: u32,
    queue: VecDeque<usize>,
}

#[derive(Debug, Default)]
struct Request {
    host: usize,
    arrived_at: u64,
    is_repeatable: bool,
    order: VecDeque<usize>,
    busy: Vec<(Duration, usize)>,
    pending: Option<(PlaceRequest, usize, bool)>,
    place: Option<u32>,
    sent_at: u64,
    sends: usize,
}

/// All hosts and servers.
#[derive(Debug)]
pub struct SlotFleet {
    plan: SlotPlan,
    now: u64,
    serial: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled: HashMap<u64, Event>,
    hosts: Vec<Host>,
    servers: Vec<Server>,
    entries: Vec<ServerEntry>,
    requests: Vec<Request>,
    until: u64,
    pub tally: SlotTally,
}

pub fn server(id: &str) -> ServerEntry {
    ServerEntry {
        id: id.to_owned(),
        started_at: None,
        version: "v1".to_owned(),
        service: NameKey::of("plain"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: NameKey::of("a"),
        state: ServerState::Ready,
        stage: None,
        slots: SLOTS,
        cold_ms: 0,
    }
}

fn id_of(host: usize) -> IncarnationId {
    IncarnationId(host as u64 + 1)
}

impl SlotFleet {
    /// Runs the plan for `time` and returns how the requests ended.
    pub fn run(plan: SlotPlan, time: Duration) -> SlotTally {
        let entries: Vec<_> =
            (0..plan.servers).map(|index| server(&format!("s-{index}"))).collect();
        let mut fleet = Self {
            now: 1_000_000,
            serial: 0,
            events: BinaryHeap::new(),
            scheduled: HashMap::new(),
            hosts: (0..plan.hosts).map(|_| Host::default()).collect(),
            servers: (0..plan.servers).map(|_| Server::default()).collect(),
            entries,
            requests: Vec::new(),
            until: 1_000_000 + time.as_micros() as u64,
            tally: SlotTally::default(),
            plan,
        };
        for host in 0..plan.hosts {
            fleet.schedule(host as u64 * LOAD_PERIOD / plan.hosts as u64, Event::LoadUpdate(host));
            fleet.schedule(0, Event::Expire(host));
        }
        fleet.schedule(0, Event::Arrival);
        while let Some(Reverse((at, serial))) = fleet.events.pop() {
            fleet.now = at;
            let event = fleet.scheduled.remove(&serial).expect("a scheduled event");
            fleet.handle(event);
        }
        fleet.tally
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((self.now + delay, self.serial)));
        self.scheduled.insert(self.serial, event);
    }

    fn draw(&mut self) -> f64 {
        self.serial += 1;
        mix_hash(self.serial, 77) as f64 / u64::MAX as f64
    }

    /// Sends a message to another host, which may be lost.
    fn message(&mut self, event: Event) {
        self.tally.messages += 1;
        if self.draw() >= self.plan.loss {
            self.schedule(DELAY, event);
        }
    }

    fn time(&self) -> TimePoint {
        TimePoint(self.now.cast_signed())
    }

    fn are_owners_silent(&self) -> bool {
        self.plan.silent_owners && self.now > 2_000_000
    }

    fn handle(&mut self, event: Event) {
        let now = self.time();
        match event {
            Event::Arrival => self.arrive(),
            Event::LoadUpdate(host) => self.update_loads(host),
            Event::Expire(host) => {
                self.hosts[host].control.expire(now, |_| true);
                if self.now < self.until {
                    self.schedule(EXPIRY_PERIOD, Event::Expire(host));
                }
            }
            Event::Asked(request, message) => {
                if self.are_owners_silent() {
                    return;
                }
                let owner = self.server_index(message.server);
                let decision = self.hosts[owner].control.receive(now, &message, SLOTS);
                let sequence = message.sequence;
                match decision {
                    Some(decision) => {
                        let reply = PlaceReply { from: id_of(owner), sequence, decision };
                        self.message(Event::Replied(request, reply));
                    }
                    None => self.schedule(POLL, Event::Poll(owner)),
                }
                self.announce(owner);
            }
            Event::Poll(owner) => self.poll(owner),
            Event::Replied(request, reply) => self.reply(request, reply),
            Event::Resend(request, sequence) => {
                let pending = self.requests[request].pending.clone();
                if let Some((message, ..)) = pending.filter(|p| p.0.sequence == sequence) {
                    self.message(Event::Asked(request, message));
                }
            }
            Event::ReplyTimeout(request, sequence) => {
                let pending = self.requests[request].pending.take_if(|p| p.0.sequence == sequence);
                if let Some((message, server, _)) = pending {
                    let control = &mut self.hosts[self.requests[request].host].control;
                    control.record_silence(now, message.server);
                    let (from, end) = (message.from, (PlaceEnd::Unused, Duration::ZERO));
                    let release = control.release(now, from, message.server, sequence, end);
                    self.message(Event::Released(server, release));
                    self.send(request, server, None);
                }
            }
            Event::AtServer(request, server) => {
                let state = &mut self.servers[server];
                if state.running < SLOTS {
                    state.running += 1;
                    self.start(request, server);
                } else if state.queue.len() < QUEUE {
                    state.queue.push_back(request);
                } else {
                    self.tally.rejected += 1;
                    self.schedule(DELAY, Event::Answered(request, server, false));
                }
            }
            Event::Served(request, server) => {
                self.schedule(DELAY, Event::Answered(request, server, true));
                match self.servers[server].queue.pop_front() {
                    Some(next) => self.start(next, server),
                    None => self.servers[server].running -= 1,
                }
            }
            Event::Answered(request, server, is_served) => self.answer(request, server, is_served),
            Event::Released(owner, release) => {
                if !self.are_owners_silent() {
                    self.hosts[owner].control.apply_release(now, &release);
                    self.poll(owner);
                }
            }
            Event::Rejected(owner) => {
                let key = self.entries[owner].key();
                self.hosts[owner].control.apply_rejection(now, key, SLOTS);
                self.announce(owner);
            }
            Event::Contended(host, server, remaining) => {
                let key = self.entries[server].key();
                self.hosts[host].control.contended.record(now, key, remaining);
            }
        }
    }

    fn arrive(&mut self) {
        let capacity = f64::from(SLOTS) * self.servers.len() as f64;
        let rate = self.plan.load * capacity / self.plan.service_time.as_micros() as f64;
        let host = (self.draw() * self.hosts.len() as f64) as usize;
        let is_repeatable = self.draw() < 0.4;
        let request = Request { host, arrived_at: self.now, is_repeatable, ..Request::default() };
        let gap = -(1.0 - self.draw()).ln() / rate;
        if self.now < self.until {
            self.schedule(gap as u64, Event::Arrival);
        }
        self.tally.requests += 1;
        self.tally.once += u32::from(!is_repeatable);
        self.requests.push(request);
        let index = self.requests.len() - 1;
        self.requests[index].order = self.rank(host);
        self.search(index);
    }

    fn rank(&mut self, host: usize) -> VecDeque<usize> {
        let salt = (self.draw() * 1e15) as u64;
        let state = &mut self.hosts[host];
        let servers: Vec<_> = self.entries.iter().map(|entry| (entry.key(), entry.slots)).collect();
        let weights = self.plan.has_slots.then(|| state.control.weights(&servers));
        let context = RankingContext {
            loads: &state.loads,
            health: &HashMap::new(),
            domains: &DomainBreakers::default(),
            stage_changes: &StageChanges::default(),
            connected: &HashSet::new(),
            local_domain: NameKey::of("a"),
            remote_penalty: 0.0,
            relative_paces: None,
            weights: weights.as_ref(),
            salt,
        };
        let now = TimePoint(self.now.cast_signed());
        let ranked = rank_servers(now, &context, RankingCriterion::Requests, self.entries.iter());
        let index = |entry: &ServerEntry| self.entries.iter().position(|other| other == entry);
        ranked.into_iter().filter_map(index).collect()
    }

    /// Looks for a server as `plain_call` does.
    fn search(&mut self, index: usize) {
        let now = self.time();
        let (host, rank) = (self.requests[index].host, CallRank::default());
        while let Some(server) = self.requests[index].order.pop_front() {
            let (key, hosts) = (self.entries[server].key(), self.hosts.len());
            let state = &mut self.hosts[host];
            let load = state.loads.total(key).requests;
            if !self.plan.has_slots || !state.control.needs_place(now, key, hosts, SLOTS, load) {
                return self.send(index, server, None);
            }
            if let Some(wait) = state.control.busy_for(now, key, rank) {
                self.requests[index].busy.push((wait, server));
                continue;
            }
            return self.ask(index, server, false);
        }
        let busy = std::mem::take(&mut self.requests[index].busy);
        match busy.into_iter().min() {
            Some((_, server)) => self.ask(index, server, true),
            None => self.tally.refused += 1,
        }
    }

    fn ask(&mut self, index: usize, server: usize, may_wait: bool) {
        let (now, key) = (self.time(), self.entries[server].key());
        let request = &self.requests[index];
        let need = PlaceNeed {
            order: PlaceOrder { rank: CallRank::default(), is_repeatable: request.is_repeatable },
            time_left: self
                .plan
                .deadline
                .saturating_sub(now.since(TimePoint(request.arrived_at.cast_signed()))),
        };
        let host = request.host;
        let control = &mut self.hosts[host].control;
        let message = control.place_request(now, id_of(host), key, &need, may_wait);
        let sequence = message.sequence;
        self.requests[index].pending = Some((message.clone(), server, may_wait));
        self.message(Event::Asked(index, message));
        self.schedule(RESEND_TIMEOUT, Event::Resend(index, sequence));
        self.schedule(REPLY_TIMEOUT, Event::ReplyTimeout(index, sequence));
    }

    fn reply(&mut self, index: usize, reply: PlaceReply) {
        let now = self.time();
        let request = &mut self.requests[index];
        let pending = request.pending.take_if(|pending| pending.0.sequence == reply.sequence);
        let Some((message, server, may_wait)) = pending else { return };
        match reply.decision {
            PlaceDecision::Granted => self.send(index, server, Some(reply.sequence)),
            PlaceDecision::NotOwner => self.send(index, server, None),
            PlaceDecision::Busy { wait_ms, .. } => {
                self.hosts[request.host].control.record_busy(now, &message, wait_ms);
                if may_wait {
                    self.tally.refused += 1;
                    let has_free = self.servers.iter().any(|server| server.running < SLOTS / 2);
                    self.tally.refused_beside_free += u32::from(has_free);
                } else {
                    request.busy.push((Duration::from_millis(wait_ms.into()), server));
                    self.search(index);
                }
            }
        }
    }

    fn send(&mut self, index: usize, server: usize, place: Option<u32>) {
        let key = self.entries[server].key();
        let request = &mut self.requests[index];
        (request.place, request.sent_at) = (place, self.now);
        request.sends += 1;
        let host = &mut self.hosts[request.host];
        host.loads.add(key, ONE_REQUEST);
        if place.is_none() {
            host.control.add_unplaced(key);
        }
        self.schedule(DELAY, Event::AtServer(index, server));
    }

    fn start(&mut self, index: usize, server: usize) {
        let mean = self.plan.service_time.as_micros() as f64;
        let time = mean * (0.5 + self.draw());
        self.schedule(time as u64, Event::Served(index, server));
    }

    fn answer(&mut self, index: usize, server: usize, is_served: bool) {
        let (now, key) = (self.time(), self.entries[server].key());
        let request = &mut self.requests[index];
        let host = &mut self.hosts[request.host];
        host.loads.remove(key, ONE_REQUEST);
        let end = if is_served { PlaceEnd::Served } else { PlaceEnd::Rejected };
        if is_served {
            host.control.service_times.record(
                now,
                key,
                now.since(TimePoint(request.sent_at.cast_signed())),
            );
            self.tally.served += 1;
            self.tally.once_served += u32::from(!request.is_repeatable);
            let age = now.since(TimePoint(request.arrived_at.cast_signed()));
            self.tally.in_time += u32::from(age <= self.plan.objective);
        } else {
            host.control.record_rejection(now, key);
        }
        let (from, sends, order_left) = (request.host, request.sends, !request.order.is_empty());
        match request.place.take() {
            Some(sequence) => {
                let held = now.since(TimePoint(request.sent_at.cast_signed()));
                let end = (end, held);
                let release = host.control.release(now, id_of(from), key, sequence, end);
                self.message(Event::Released(server, release));
            }
            None => {
                host.control.remove_unplaced(key);
                if !is_served && self.plan.has_slots {
                    self.message(Event::Rejected(server));
                }
            }
        }
        if !is_served && sends < MAX_SENDS && order_left {
            self.search(index);
        }
    }

    fn poll(&mut self, owner: usize) {
        let now = self.time();
        for (host, reply) in self.hosts[owner].control.poll(now, id_of(owner)) {
            let waits = |request: &Request| {
                let is_asked = |pending: &(PlaceRequest, usize, bool)| {
                    pending.0.from == host && pending.0.sequence == reply.sequence
                };
                request.pending.as_ref().is_some_and(is_asked)
            };
            if let Some(index) = self.requests.iter().rposition(waits) {
                self.message(Event::Replied(index, reply));
            }
        }
        if self.hosts[owner].control.has_waiting() {
            self.schedule(POLL, Event::Poll(owner));
        }
    }

    fn announce(&mut self, owner: usize) {
        let (now, key) = (self.time(), self.entries[owner].key());
        let Some(remaining) = self.hosts[owner].control.contended.announcement(now, key) else {
            return;
        };
        for host in (0..self.hosts.len()).filter(|host| *host != owner) {
            self.message(Event::Contended(host, owner, remaining));
        }
    }

    fn update_loads(&mut self, from: usize) {
        let now = self.time();
        self.hosts[from].version += 1;
        let version = self.hosts[from].version;
        let loads: HashMap<ServerKey, ServerLoad> =
            self.hosts[from].loads.heaviest_own(96).into_iter().collect();
        for host in (0..self.hosts.len()).filter(|host| *host != from) {
            let table = &mut self.hosts[host].loads;
            table.apply_update(now, id_of(from), version, loads.clone());
        }
        if self.now < self.until {
            self.schedule(LOAD_PERIOD, Event::LoadUpdate(from));
        }
    }

    fn server_index(&self, key: ServerKey) -> usize {
        let position = self.entries.iter().position(|entry| entry.key() == key);
        position.expect("a server of the fleet")
    }
}
