//! The processes and stand-ins of a soak test, and the links between them.

use super::answer_link::AnswerLink;
use super::fault_log::FaultLog;
use super::partition_group::machine_address;
use super::soak_options::SoakOptions;
use super::soak_rogues::SoakRogues;
use super::version_moves::FORMER_VERSION;
use crate::bench::links::{HostLink, LinkProxy, LinkSockets, ProxyMode, UnansweredPort};
use crate::bench::site::{
    EngineFault, ServiceFault, SiteEngine, SitePlan, StoreFault, TestSite, call_site,
};
use crate::bench::{DEFAULT_GRACE, GatewayProcess, ProcessPlan, free_ports};
use crate::resource_plan::MachineLimits;
use crate::{Error, Result};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// Difference between the link seeds of successive soak seeds. It keeps the seeds of all links apart.
const LINK_SEED_STRIDE: u64 = 1000;
/// The machine of all servers, by whose address the daemons' library knows a connection to a server.
const SERVER_MACHINE: Ipv4Addr = Ipv4Addr::new(127, 4, 0, 1);
/// Environment variable with the port at which a daemon's connections hang while it has no path to the servers.
const UNANSWERED_VARIABLE: &str = "TEALCLEAT_UNANSWERED";
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Ends a soak test that hangs. No guarantee depends on this value.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Failure domains of hosts. All servers are in the first one.
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// The daemons, the stand-ins, and the links between them.
pub(super) struct SoakCluster {
    pub site: TestSite,
    /// Link to each server.
    pub links: Vec<LinkProxy>,
    /// Link to each of `links`, through which daemons reach the server.
    pub answer_links: Vec<AnswerLink>,
    /// Link to the store for each host.
    pub store_links: Vec<LinkProxy>,
    /// Link to each of `store_links`, through which its host reaches the store.
    pub store_answers: Vec<AnswerLink>,
    pub hosts: Vec<GatewayProcess>,
    /// Link through which the other hosts reach each host, if links between hosts have faults.
    pub host_links: Vec<HostLink>,
    pub sockets: LinkSockets,
    /// Number of failure domains, to which hosts are assigned round-robin.
    pub domains: usize,
    /// Version of the configuration.
    pub version: u64,
    pub unused_routes: usize,
    /// Whether engines run several software versions.
    pub mixes_versions: bool,
    /// Whether callers leave streams when their patience ends.
    pub hushes_servers: bool,
    pub fault_log: FaultLog,
    pub rogues: SoakRogues,
    unanswered_port: UnansweredPort,
}

impl SoakCluster {
    /// Starts everything, and waits until all daemons are ready.
    pub async fn start(options: &SoakOptions, folder: &std::path::Path) -> Result<Self> {
        // With several versions, more than one server of each generates answers; parts of prompts crash many servers.
        // Where the lease changes hands, many servers are to change their stage.
        let (prefills, decodes) = match options {
            SoakOptions { hands_over: true, .. } => (9, 3),
            options if is_large(options) => (3, 9),
            _ => (2, 3),
        };
        let plan = SitePlan { prefills, decodes, services: 3, hosts: 0 };
        let site = TestSite::start(plan).await?;
        let sockets = LinkSockets::default();
        let mut links = Vec::new();
        let mut answer_links = Vec::new();
        for (server, index) in site.servers.iter().zip(0..) {
            let partitions = sockets.partitions.clone();
            let link = LinkProxy::start_before_server(server.address, partitions).await?;
            let seed = options.seed.wrapping_mul(LINK_SEED_STRIDE) + index;
            let answers = AnswerLink::start_at(SERVER_MACHINE, link.address, seed).await?;
            site.write_entry(&server.id, server.service, answers.address, server.stage, "ready");
            answers.refuse_while_down(site.incarnation_switch(&server.id)?.clone());
            links.push(link);
            answer_links.push(answers);
        }
        // Decode engines fetch prefill results at the addresses that daemons know.
        for (server, answers) in site.servers.iter().zip(&answer_links) {
            let source = site.prefills.iter().find(|engine| engine.id == server.id);
            for decode in &site.decodes {
                if let Some(source) = source {
                    decode.add_source(answers.address, source);
                }
            }
        }
        let mut cluster = Self {
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
            mixes_versions: options.mixes_versions,
            hushes_servers: options.hushes_servers,
            fault_log: FaultLog::create(folder)?,
            rogues: SoakRogues::default(),
            unanswered_port: UnansweredPort::open().await?,
        };
        cluster.confirm_version();
        if options.mixes_versions {
            cluster.mix_versions().await?;
        } else if options.moves_versions {
            // Engines name their version in their events only once their software was replaced.
            cluster.replace_engines(FORMER_VERSION).await?;
        }
        for index in 0..options.hosts {
            cluster.add_host(options, folder, index).await?;
        }
        cluster.wait_ready().await?;
        if options.needs_machines() && !cluster.sources_match_machines() {
            let cause = "connections of daemons do not come from their machines' addresses";
            return Err(Error::Refused(format!("{cause}: {:?}", cluster.store_sources())));
        }
        Ok(cluster)
    }

