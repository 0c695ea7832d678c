use super::soak_caller::{SoakNotes, run_caller};
use super::soak_check::{SoakReport, check_orders, check_runs};
use super::soak_fault::{FaultPlaces, SoakFault, draw_fault};
use super::soak_host::SoakHost;
use super::soak_proxy::{ProxyMode, SoakProxy};
use crate::bench::site::{
    EngineFault, RestartPlace, ServiceFault, SitePlan, StoreFault, TestSite, call_site, config,
};
use crate::host::lock;
use crate::{Error, Result};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Pause between two faults; most last longer, so that they overlap.
const LONGEST_GAP_MS: u64 = 400;
/// Part of the faults that come with the restart of a server, and what sets their draws apart from others.
const RESTART_SHARE: f64 = 0.15;
const RESTART_SALT: u64 = 0x7e57_a127;
const LOOK: Duration = Duration::from_millis(20);
/// Ends a soak that hangs; nothing is measured against it.
const PATIENCE: Duration = Duration::from_secs(60);

/// How a soak is run.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// Draws faults and callers.
    pub seed: u64,
    /// How long faults are injected.
    pub length: Duration,
    /// Daemons.
    pub hosts: usize,
    /// Callers.
    pub callers: usize,
    /// Folder of the built programs.
    pub programs: PathBuf,
}

pub(super) struct SoakStage {
    pub site: TestSite,
    links: Vec<SoakProxy>,
    store_links: Vec<SoakProxy>,
    pub hosts: Vec<SoakHost>,
    version: u64,
}

/// Runs a soak and tells what it saw.
///
/// # Errors
/// If a program or socket cannot be started.
pub async fn run_soak(options: &SoakOptions) -> Result<SoakReport> {
    let name = format!("tealcleat-soak-{}-{}", std::process::id(), options.seed);
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder)?;
    let mut stage = SoakStage::start(options, &folder).await?;
    let notes = Arc::new(SoakNotes::default());
    let addresses: Arc<Vec<SocketAddr>> =
        Arc::new(stage.hosts.iter().map(|host| host.callers).collect());
    let callers: Vec<_> = (0..options.callers)
        .map(|place| {
            let seed = options.seed.wrapping_mul(1000) + place as u64;
            let name = format!("s{}-c{place}", options.seed);
            tokio::spawn(run_caller(seed, name, Arc::clone(&addresses), Arc::clone(&notes)))
        })
        .collect();
    let faults = stage.inject(options).await?;
    stage.heal().await?;
    notes.ended.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.map_err(|error| Error::Protocol(error.to_string()))?;
    }
    let mut report = lock(&notes.report).clone();
    report.faults = faults;
    let calm = stage.check_calm(options.seed).await;
    let mut records = lock(&notes.records).clone();
    records.extend(calm.1);
    report.breaches.extend(calm.0);
    let site = &stage.site;
    report.breaches.extend(check_runs(&records, &site.decodes, &site.services));
    let engines: Vec<_> = site.decodes.iter().chain(&site.prefills).cloned().collect();
    report.breaches.extend(check_orders(&engines));
    if report.breaches.is_empty() {
        std::fs::remove_dir_all(&folder)?;
    }
    Ok(report)
}

impl SoakStage {
    async fn start(options: &SoakOptions, folder: &std::path::Path) -> Result<Self> {
        let plan = SitePlan { prefills: 2, decodes: 3, services: 3, hosts: 0 };
        let site = TestSite::start(plan).await?;
        let mut links = Vec::new();
        for server in &site.servers {
            let link = SoakProxy::start(server.address).await?;
            site.state_server(&server.id, server.service, link.address, server.stage, "ready");
            links.push(link);
        }
        // Engines fetch each other's results at the addresses that daemons know.
        for (server, link) in site.servers.iter().zip(&links) {
            let source = site.prefills.iter().find(|engine| engine.id == server.id);
            for decode in &site.decodes {
                if let Some(source) = source {
                    decode.add_source(link.address, source);
                }
            }
        }
        let mut stage =
            Self { site, links, store_links: Vec::new(), hosts: Vec::new(), version: 1 };
        let program = options.programs.join("tealcleatd");
        for place in 0..options.hosts {
            let store = SoakProxy::start(stage.site.store_address).await?;
            let seeds: Vec<SocketAddr> = stage.hosts.iter().map(|host| host.peers).collect();
            let name = format!("host-{place}");
            let host = SoakHost::start(&program, folder, &name, store.address, &seeds)?;
            stage.store_links.push(store);
            stage.hosts.push(host);
        }
        stage.wait_ready().await?;
        Ok(stage)
    }

