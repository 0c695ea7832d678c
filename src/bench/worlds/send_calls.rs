//! Requests in flight to servers of the send world, and their answers.

use super::InjectedBug;
use super::send_parts::{InFlightCall, NOTICE_TIME, SendMessage};
use super::send_world::{DOMAINS, SendWorld};
use crate::keys::{IncarnationId, TimePoint};
use crate::limits::OwnerChoice;
use crate::server_limits::ServerLimit;
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Milliseconds until a request reaches a server, and until its answer reaches the host.
const TRANSIT_MS: std::ops::Range<u64> = 0..30;
const SERVICE_MS: std::ops::Range<u64> = 10..80;
/// Share of the answers that omit the current limit.
const OMITTED_LIMIT_RATE: f64 = 0.05;

impl SendWorld {
    /// Sends a request to a server. It is lost if the host cannot reach the server.
    pub fn dispatch(&mut self, index: usize, server: usize, sent_at: TimePoint) {
        let domain = index / (self.hosts.len() / DOMAINS);
        let is_reachable = self.network.is_connected(index, self.server_peer(server));
        let incarnation = self.hosts[index].update.incarnation;
        if domain != self.servers[server].domain && !is_reachable {
            return;
        }
        let due = self.now + Duration::from_millis(self.rng.random_range(TRANSIT_MS));
        self.calls.push(InFlightCall {
            due,
            host: index,
            incarnation,
            server,
            sent_at,
            answer: None,
        });
    }

    /// A host in the server's domain. Hosts of other domains can reach the server if they can reach this host.
    fn server_peer(&self, server: usize) -> usize {
        self.servers[server].domain * (self.hosts.len() / DOMAINS)
    }

    /// Delivers the requests and answers that are due.
    pub fn deliver_calls(&mut self) {
        let now = self.now;
        let (due, later): (Vec<InFlightCall>, Vec<InFlightCall>) =
            self.calls.drain(..).partition(|call| call.due <= now);
        self.calls = later;
        for call in due {
            match call.answer {
                None => self.deliver_request(call),
                Some(limit) => self.deliver_answer(call, limit),
            }
        }
    }

    fn deliver_answer(&mut self, call: InFlightCall, limit: Option<ServerLimit>) {
        let now = self.now;
        let host = &self.hosts[call.host];
        if host.update.incarnation != call.incarnation {
            return;
        }
        if host.suspended_until > now {
            self.calls.push(InFlightCall { due: host.suspended_until, ..call });
            return;
        }
        let local_now = host.local_time(now);
        let key = self.servers[call.server].key;
        let control = &mut self.hosts[call.host].state;
        let limit = limit.filter(|_| self.bug != InjectedBug::IgnoreServerLimits);
        let (change, observation) = control.apply_answer(local_now, call.sent_at, key, limit);
        if change.is_some() {
            self.send_updates(call.host);
        }
        let Some(observation) = observation else { return };
        match self.owner(call.host, call.server) {
            OwnerChoice::Own => {
                self.hosts[call.host].state.apply_observation(local_now, &observation);
            }
            OwnerChoice::Other(owner) => {
                self.send_datagram(call.host, owner, SendMessage::Observation(observation));
            }
            OwnerChoice::Unknown => {}
        }
    }

    fn deliver_request(&mut self, call: InFlightCall) {
        let now = self.now;
        let (hosts, exempt_until) = (&self.hosts, &self.exempt_until);
        let is_counted = |index: usize, informed_at: &BTreeMap<IncarnationId, TimePoint>| {
            let first_informed = informed_at.get(&hosts[index].update.incarnation);
            let is_informed = first_informed.is_some_and(|at| now.since(*at) >= NOTICE_TIME);
            is_informed && now >= exempt_until[index]
        };
        let violation = self.servers[call.server].record_arrival(now, call.host, is_counted);
        if let Some(line) = violation {
            self.report.record_violation(line);
        }
        self.report.done += 1;
        let is_omitted = self.rng.random_bool(OMITTED_LIMIT_RATE);
        let limit = self.servers[call.server].limit.filter(|_| !is_omitted);
        if limit.is_some() {
            self.servers[call.server].record_informed(now, call.incarnation);
        }
        let due = now + Duration::from_millis(self.rng.random_range(SERVICE_MS));
        self.calls.push(InFlightCall { due, answer: Some(limit), ..call });
    }
}
