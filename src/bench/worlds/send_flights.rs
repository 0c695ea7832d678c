//! Requests on their way to servers of the world of servers' limits, and answers on their way back.

use super::InjectedBug;
use super::send_parts::{Flight, SendBody, TOLD_TIME};
use super::send_world::{DOMAINS, SendWorld};
use crate::keys::{IncarnationId, TimePoint};
use crate::limits::OwnerChoice;
use crate::server_limits::ServerLimit;
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Milliseconds in which a request reaches a server, and in which it is answered.
const WAY_MS: std::ops::Range<u64> = 0..30;
const WORK_MS: std::ops::Range<u64> = 10..80;
/// Part of the answers that say nothing of a limit that stands.
const SILENT_PART: f64 = 0.05;

impl SendWorld {
    /// A request goes to a server.
    pub fn fly(&mut self, place: usize, server: usize, sent_at: TimePoint) {
        let host = place / (self.hosts.len() / DOMAINS);
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
        self.servers[server].domain * (self.hosts.len() / DOMAINS)
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
                Some(limit) => self.land_answer(flight, limit),
            }
        }
    }

    fn land_answer(&mut self, flight: Flight, limit: Option<ServerLimit>) {
        let now = self.now;
        let host = &self.hosts[flight.host];
        if host.update.incarnation != flight.life {
            return;
        }
        if host.suspended_until > now {
            self.flights.push(Flight { due: host.suspended_until, ..flight });
            return;
        }
        let age = host.age(now);
        let key = self.servers[flight.server].key;
        let tools = &mut self.hosts[flight.host].tools;
        let limit = limit.filter(|_| self.bug != InjectedBug::IgnoreServerLimits);
        let (change, told) = tools.apply_answer(age, flight.sent_at, key, limit);
        if change.is_some() {
            self.tell_news(flight.host);
        }
        let Some(answered) = told else { return };
        match self.owner(flight.host, flight.server) {
            OwnerChoice::Own => {
                self.hosts[flight.host].tools.apply_observation(age, &answered);
            }
            OwnerChoice::Other(owner) => {
                self.send(flight.host, owner, SendBody::Answered(answered));
            }
            OwnerChoice::Unknown => {}
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
            self.report.record_violation(line);
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
}
