//! What hosts of the world of servers' limits send to servers, and ask and tell each other.

use super::Sabotage;
use super::send_parts::{Flight, OpenSend, SendBody, TOLD_TIME, WorldRequest};
use super::send_world::SendWorld;
use super::world_host::domain_key;
use super::world_net::Parcel;
use crate::keys::{IncarnationId, TimePoint};
use crate::limits::{OwnerChoice, choose_owner};
use crate::membership::MemberUpdate;
use crate::server_limits::{AskPurpose, CallRank, LOG_TIME, SendReply, SendTrail};
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// An owner that has not answered by then counts as silent.
const REPLY_LIMIT: Duration = Duration::from_millis(65);
/// Hosts that each host tells of limits at once.
const TELL_COUNT: usize = 6;
/// Milliseconds in which a request reaches a server, and in which it is answered.
const WAY_MS: std::ops::Range<u64> = 0..30;
const WORK_MS: std::ops::Range<u64> = 10..80;
/// Part of the datagrams that are lost, and of the answers that say nothing of a limit that stands.
const LOST_PART: f64 = 0.02;
const SILENT_PART: f64 = 0.05;

impl SendWorld {
    /// Sends a request to the first of its servers that takes it.
    pub fn send_on(&mut self, place: usize, request: WorldRequest) {
        let mut request = request;
        while let Some(server) = request.servers.pop() {
            let (age, key) = (self.hosts[place].age(self.now), self.servers[server].key);
            let sends = &mut self.hosts[place].tools;
            if sends.book.limit(key).is_none() {
                sends.log.note(age, key);
                return self.fly(place, server, age);
            }
            if !sends.is_open(age, key, request.rank) {
                continue;
            }
            let mut ask = sends.ask(age, key, request.rank, AskPurpose::Send);
            if self.sabotage == Sabotage::TellNoTrail {
                ask.trail = SendTrail::default();
            }
            match self.owner(place, server) {
                OwnerChoice::Own => {
                    let life = self.hosts[place].update.incarnation;
                    let (reply, _) = self.hosts[place].tools.receive(age, life, &ask, true);
                    if self.hosts[place].tools.hear_reply(age, &ask, Some(&reply)) {
                        return self.fly(place, server, age);
                    }
                }
                OwnerChoice::Other(owner) => {
                    request.servers.push(server);
                    self.open.push(OpenSend {
                        host: place,
                        owner: owner.incarnation,
                        ask: ask.clone(),
                        until: self.now + REPLY_LIMIT,
                        request,
                    });
                    return self.send(place, owner, SendBody::Ask(ask));
                }
                OwnerChoice::Unknown => {
                    self.hosts[place].tools.hear_reply(age, &ask, None);
                }
            }
        }
    }

    /// A request goes to a server.
    fn fly(&mut self, place: usize, server: usize, sent_at: TimePoint) {
        let host = place / (self.hosts.len() / super::send_world::DOMAINS);
        let reached = self.net.is_open(place, self.near_host(server));
        let life = self.hosts[place].update.incarnation;
        if host != self.servers[server].domain && !reached {
            return;
        }
        let due = self.now + Duration::from_millis(self.rng.random_range(WAY_MS));
        self.flights.push(Flight { due, host: place, life, server, sent_at, answer: None });
    }

    /// A host of a server's domain: what reaches that one reaches the server.
    fn near_host(&self, server: usize) -> usize {
        self.servers[server].domain * (self.hosts.len() / super::send_world::DOMAINS)
    }

