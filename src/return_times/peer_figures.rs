use super::{CallFigures, ReturnUpdate, ServiceFigures};
use crate::keys::{IncarnationId, TimePoint};
use crate::routes::ServiceKey;
use crate::server_limits::CallRank;
use std::collections::HashMap;
use std::time::Duration;

/// Figures of a host that sent no newer ones for this long are ignored: it has died or cannot be reached.
const FIGURES_TTL: Duration = Duration::from_millis(1500);
/// Most services and ranks of one host; more than any configuration has.
const MAX_FIGURES: usize = 64;

/// The figures of one other host.
#[derive(Debug, Clone)]
struct HostFigures {
    version: u64,
    received_at: TimePoint,
    figures: Vec<ServiceFigures>,
}

/// The figures of the other hosts.
#[derive(Debug, Default)]
pub struct PeerFigures {
    hosts: HashMap<IncarnationId, HostFigures>,
}

impl PeerFigures {
    /// Replaces the figures of a host, unless newer ones are known; returns whether it has.
    pub fn apply(&mut self, now: TimePoint, update: &ReturnUpdate) -> bool {
        let known = self.hosts.get(&update.from);
        if known.is_some_and(|known| known.version >= update.version) {
            return false;
        }
        let figures = update.figures.iter().take(MAX_FIGURES).copied().collect();
        let host = HostFigures { version: update.version, received_at: now, figures };
        self.hosts.insert(update.from, host);
        true
    }

    /// Number of hosts whose figures are recent.
    pub fn host_count(&self, now: TimePoint) -> usize {
        self.recent(now).count()
    }

    /// The figures of a service summed over the other hosts, for the ranks that `is_counted` selects.
    pub fn sum(
        &self,
        now: TimePoint,
        service: ServiceKey,
        is_counted: impl Fn(CallRank) -> bool,
    ) -> CallFigures {
        let all = self.recent(now).flat_map(|host| &host.figures);
        let mut sum = CallFigures::default();
        for entry in all.filter(|entry| entry.service == service && is_counted(entry.rank)) {
            sum += entry.figures;
        }
        sum
    }

    /// Ranks of the other hosts' requests to a service.
    pub fn ranks(&self, now: TimePoint, service: ServiceKey) -> impl Iterator<Item = CallRank> {
        let all = self.recent(now).flat_map(|host| &host.figures);
        all.filter(move |entry| entry.service == service).map(|entry| entry.rank)
    }

    /// Drops the figures that have expired.
    pub fn expire(&mut self, now: TimePoint) {
        self.hosts.retain(|_, host| now.since(host.received_at) < FIGURES_TTL);
    }

    fn recent(&self, now: TimePoint) -> impl Iterator<Item = &HostFigures> {
        self.hosts.values().filter(move |host| now.since(host.received_at) < FIGURES_TTL)
    }
}