    async fn inject(&mut self, options: &SoakOptions) -> Result<u64> {
        let mut random = StdRng::seed_from_u64(options.seed);
        let places = FaultPlaces {
            engines: self.site.decodes.len() + self.site.prefills.len(),
            services: self.site.services.len(),
            links: self.links.len(),
            hosts: self.hosts.len(),
        };
        let ends = tokio::time::Instant::now() + options.length;
        // Drawn apart from the other faults, which stay those of their seeds.
        let mut restarts = StdRng::seed_from_u64(options.seed ^ RESTART_SALT);
        let mut open: Vec<(SoakFault, tokio::time::Instant)> = Vec::new();
        let mut count = 0;
        while tokio::time::Instant::now() < ends {
            let (fault, lasts) = draw_fault(&mut random, places);
            self.begin(fault)?;
            count += 1;
            if restarts.random_bool(RESTART_SHARE) {
                self.restart_server(restarts.random_range(0..self.links.len())).await?;
                count += 1;
            }
            open.push((fault, tokio::time::Instant::now() + lasts));
            let gap = random.random_range(0..LONGEST_GAP_MS);
            tokio::time::sleep(Duration::from_millis(gap)).await;
            let now = tokio::time::Instant::now();
            let (due, rest): (Vec<_>, Vec<_>) = open.into_iter().partition(|(_, at)| *at <= now);
            open = rest;
            for (fault, _) in due {
                self.end(fault)?;
            }
        }
        Ok(count)
    }

    /// A server crashes and starts again under its id, behind the same link.
    async fn restart_server(&self, place: usize) -> Result<()> {
        let id = &self.site.servers[place].id;
        self.site.begin_life(id, RestartPlace::Same).await?;
        self.site.state_life(id, self.links[place].address)
    }

    fn begin(&mut self, fault: SoakFault) -> Result<()> {
        match fault {
            SoakFault::Store(fault) => self.site.store.set_fault(fault),
            SoakFault::StoreForgets => self.site.store.change(|objects| objects.compact()),
            SoakFault::Engine(place, fault) => self.engine(place).set_fault(fault),
            SoakFault::Service(place, fault) => self.site.services[place].set_fault(fault),
            SoakFault::Link(place, mode) => self.links[place].set(mode),
            SoakFault::HostStore(place, mode) => self.store_links[place].set(mode),
            SoakFault::Kill(place) => self.hosts[place].signal("-KILL")?,
            SoakFault::Stop(place) => self.hosts[place].signal("-TERM")?,
            SoakFault::Pause(place) => self.hosts[place].signal("-STOP")?,
            SoakFault::Reload(place) => self.hosts[place].signal("-HUP")?,
            SoakFault::Configure => {
                self.version += 3;
                self.site.set_config(self.version, &config(self.version));
            }
            SoakFault::DrainServer(place) => self.state_service(place, "draining"),
        }
        Ok(())
    }

    fn end(&mut self, fault: SoakFault) -> Result<()> {
        match fault {
            SoakFault::Store(_) => self.site.store.set_fault(StoreFault::None),
            SoakFault::Engine(place, _) => self.engine(place).set_fault(EngineFault::None),
            SoakFault::Service(place, _) => self.site.services[place].set_fault(ServiceFault::None),
            SoakFault::Link(place, _) => self.links[place].set(ProxyMode::Pass),
            SoakFault::HostStore(place, _) => self.store_links[place].set(ProxyMode::Pass),
            SoakFault::Kill(place) | SoakFault::Stop(place) => {
                if self.hosts[place].has_ended() {
                    self.hosts[place].restart()?;
                }
            }
            SoakFault::Pause(place) => self.hosts[place].signal("-CONT")?,
            SoakFault::DrainServer(place) => self.state_service(place, "ready"),
            SoakFault::StoreForgets | SoakFault::Reload(_) | SoakFault::Configure => {}
        }
        Ok(())
    }

    fn engine(&self, place: usize) -> &Arc<crate::bench::site::SiteEngine> {
        let decodes = self.site.decodes.len();
        self.site.decodes.get(place).unwrap_or_else(|| &self.site.prefills[place - decodes])
    }

    pub fn state_service(&self, place: usize, state: &str) {
        let server = &self.site.servers[self.site.decodes.len() + self.site.prefills.len() + place];
        let address =
            self.links[self.site.decodes.len() + self.site.prefills.len() + place].address;
        self.site.state_server(&server.id, server.service, address, server.stage, state);
    }

    /// Ends all faults and waits until everything serves.
    async fn heal(&mut self) -> Result<()> {
        self.site.store.set_fault(StoreFault::None);
        for place in 0..self.site.decodes.len() + self.site.prefills.len() {
            self.engine(place).set_fault(EngineFault::None);
        }
        for place in 0..self.site.services.len() {
            self.site.services[place].set_fault(ServiceFault::None);
            self.state_service(place, "ready");
        }
        for link in self.links.iter().chain(&self.store_links) {
            link.set(ProxyMode::Pass);
        }
        for host in &mut self.hosts {
            host.signal("-CONT")?;
        }
        self.wait_ready().await
    }

    /// Restarts what has ended, and waits until every daemon takes callers.
    async fn wait_ready(&mut self) -> Result<()> {
        let ends = tokio::time::Instant::now() + PATIENCE;
        for host in &mut self.hosts {
            loop {
                if host.has_ended() {
                    host.restart()?;
                }
                if is_ready(host.ready).await {
                    break;
                }
                if tokio::time::Instant::now() > ends {
                    return Err(Error::Refused(format!("{} never became ready", host.ready)));
                }
                tokio::time::sleep(LOOK).await;
            }
        }
        Ok(())
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let call = crate::bench::site::SiteCall {
        method: "GET",
        path: "/tealcleat/ready".to_owned(),
        id: "ready".to_owned(),
        headers: Vec::new(),
        body: "",
    };
    call_site(address, &call).await.is_ok_and(|reply| reply.status.is_success())
}