    /// Requests arrive at servers, and answers at hosts.
    pub fn land_flights(&mut self) {
        let now = self.now;
        let (due, later): (Vec<Flight>, Vec<Flight>) =
            self.flights.drain(..).partition(|flight| flight.due <= now);
        self.flights = later;
        for flight in due {
            match flight.answer {
                None => self.land_request(flight),
                Some(limit) => {
                    let host = &self.hosts[flight.host];
                    if host.update.incarnation != flight.life {
                        continue;
                    }
                    if host.suspended_until > now {
                        self.flights.push(Flight { due: host.suspended_until, ..flight });
                        continue;
                    }
                    let age = host.age(now);
                    let key = self.servers[flight.server].key;
                    let tools = &mut self.hosts[flight.host].tools;
                    let limit = limit.filter(|_| self.sabotage != Sabotage::IgnoreServerLimits);
                    let (change, told) = tools.hear_answer(age, flight.sent_at, key, limit);
                    if change.is_some() {
                        self.tell_news(flight.host);
                    }
                    let Some(answered) = told else { continue };
                    match self.owner(flight.host, flight.server) {
                        OwnerChoice::Own => {
                            self.hosts[flight.host].tools.hear_answered(age, &answered);
                        }
                        OwnerChoice::Other(owner) => {
                            self.send(flight.host, owner, SendBody::Answered(answered));
                        }
                        OwnerChoice::Unknown => {}
                    }
                }
            }
        }
    }

    fn land_request(&mut self, flight: Flight) {
        let now = self.now;
        let (hosts, excused) = (&self.hosts, &self.excused_until);
        let is_counted = |place: usize, told: &BTreeMap<IncarnationId, TimePoint>| {
            let told_at = told.get(&hosts[place].update.incarnation);
            let is_told = told_at.is_some_and(|at| now.since(*at) >= TOLD_TIME);
            is_told && now >= excused[place]
        };
        let broken = self.servers[flight.server].arrive(now, flight.host, is_counted);
        if let Some(line) = broken {
            self.report.note_broken(line);
        }
        self.report.done += 1;
        let is_silent = self.rng.random_bool(SILENT_PART);
        let limit = self.servers[flight.server].limit.filter(|_| !is_silent);
        if limit.is_some() {
            self.servers[flight.server].tell(now, flight.life);
        }
        let due = now + Duration::from_millis(self.rng.random_range(WORK_MS));
        self.flights.push(Flight { due, answer: Some(limit), ..flight });
    }

    fn owner(&self, place: usize, server: usize) -> OwnerChoice {
        let host = &self.hosts[place];
        let own = host.update.incarnation;
        if self.sabotage == Sabotage::GrantAlone {
            return OwnerChoice::Own;
        }
        let server = &self.servers[server];
        let mut living = host.living(self.now, domain_key(server.domain));
        if living.is_empty() {
            let domains = (0..super::send_world::DOMAINS).map(domain_key);
            living = domains.flat_map(|domain| host.living(self.now, domain)).collect();
        }
        let age = host.age(self.now);
        choose_owner(age, server.key, own, host.is_alone(), living.into_iter(), &host.silent)
    }

    pub fn tell_news(&mut self, place: usize) {
        if !self.hosts[place].runs(self.now) {
            return;
        }
        let age = self.hosts[place].age(self.now);
        let news = self.hosts[place].tools.book.untold(age);
        if news.is_empty() {
            return;
        }
        for _ in 0..TELL_COUNT {
            let target = self.rng.random_range(0..self.hosts.len());
            let target = self.hosts[target].update;
            self.send(place, target, SendBody::News(news.clone()));
        }
    }

    pub fn tell_trails(&mut self) {
        for place in 0..self.hosts.len() {
            if !self.hosts[place].runs(self.now) {
                continue;
            }
            let age = self.hosts[place].age(self.now);
            let owned: Vec<_> = (0..self.servers.len())
                .filter(|server| self.owner(place, *server) == OwnerChoice::Own)
                .map(|server| self.servers[server].key)
                .collect();
            self.hosts[place].tools.desk.retain(age, |server| owned.contains(&server));
            for server in 0..self.servers.len() {
                self.tell_trail(place, server, age);
            }
        }
    }

