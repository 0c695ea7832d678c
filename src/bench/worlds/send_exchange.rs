//! What hosts of the world of servers' limits ask and tell each other before they send to servers.

use super::InjectedBug;
use super::send_parts::{OpenSend, SendBody, WorldRequest};
use super::send_world::{DOMAINS, SendWorld};
use super::world_host::domain_key;
use super::world_net::Parcel;
use crate::keys::TimePoint;
use crate::limits::{OwnerChoice, choose_owner};
use crate::membership::MemberUpdate;
use crate::server_limits::{CallRank, LOG_RETENTION, PermitPurpose, PermitReply, SendHistory};
use rand::Rng;
use std::time::Duration;

/// An owner that has not answered by then counts as silent.
const REPLY_LIMIT: Duration = Duration::from_millis(65);
/// Hosts that each host tells of limits at once.
const TELL_COUNT: usize = 6;
/// Part of the datagrams that are lost.
const LOST_PART: f64 = 0.02;

impl SendWorld {
    /// Sends a request to the first of its servers that takes it.
    pub fn send_on(&mut self, place: usize, request: WorldRequest) {
        let mut request = request;
        while let Some(server) = request.servers.pop() {
            let (age, key) = (self.hosts[place].age(self.now), self.servers[server].key);
            let sends = &mut self.hosts[place].tools;
            if sends.limits.limit(key).is_none() {
                sends.log.record(age, key);
                return self.fly(place, server, age);
            }
            if !sends.is_open(age, key, request.rank) {
                continue;
            }
            let mut ask = sends.permit_request(age, key, request.rank, PermitPurpose::Send);
            if self.bug == InjectedBug::OmitSendHistory {
                ask.history = SendHistory::default();
            }
            match self.owner(place, server) {
                OwnerChoice::Own => {
                    let life = self.hosts[place].update.incarnation;
                    let (reply, _) = self.hosts[place].tools.receive(age, life, &ask, true);
                    if self.hosts[place].tools.apply_reply(age, &ask, Some(&reply)) {
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
                    self.hosts[place].tools.apply_reply(age, &ask, None);
                }
            }
        }
    }

    pub fn owner(&self, place: usize, server: usize) -> OwnerChoice {
        let host = &self.hosts[place];
        let own = host.update.incarnation;
        if self.bug == InjectedBug::GrantLocally {
            return OwnerChoice::Own;
        }
        let server = &self.servers[server];
        let mut living = host.living(self.now, domain_key(server.domain));
        if living.is_empty() {
            let domains = (0..DOMAINS).map(domain_key);
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
        let news = self.hosts[place].tools.limits.unsent(age);
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
            self.hosts[place].tools.ledger.retain(age, |server| owned.contains(&server));
            for server in 0..self.servers.len() {
                self.tell_trail(place, server, age);
            }
        }
    }

    fn tell_trail(&mut self, place: usize, server: usize, age: TimePoint) {
        let key = self.servers[server].key;
        let sends = &mut self.hosts[place].tools;
        let is_told =
            sends.limits.limit(key).is_some() && sends.log.recent(age, key, LOG_RETENTION) > 0;
        if !is_told || self.bug == InjectedBug::OmitSendHistory {
            return;
        }
        let ask = sends.permit_request(age, key, CallRank::default(), PermitPurpose::Report);
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

    pub fn send(&mut self, place: usize, to: MemberUpdate, body: SendBody) {
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
                let book = &mut self.hosts[place].tools.limits;
                let merged = news.iter().filter_map(|news| book.merge(age, news)).count();
                if merged > 0 {
                    self.tell_news(place);
                }
            }
            SendBody::Answered(answered) => {
                self.hosts[place].tools.apply_observation(age, &answered);
            }
            SendBody::Ask(ask) => {
                let server = self.servers.iter().position(|server| server.key == ask.update.server);
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
                host.silent.record(age, ask.owner);
                self.end_ask(ask, None);
            }
        }
    }

    /// A question ended; the request goes there, or to its next server.
    fn end_ask(&mut self, open: OpenSend, reply: Option<&PermitReply>) {
        let OpenSend { host: place, ask, mut request, .. } = open;
        let age = self.hosts[place].age(self.now);
        let tools = &mut self.hosts[place].tools;
        let Some(server) = request.servers.pop() else { return };
        if tools.apply_reply(age, &ask, reply) {
            return self.fly(place, server, age);
        }
        self.send_on(place, request);
    }
}
