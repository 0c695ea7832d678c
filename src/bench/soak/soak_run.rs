use super::answer_link::AnswerLink;
use super::soak_caller::{CallerPlan, SoakNotes, run_caller};
use super::soak_check::{SoakReport, check_holds, check_orders, check_runs};
use super::soak_cut::machine_address;
use super::soak_trace::SoakTrace;
use crate::bench::links::{HostLink, LinkProxy, LinkSockets, ProxyMode};
use crate::bench::site::{EngineFault, ServiceFault, SitePlan, StoreFault, TestSite, call_site};
use crate::bench::{GatewayProcess, ProcessPlan, free_ports};
use crate::host::lock;
use crate::{Error, Result};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Keeps the seeds of the servers' links apart, also those of neighbouring soaks.
const SERVER_SEEDS: u64 = 1000;
const LOOK: Duration = Duration::from_millis(20);
/// Ends a soak that hangs; nothing is measured against it.
const PATIENCE: Duration = Duration::from_secs(60);

/// Failure domains of hosts; all servers are in the first one.
const DOMAINS: [&str; 3] = ["a", "b", "c"];

static SOAKS: AtomicU64 = AtomicU64::new(0);

/// How a soak is run.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// Draws faults and callers.
    pub seed: u64,
    /// How long faults are injected.
    pub duration: Duration,
    /// Daemons.
    pub hosts: usize,
    /// Failure domains over which they are spread; three at most.
    pub domains: usize,
    /// Callers.
    pub callers: usize,
    /// Some requests crash the servers that run them.
    pub sends_crashing_requests: bool,
    /// Daemons are suspended; their environment has a clock that stands still meanwhile.
    pub suspends_hosts: bool,
    /// Servers name limits.
    pub limits_servers: bool,
    /// Open connections fall silent, and each host is asked in the end what is in force there.
    pub silences_connections: bool,
    /// Machines are cut off, with the same questions in the end; the daemons' environment has a library that lets
    /// their connections come from the address of their machine.
    pub cuts_machines: bool,
    /// Routes of the configuration that nobody asks for.
    pub unused_routes: usize,
    /// Variables of the daemons' environment.
    pub environment: Vec<(String, String)>,
    /// Folder of the built programs.
    pub programs: PathBuf,
}

pub(super) struct SoakStage {
    pub site: TestSite,
    /// Before each server.
    pub links: Vec<LinkProxy>,
    /// Before each server's link: where daemons reach it.
    pub answer_links: Vec<AnswerLink>,
    /// Before the store, one for each host.
    pub store_links: Vec<LinkProxy>,
    /// Before each of these: where its host reaches the store.
    pub store_answers: Vec<AnswerLink>,
    pub hosts: Vec<GatewayProcess>,
    /// Before each of them, if the links between them have faults: where the others reach it.
    pub host_links: Vec<HostLink>,
    pub sockets: LinkSockets,
    /// Failure domains over which the hosts are dealt out in turn.
    pub domains: usize,
    /// Of the configuration.
    pub version: u64,
    pub unused_routes: usize,
    pub trace: SoakTrace,
}

/// Runs a soak and tells what it saw.
///
/// # Errors
/// If a program or socket cannot be started.
pub async fn run_soak(options: &SoakOptions) -> Result<SoakReport> {
    // Tests of one process may run the same seed at the same time.
    let serial = SOAKS.fetch_add(1, Ordering::Relaxed);
    let name = format!("tealcleat-soak-{}-{}-{serial}", std::process::id(), options.seed);
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
            let plan = CallerPlan { seed, name, is_crashing: options.sends_crashing_requests };
            tokio::spawn(run_caller(plan, Arc::clone(&addresses), Arc::clone(&notes)))
        })
        .collect();
    let faults = stage.inject(options).await?;
    stage.heal().await?;
    let over_limits =
        if options.limits_servers { stage.check_limits(options.seed).await? } else { Vec::new() };
    let in_force = stage.check_force(options).await?;
    notes.ended.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.map_err(|error| Error::Protocol(error.to_string()))?;
    }
    // Their last requests may have crashed some.
    stage.restart_crashed().await?;
    let mut report = lock(&notes.report).clone();
    report.faults = faults;
    report.store_calls = stage.site.store.call_counts().0;
    let calm = stage.check_calm(options.seed).await;
    let mut records = lock(&notes.records).clone();
    records.extend(calm.1);
    records.extend(in_force.1);
    report.violations.extend(calm.0);
    report.violations.extend(in_force.0);
    let site = &stage.site;
    report.violations.extend(check_runs(&records, &site.decodes, &site.services));
    let engines: Vec<_> = site.decodes.iter().chain(&site.prefills).cloned().collect();
    report.violations.extend(check_orders(&engines));
    report.violations.extend(check_holds(&site.decodes));
    report.violations.extend(stage.check_innocents()?);
    report.violations.extend(over_limits);
    if report.violations.is_empty() {
        std::fs::remove_dir_all(&folder)?;
    }
    Ok(report)
}