    fn tell_trail(&mut self, place: usize, server: usize, age: TimePoint) {
        let key = self.servers[server].key;
        let sends = &mut self.hosts[place].tools;
        let is_told = sends.book.limit(key).is_some() && sends.log.recent(age, key, LOG_TIME) > 0;
        if !is_told || self.sabotage == Sabotage::TellNoTrail {
            return;
        }
        let ask = sends.ask(age, key, CallRank::default(), AskPurpose::Tell);
        match self.owner(place, server) {
            OwnerChoice::Own => {
                let life = self.hosts[place].update.incarnation;
                self.hosts[place].tools.receive(age, life, &ask, true);
            }
            OwnerChoice::Other(owner) => self.send(place, owner, SendBody::Ask(ask)),
            OwnerChoice::Unknown => {}
        }
    }

    fn place_of(&self, host: MemberUpdate) -> usize {
        usize::try_from(host.incarnation.0).unwrap_or_default() % self.hosts.len()
    }

    fn send(&mut self, place: usize, to: MemberUpdate, body: SendBody) {
        let from = self.hosts[place].update;
        let delay = Duration::from_millis(self.rng.random_range(0..25));
        if !self.rng.random_bool(LOST_PART) {
            self.net.post(Parcel { due: self.now + delay, from, to, body });
        }
    }

    pub fn deliver(&mut self, parcel: Parcel<SendBody>) {
        let place = self.place_of(parcel.to);
        let from = self.place_of(parcel.from);
        let host = &self.hosts[place];
        if host.update.incarnation != parcel.to.incarnation || !self.net.is_open(from, place) {
            return;
        }
        if !host.runs(self.now) {
            // It lies in the socket's buffer until the host goes on.
            return self.net.post(Parcel { due: host.suspended_until, ..parcel });
        }
        let age = host.age(self.now);
        match parcel.body {
            SendBody::News(news) => {
                let book = &mut self.hosts[place].tools.book;
                let merged = news.iter().filter_map(|news| book.merge(age, news)).count();
                if merged > 0 {
                    self.tell_news(place);
                }
            }
            SendBody::Answered(answered) => {
                self.hosts[place].tools.hear_answered(age, &answered);
            }
            SendBody::Ask(ask) => {
                let server = self.servers.iter().position(|server| server.key == ask.news.server);
                let Some(server) = server else { return };
                let is_owner = self.owner(place, server) == OwnerChoice::Own;
                let life = parcel.from.incarnation;
                let (reply, _) = self.hosts[place].tools.receive(age, life, &ask, is_owner);
                if ask.purpose.wants_reply() {
                    self.send(place, parcel.from, SendBody::Reply(reply));
                }
            }
            SendBody::Reply(reply) => {
                let waits = |open: &OpenSend| {
                    open.host == place
                        && open.ask.sequence == reply.sequence
                        && open.owner == parcel.from.incarnation
                };
                if let Some(at) = self.open.iter().position(waits) {
                    let open = self.open.swap_remove(at);
                    self.end_ask(open, Some(&reply));
                }
            }
        }
    }

    pub fn give_up_asks(&mut self) {
        let now = self.now;
        let (late, open): (Vec<OpenSend>, Vec<OpenSend>) =
            self.open.drain(..).partition(|open| now >= open.until);
        self.open = open;
        for ask in late {
            let host = &mut self.hosts[ask.host];
            if host.runs(now) {
                let age = host.age(now);
                host.silent.note(age, ask.owner);
                self.end_ask(ask, None);
            }
        }
    }

    /// A question ended; the request goes there, or to its next server.
    fn end_ask(&mut self, open: OpenSend, reply: Option<&SendReply>) {
        let OpenSend { host: place, ask, mut request, .. } = open;
        let age = self.hosts[place].age(self.now);
        let tools = &mut self.hosts[place].tools;
        let Some(server) = request.servers.pop() else { return };
        if tools.hear_reply(age, &ask, reply) {
            return self.fly(place, server, age);
        }
        self.send_on(place, request);
    }
}
