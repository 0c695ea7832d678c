use super::{DuplicateLink, SiteEngine, SiteService, SiteStore, config};
use crate::bench::free_ports;
use crate::bench::links::{HostLink, LinkSockets};
use crate::gateway::{Gateway, start_gateway};
use crate::limits::LimitBounds;
use crate::resource_plan::MachineLimits;
use crate::retries::RetryBounds;
use crate::settings::{GatewayBounds, GatewaySettings, LoadFeatures};
use crate::{Error, Result};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

const ANY_PORT: &str = "127.0.0.1:0";
/// Events in an engine's response: enough to interrupt it in the middle.
const ANSWER_EVENTS: u64 = 8;
const EVENT_INTERVAL: Duration = Duration::from_millis(5);
/// How long a revoked key may still be accepted.
const MAX_REVOCATION_DELAY: Duration = Duration::from_secs(5);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The size of a test site.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SitePlan {
    /// Number of prefill engines.
    pub prefills: usize,
    /// Number of decode engines.
    pub decodes: usize,
    /// Number of servers of the plain service.
    pub services: usize,
    /// Number of daemons.
    pub hosts: usize,
}

impl Default for SitePlan {
    fn default() -> Self {
        Self { prefills: 2, decodes: 2, services: 2, hosts: 1 }
    }
}

/// A backend server of a test site, as in its entry in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteServer {
    /// The server's id.
    pub id: String,
    /// The service that it belongs to.
    pub service: &'static str,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its stage, if it is an engine.
    pub stage: Option<&'static str>,
}

/// A platform inside a test process: stand-ins with real daemons in front of them.
#[derive(Debug)]
pub struct TestSite {
    /// The store.
    pub store: Arc<SiteStore>,
    /// Prefill engines.
    pub prefills: Vec<Arc<SiteEngine>>,
    /// Decode engines.
    pub decodes: Vec<Arc<SiteEngine>>,
    /// Servers of the plain service.
    pub services: Vec<Arc<SiteService>>,
    /// All backend servers: prefill engines, decode engines, servers of the plain service, in this order.
    pub servers: Vec<SiteServer>,
    /// Daemons.
    pub hosts: Vec<Gateway>,
    /// Failure domains over which the servers are spread.
    pub domains: &'static [&'static str],
    /// The address that the store listens on.
    pub store_address: SocketAddr,
    /// Features that are switched on at daemons started from now on.
    pub features: LoadFeatures,
    pub(super) restarts: AtomicU64,
}

impl TestSite {
    /// Starts stand-ins and daemons and waits until all daemons are ready.
    ///
    /// # Errors
    /// If a port cannot be bound.
    pub async fn start(plan: SitePlan) -> Result<Self> {
        let store = Arc::new(SiteStore::default());
        let store_address = store.serve().await?;
        let mut site = Self {
            store,
            prefills: Vec::new(),
            decodes: Vec::new(),
            services: Vec::new(),
            servers: Vec::new(),
            hosts: Vec::new(),
            domains: &["a"],
            store_address,
            features: LoadFeatures::default(),
            restarts: AtomicU64::new(0),
        };
        site.start_servers(plan).await?;
        site.set_config(1, &config(1));
        for _ in 0..plan.hosts {
            site.add_host().await?;
        }
        site.wait_ready().await;
        Ok(site)
    }

    async fn start_servers(&mut self, plan: SitePlan) -> Result<()> {
        let mut sources = Vec::new();
        for index in 0..plan.prefills {
            let id = format!("i-prefill-{index}");
            let engine = Arc::new(SiteEngine::new(&id, "prefill", ANSWER_EVENTS, EVENT_INTERVAL));
            let address = engine.serve().await?;
            self.add_server(id, "engines", address, Some("prefill"));
            sources.push((address, Arc::clone(&engine)));
            self.prefills.push(engine);
        }
        for index in 0..plan.decodes {
            let id = format!("i-decode-{index}");
            let engine = Arc::new(SiteEngine::new(&id, "decode", ANSWER_EVENTS, EVENT_INTERVAL));
            for (address, source) in &sources {
                engine.add_source(*address, source);
            }
            let address = engine.serve().await?;
            self.add_server(id, "engines", address, Some("decode"));
            self.decodes.push(engine);
        }
        for index in 0..plan.services {
            let id = format!("i-service-{index}");
            let service = Arc::new(SiteService::new(&id));
            let address = service.serve().await?;
            self.add_server(id, "app", address, None);
            self.services.push(service);
        }
        Ok(())
    }

    fn add_server(
        &mut self,
        id: String,
        service: &'static str,
        address: SocketAddr,
        stage: Option<&'static str>,
    ) {
        self.write_entry(&id, service, address, stage, "ready");
        self.servers.push(SiteServer { id, service, address, stage });
    }

