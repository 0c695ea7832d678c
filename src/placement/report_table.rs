use super::PlacementPolicy;
use crate::keys::{ServerKey, TimePoint, mix_hash};
use std::collections::HashMap;
use std::time::Duration;

/// The load of a server according to its last report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Time until a new request could start.
    pub backlog: Duration,
    /// Requests that are running or waiting.
    pub requests: u32,
    /// Requests that can run concurrently.
    pub capacity: u32,
    /// When the report was received.
    pub received_at: TimePoint,
}

/// Load reports of all servers, for the baseline policies, which make no reservations.
#[derive(Debug, Default)]
pub struct ReportTable {
    reports: HashMap<ServerKey, LoadReport>,
    round_robin_index: usize,
}

impl ReportTable {
    /// Stores the latest report of a server.
    pub fn record_report(&mut self, server: ServerKey, report: LoadReport) {
        self.reports.insert(server, report);
    }

    /// The latest report of a server.
    pub fn report(&self, server: ServerKey) -> Option<&LoadReport> {
        self.reports.get(&server)
    }

    /// Picks one of `servers` by a baseline policy; `random` is a fresh random number.
    pub fn pick(
        &mut self,
        policy: PlacementPolicy,
        servers: &[ServerKey],
        random: u64,
    ) -> Option<ServerKey> {
        if servers.is_empty() {
            return None;
        }
        let random_server =
            |salt: u64| servers[(mix_hash(random, salt) % servers.len() as u64) as usize];
        match policy {
            PlacementPolicy::RoundRobin => {
                self.round_robin_index += 1;
                Some(servers[self.round_robin_index % servers.len()])
            }
            PlacementPolicy::Random | PlacementPolicy::Reserve | PlacementPolicy::NoReservation => {
                Some(random_server(1))
            }
            PlacementPolicy::LeastLoad => {
                servers.iter().copied().min_by_key(|server| (self.load(*server), server.0 ^ random))
            }
            PlacementPolicy::BestOfTwo | PlacementPolicy::BestOfTwoRefuse => {
                let (first, second) = (random_server(1), random_server(2));
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
