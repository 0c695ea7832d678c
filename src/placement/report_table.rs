use super::PlacementPolicy;
use crate::keys::{ServerKey, TimePoint, mix_hash};
use std::collections::HashMap;
use std::time::Duration;

/// A server's load as its lagged report tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Work before a new request could start.
    pub backlog: Duration,
    /// Requests that run or wait.
    pub requests: u32,
    /// Requests that can run at once.
    pub capacity: u32,
    /// When the report was received.
    pub received_at: TimePoint,
}

/// Load reports of all servers, as a balancer without books would use them.
#[derive(Debug, Default)]
pub struct ReportTable {
    reports: HashMap<ServerKey, LoadReport>,
    turn: usize,
}

impl ReportTable {
    /// Keeps the newest report of a server.
    pub fn record_report(&mut self, server: ServerKey, report: LoadReport) {
        self.reports.insert(server, report);
    }

    /// The last report of a server.
    pub fn report(&self, server: ServerKey) -> Option<&LoadReport> {
        self.reports.get(&server)
    }

    /// Picks one of `servers` by a baseline policy; `chance` is a fresh random number.
    pub fn pick(
        &mut self,
        policy: PlacementPolicy,
        servers: &[ServerKey],
        chance: u64,
    ) -> Option<ServerKey> {
        if servers.is_empty() {
            return None;
        }
        let by_chance =
            |salt: u64| servers[(mix_hash(chance, salt) % servers.len() as u64) as usize];
        match policy {
            PlacementPolicy::RoundRobin => {
                self.turn += 1;
                Some(servers[self.turn % servers.len()])
            }
            PlacementPolicy::Random | PlacementPolicy::Reserve | PlacementPolicy::NoReservation => {
                Some(by_chance(1))
            }
            PlacementPolicy::LeastLoad => {
                servers.iter().copied().min_by_key(|server| (self.load(*server), server.0 ^ chance))
            }
            PlacementPolicy::BestOfTwo | PlacementPolicy::BestOfTwoRefuse => {
                let (first, second) = (by_chance(1), by_chance(2));
                Some(if self.load(first) <= self.load(second) { first } else { second })
            }
        }
    }

    fn load(&self, server: ServerKey) -> (Duration, u32) {
        self.reports
            .get(&server)
            .map_or((Duration::ZERO, 0), |report| (report.backlog, report.requests))
    }
}