    /// Writes a server's entry to the store.
    pub fn write_entry(
        &self,
        id: &str,
        service: &str,
        address: SocketAddr,
        stage: Option<&str>,
        state: &str,
    ) {
        let software = self.software(id);
        let mut entry = json!({"service": service, "address": address.to_string(), "zone": self.domain(id),
            "version": software.version, "slots": 8, "state": state, "cold_left_ms": 0, "seq": 0});
        if let Some(stage) = stage {
            entry["stage"] = json!(stage);
        }
        if let Some(started_at) = self.started_at(id) {
            entry["born"] = json!(started_at);
        }
        self.store.change(|objects| objects.set("servers", &software.instance, entry));
    }

    /// Puts a [`DuplicateLink`] in front of a server of this site and writes the link's address to the server's entry.
    ///
    /// # Errors
    /// If no port can be bound, or there is no such server.
    pub async fn link(&self, id: &str) -> Result<DuplicateLink> {
        let server = self.servers.iter().find(|server| server.id == id);
        let server = server.ok_or_else(|| Error::Refused(format!("there is no server {id}")))?;
        let link = DuplicateLink::start(server.address).await?;
        if let Some(engine) = self.prefills.iter().find(|engine| engine.id == id) {
            for decode in &self.decodes {
                decode.add_source(link.address, engine);
            }
        }
        self.write_entry(id, server.service, link.address, server.stage, "ready");
        Ok(link)
    }

    /// Writes a configuration to the store.
    pub fn set_config(&self, version: u64, config: &Value) {
        let mut config = config.clone();
        config["version"] = json!(version);
        self.store.change(|objects| objects.set("config", "main", config));
    }

    /// Starts another daemon with the present daemons as its seeds.
    ///
    /// # Errors
    /// If a port cannot be bound.
    pub async fn add_host(&mut self) -> Result<()> {
        let seeds = self.hosts.iter().map(|host| host.peers).collect();
        self.add_host_with_seeds(seeds).await
    }

    /// Starts another daemon like [`Self::add_host`], with adjusted settings.
    ///
    /// # Errors
    /// If a port cannot be bound.
    pub async fn add_host_with(&mut self, adjust: impl FnOnce(&mut GatewaySettings)) -> Result<()> {
        let seeds = self.hosts.iter().map(|host| host.peers).collect();
        let mut settings = gateway_settings(self.hosts.len(), self.store_address, seeds)?;
        adjust(&mut settings);
        self.hosts.push(start_gateway(settings).await?);
        Ok(())
    }

    /// Starts another daemon without seeds, so that it and the other daemons do not know of each other.
    ///
    /// # Errors
    /// If a port cannot be bound.
    pub async fn add_isolated_host(&mut self) -> Result<()> {
        self.add_host_with_seeds(Vec::new()).await
    }

    async fn add_host_with_seeds(&mut self, seeds: Vec<SocketAddr>) -> Result<()> {
        let mut settings = gateway_settings(self.hosts.len(), self.store_address, seeds)?;
        settings.features = self.features;
        self.hosts.push(start_gateway(settings).await?);
        Ok(())
    }

    /// Starts another daemon that the others reach through a [`HostLink`].
    ///
    /// # Errors
    /// If a port cannot be bound.
    pub async fn add_linked_host(&mut self, sockets: &LinkSockets) -> Result<HostLink> {
        let seeds = self.hosts.iter().map(|host| host.peers).collect();
        let advertised = SocketAddr::from(([127, 0, 0, 1], free_ports(1)?[0]));
        let mut settings = gateway_settings(self.hosts.len(), self.store_address, seeds)?;
        settings.peers_advertise = Some(advertised);
        settings.features = self.features;
        let host = start_gateway(settings).await?;
        let link = HostLink::open(advertised, host.peers_listen, sockets).await?;
        self.hosts.push(host);
        Ok(link)
    }

    /// Waits until all daemons are ready for callers.
    pub async fn wait_ready(&self) {
        for gateway in &self.hosts {
            while !gateway.host.is_ready() {
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        }
    }
}

fn gateway_settings(
    index: usize,
    store: SocketAddr,
    seeds: Vec<SocketAddr>,
) -> Result<GatewaySettings> {
    let any_port = || {
        ANY_PORT
            .parse()
            .map_err(|error: std::net::AddrParseError| crate::Error::Protocol(error.to_string()))
    };
    Ok(GatewaySettings {
        features: LoadFeatures::default(),
        machine: MachineLimits::default(),
        host: format!("host-{index}"),
        domain: "a".to_owned(),
        callers_listen: any_port()?,
        ready_listen: any_port()?,
        peers_listen: any_port()?,
        peers_advertise: None,
        metrics_listen: any_port()?,
        store,
        seeds,
        bootstrap: true,
        shared_key: "a-shared-key-of-tests".to_owned(),
        bounds: GatewayBounds {
            grace_period: Duration::from_secs(8),
            retries: RetryBounds {
                ratio: 0.2,
                slack: 200.0,
                window: Duration::from_secs(10),
                domains: 1,
            },
            lease: Duration::from_secs(3),
            max_revocation_delay: Some(MAX_REVOCATION_DELAY),
            limits: LimitBounds {
                window: Duration::from_secs(8),
                over: 0.1,
                slack: 2000.0,
                domains: 1,
            },
        },
        log_level: log::LevelFilter::Info,
    })
}
