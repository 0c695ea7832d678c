//! Servers that stand still for a while and go on.

use crate::bench::site::{SiteEngine, SiteService, StallGate, TestSite};
use crate::host::lock;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long a server stands still, in milliseconds.
const SILENCE_MS: Range<u64> = 500..3500;
/// How long it does where it stands still several times, and the pause between two of them.
const SHORT_SILENCE_MS: Range<u64> = 500..1800;
const PAUSE_MS: Range<u64> = 150..900;
/// How often servers stand still if they do it several times.
const REPEATS: Range<u32> = 2..4;
/// Longest time before the first silence, so that it begins before or after what happens beside it.
const MAX_LEAD_MS: u64 = 800;
/// Fraction of the servers that are most of them.
const MOST: f64 = 0.7;

/// How many servers stand still at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SilentShare {
    One,
    Most,
    All,
}

/// A series of silences.
#[derive(Debug, Clone, Copy)]
pub(super) struct SilencePlan {
    pub share: SilentShare,
    /// Number of silences, one after the other, each of other servers.
    pub count: u32,
    /// Seed of the random draws of servers and times.
    pub seed: u64,
}

impl SilencePlan {
    /// Draws whether servers stand still once or several times.
    pub fn draw(share: SilentShare, random: &mut StdRng) -> Self {
        let count = if random.random_bool(0.5) { 1 } else { random.random_range(REPEATS) };
        Self { share, count, seed: random.random() }
    }
}

/// A time in which servers stood still.
#[derive(Debug, Clone)]
pub(super) struct SilentTime {
    pub servers: Vec<String>,
    pub from: Instant,
    pub to: Instant,
}

impl SilentTime {
    pub fn hits(&self, server: &str) -> bool {
        self.servers.iter().any(|silent| silent == server)
    }
}

#[derive(Debug)]
enum SilentServer {
    Engine(Arc<SiteEngine>),
    Service(Arc<SiteService>),
}

impl SilentServer {
    fn id(&self) -> &str {
        match self {
            Self::Engine(engine) => &engine.id,
            Self::Service(service) => &service.id,
        }
    }

    fn gate(&self) -> &StallGate {
        match self {
            Self::Engine(engine) => &engine.stall_gate,
            Self::Service(service) => &service.stall_gate,
        }
    }
}

/// The servers of a site, and when each stood still.
#[derive(Debug)]
pub(super) struct ServerSilences {
    servers: Vec<SilentServer>,
    times: Mutex<Vec<SilentTime>>,
}

impl ServerSilences {
    pub fn new(site: &TestSite) -> Self {
        let engines = site.decodes.iter().chain(&site.prefills).cloned();
        let services = site.services.iter().cloned().map(SilentServer::Service);
        let servers = engines.map(SilentServer::Engine).chain(services).collect();
        Self { servers, times: Mutex::default() }
    }

    /// Lets servers stand still as planned.
    pub async fn play(&self, plan: SilencePlan) {
        let mut random = StdRng::seed_from_u64(plan.seed);
        sleep(Duration::from_millis(random.random_range(0..MAX_LEAD_MS))).await;
        for _ in 0..plan.count {
            let length = if plan.count == 1 { SILENCE_MS } else { SHORT_SILENCE_MS };
            let length = Duration::from_millis(random.random_range(length));
            let servers = self.draw_servers(plan.share, &mut random);
            self.silence(&servers, length).await;
            sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
        }
    }

    fn draw_servers(&self, share: SilentShare, random: &mut StdRng) -> Vec<&SilentServer> {
        let mut servers: Vec<&SilentServer> = self.servers.iter().collect();
        servers.shuffle(random);
        match share {
            SilentShare::One => servers.truncate(1),
            SilentShare::Most => servers.truncate((servers.len() as f64 * MOST) as usize),
            SilentShare::All => {}
        }
        servers
    }

    async fn silence(&self, servers: &[&SilentServer], length: Duration) {
        let from = Instant::now();
        for server in servers {
            server.gate().stall();
        }
        sleep(length).await;
        for server in servers {
            server.gate().release();
        }
        let servers = servers.iter().map(|server| server.id().to_owned()).collect();
        lock(&self.times).push(SilentTime { servers, from, to: Instant::now() });
    }

    /// All silences that have ended.
    pub fn times(&self) -> Vec<SilentTime> {
        lock(&self.times).clone()
    }
}