impl SoakStage {
    async fn start(options: &SoakOptions, folder: &std::path::Path) -> Result<Self> {
        let plan = SitePlan { prefills: 2, decodes: 3, services: 3, hosts: 0 };
        let site = TestSite::start(plan).await?;
        let sockets = LinkSockets::default();
        let mut links = Vec::new();
        let mut answer_links = Vec::new();
        for (server, place) in site.servers.iter().zip(0..) {
            let link = LinkProxy::start_with(server.address, sockets.partitions.clone()).await?;
            let seed = options.seed.wrapping_mul(SERVER_SEEDS) + place;
            let answers = AnswerLink::start(link.address, seed).await?;
            site.write_entry(&server.id, server.service, answers.address, server.stage, "ready");
            answers.follow(site.incarnation_switch(&server.id)?.clone());
            links.push(link);
            answer_links.push(answers);
        }
        // Engines fetch each other's results at the addresses that daemons know.
        for (server, answers) in site.servers.iter().zip(&answer_links) {
            let source = site.prefills.iter().find(|engine| engine.id == server.id);
            for decode in &site.decodes {
                if let Some(source) = source {
                    decode.add_source(answers.address, source);
                }
            }
        }
        let mut stage = Self {
            site,
            links,
            answer_links,
            store_links: Vec::new(),
            store_answers: Vec::new(),
            hosts: Vec::new(),
            host_links: Vec::new(),
            sockets,
            domains: options.domains.clamp(1, DOMAINS.len()),
            version: 1,
            unused_routes: options.unused_routes,
            trace: SoakTrace::create(folder)?,
        };
        stage.confirm_version();
        for place in 0..options.hosts {
            stage.add_host(options, folder, place).await?;
        }
        stage.wait_ready().await?;
        if options.cuts_machines && !stage.knows_machines() {
            let cause = "connections of daemons do not come from their machines' addresses";
            return Err(Error::Refused(format!("{cause}: {:?}", stage.store_sources())));
        }
        Ok(stage)
    }

    /// Starts a daemon, and the links before it and between it and the store.
    async fn add_host(
        &mut self,
        options: &SoakOptions,
        folder: &std::path::Path,
        place: usize,
    ) -> Result<()> {
        let partitions = self.sockets.partitions.clone();
        let link = LinkProxy::start_with(self.site.store_address, partitions).await?;
        let seed = options.seed.wrapping_mul(SERVER_SEEDS) + (self.links.len() + place) as u64;
        let store = AnswerLink::start(link.address, seed).await?;
        let seeds: Vec<SocketAddr> = self.hosts.iter().map(|host| host.peers).collect();
        let has_link = options.silences_connections || options.cuts_machines;
        let advertised = has_link.then(advertised_address).transpose()?;
        let here = IpAddr::from(Ipv4Addr::LOCALHOST);
        let host = GatewayProcess::start(&ProcessPlan {
            program: &options.programs.join("tealcleatd"),
            folder,
            name: &format!("host-{place}"),
            domain: DOMAINS[place % self.domains],
            machine: if options.cuts_machines { machine_address(place) } else { here },
            store: store.address,
            seeds: &seeds,
            advertised,
            revocation: None,
            environment: &options.environment,
        })?;
        if let Some(advertised) = advertised {
            let link = HostLink::open(advertised, host.peers_listen, &self.sockets).await?;
            self.host_links.push(link);
        }
        self.store_links.push(link);
        self.store_answers.push(store);
        self.hosts.push(host);
        Ok(())
    }

    /// Whether links can tell from which machine a connection comes: some must have come, and none from a wrong address.
    /// A host that its neighbours told all has not called the store yet, whichever was the first to start.
    fn knows_machines(&self) -> bool {
        let sources = self.store_sources();
        let is_own = |(source, place): (&Option<IpAddr>, usize)| {
            source.is_none_or(|address| address == machine_address(place))
        };
        sources.iter().any(Option::is_some) && sources.iter().zip(0..).all(is_own)
    }

    /// From where each daemon last called the store, if it has.
    fn store_sources(&self) -> Vec<Option<IpAddr>> {
        self.store_links.iter().map(LinkProxy::last_source).collect()
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
        self.take_limits_back();
        self.sockets.partitions.end_all();
        self.restart_crashed().await?;
        for link in self.links.iter().chain(&self.store_links) {
            link.set(ProxyMode::Pass);
        }
        for answers in self.answer_links.iter().chain(&self.store_answers) {
            answers.set(None);
        }
        for host in &mut self.hosts {
            host.resume()?;
        }
        self.wait_ready().await
    }

    /// Restarts what has ended, and waits until every daemon takes callers.
    pub async fn wait_ready(&mut self) -> Result<()> {
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

fn advertised_address() -> Result<SocketAddr> {
    Ok(SocketAddr::from(([127, 0, 0, 1], free_ports(1)?[0])))
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
