//! Crowds of clients that do not behave, beside the other faults of a soak test, and the memory of the daemons meanwhile.

use super::soak_check::SoakViolation;
use super::soak_cluster::SoakCluster;
use crate::bench::GatewayProcess;
use crate::bench::memory_watch::resident_bytes;
use crate::bench::rogue::{RogueCrowd, RogueKind, RogueTarget};
use crate::platform::READY_PATH;
use crate::resource_plan::MachineLimits;
use rand::Rng;
use rand::rngs::StdRng;
use std::ops::Range;
use std::time::Duration;
use tokio::time::Instant;

/// Probability that a draw also brings a crowd, and the salt of these random draws.
const CROWD_PROBABILITY: f64 = 0.5;
pub(super) const CROWD_SALT: u64 = 0x0c_40_3d;
const CROWD_SIZE: Range<usize> = 20..250;
const CROWD_MS: Range<u64> = 500..3000;

/// The crowds of a soak test.
#[derive(Debug, Default)]
pub(super) struct SoakRogues {
    active: Vec<(RogueCrowd, Instant)>,
    /// Crowds that came so far.
    pub crowds: u64,
    /// Most memory of a daemon, in bytes.
    pub peak_bytes: u64,
}

impl SoakRogues {
    /// May bring a crowd, sends away those whose time is over, and looks at the daemons' memory.
    pub async fn step(&mut self, cluster: &SoakCluster, random: &mut StdRng) {
        if random.random_bool(CROWD_PROBABILITY) {
            let host = &cluster.hosts[random.random_range(0..cluster.hosts.len())];
            let kind = RogueKind::ALL[random.random_range(0..RogueKind::ALL.len())];
            let size = random.random_range(CROWD_SIZE);
            let end = Instant::now() + Duration::from_millis(random.random_range(CROWD_MS));
            let crowd = RogueCrowd::start(kind, &draw_target(host, random), size);
            self.active.push((crowd, end));
            self.crowds += 1;
        }
        let ids = cluster.hosts.iter().filter_map(GatewayProcess::id);
        let peak = ids.filter_map(resident_bytes).max().unwrap_or_default();
        self.peak_bytes = self.peak_bytes.max(peak);
        let now = Instant::now();
        let is_over = |(_, end): &mut (RogueCrowd, Instant)| *end <= now;
        for (crowd, _) in self.active.extract_if(.., is_over).collect::<Vec<_>>() {
            crowd.leave().await;
        }
    }

    /// Sends all crowds away; returns a violation if a daemon passed the memory of its machine.
    pub async fn leave(&mut self) -> Option<SoakViolation> {
        for (crowd, _) in self.active.drain(..) {
            crowd.leave().await;
        }
        let bound = MachineLimits::default().memory_mb * 1_000_000;
        (self.peak_bytes > bound).then(|| SoakViolation {
            guarantee: "a daemon stays within the memory of its machine",
            detail: format!("{} of {bound} bytes", self.peak_bytes),
        })
    }
}

/// Draws an address of a daemon and a path.
fn draw_target(host: &GatewayProcess, random: &mut StdRng) -> RogueTarget {
    let targets = [
        (host.callers, "/safe/x"),
        (host.callers, "/once/x"),
        (host.callers, "/stream/x"),
        (host.callers, "/nothing/x"),
        (host.ready, READY_PATH),
        (host.metrics, "/metrics"),
        (host.peers_listen, "/"),
    ];
    let (address, path) = targets[random.random_range(0..targets.len())];
    RogueTarget { address, path: path.to_owned() }
}