    /// Starts a daemon, its link to the store and, if needed, the link through which other hosts reach it.
    async fn add_host(
        &mut self,
        options: &SoakOptions,
        folder: &std::path::Path,
        index: usize,
    ) -> Result<()> {
        let partitions = self.sockets.partitions.clone();
        let link = LinkProxy::start_with(self.site.store_address, partitions).await?;
        let seed = options.seed.wrapping_mul(LINK_SEED_STRIDE) + (self.links.len() + index) as u64;
        let store_answers = AnswerLink::start(link.address, seed).await?;
        let peers: Vec<SocketAddr> = self.hosts.iter().map(|host| host.peers).collect();
        let has_link =
            options.stalls_connections || options.partitions_network || is_large(options);
        let unanswered_port = self.unanswered_port.address.port().to_string();
        let mut environment = options.environment.clone();
        environment.push((UNANSWERED_VARIABLE.to_owned(), unanswered_port));
        let advertised = has_link.then(advertised_address).transpose()?;
        let loopback = IpAddr::from(Ipv4Addr::LOCALHOST);
        let host = GatewayProcess::start(&ProcessPlan {
            program: &options.programs.join("tealcleatd"),
            folder,
            name: &format!("host-{index}"),
            domain: DOMAINS[index % self.domains],
            machine: if options.needs_machines() { machine_address(index) } else { loopback },
            store: store_answers.address,
            seeds: &peers,
            advertised,
            revocation: None,
            grace: DEFAULT_GRACE,
            features: options.features,
            retries: options.retry_bounds(),
            limits: options.sends_rogues.then(MachineLimits::default),
            environment: &environment,
        })?;
        if let Some(advertised) = advertised {
            let link = HostLink::open(advertised, host.peers_listen, &self.sockets).await?;
            self.host_links.push(link);
        }
        self.store_links.push(link);
        self.store_answers.push(store_answers);
        self.hosts.push(host);
        Ok(())
    }

    /// Returns whether links can identify the machine of a connection: at least one host has called the store, and none
    /// from a wrong address. Any host may have received its state from peers and not called the store yet.
    fn sources_match_machines(&self) -> bool {
        let sources = self.store_sources();
        let is_valid = |(source, index): (&Option<IpAddr>, usize)| {
            source.is_none_or(|address| address == machine_address(index))
        };
        sources.iter().any(Option::is_some) && sources.iter().zip(0..).all(is_valid)
    }

    /// Returns the address from which each daemon last called the store, if it has called it.
    fn store_sources(&self) -> Vec<Option<IpAddr>> {
        self.store_links.iter().map(LinkProxy::last_source).collect()
    }

    /// The addresses at which callers reach the hosts.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.callers).collect()
    }

    /// The engines, those that generate answers first.
    pub fn engines(&self) -> impl Iterator<Item = &Arc<SiteEngine>> {
        self.site.decodes.iter().chain(&self.site.prefills)
    }

    /// Ends all faults and waits until all daemons are ready.
    pub async fn end_all_faults(&mut self) -> Result<()> {
        self.site.store.set_fault(StoreFault::None);
        for index in 0..self.site.decodes.len() + self.site.prefills.len() {
            self.engine(index).set_fault(EngineFault::None);
        }
        for index in 0..self.site.services.len() {
            self.site.services[index].set_fault(ServiceFault::None);
            self.write_service_entry(index, "ready");
        }
        self.clear_limits();
        self.sockets.partitions.end_all();
        self.end_server_cuts()?;
        self.restart_crashed().await?;
        for link in self.links.iter().chain(&self.store_links) {
            link.set(ProxyMode::Pass);
        }
        for answers in self.answer_links.iter().chain(&self.store_answers) {
            answers.set_fault(None);
        }
        for host in &mut self.hosts {
            host.resume()?;
        }
        self.wait_ready().await
    }

    /// Restarts daemons that have ended, and waits until all daemons are ready for callers.
    pub async fn wait_ready(&mut self) -> Result<()> {
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        for host in &mut self.hosts {
            loop {
                if host.has_ended() {
                    host.restart()?;
                }
                if is_ready(host.ready).await {
                    break;
                }
                if tokio::time::Instant::now() > deadline {
                    return Err(Error::Refused(format!("{} never became ready", host.ready)));
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }
}

/// Whether the site has servers enough to lose some of them all the time.
fn is_large(options: &SoakOptions) -> bool {
    options.mixes_versions
        || options.moves_versions
        || options.crashes_parts
        || options.herds_connections
        || options.sums_repeats
        || options.hushes_servers
        || options.hands_over
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
