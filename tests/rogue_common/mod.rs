//! Daemons as processes with the memory and descriptors of a small machine, before stand-ins, with ordinary callers.

#![allow(dead_code, unused_imports, reason = "each test file uses a part of it")]

mod ordinary_callers;
mod ready_probe;

pub use ordinary_callers::{CallTally, OrdinaryCallers};
pub use ready_probe::{READY_MISSES, ReadyProbe};

use crate::machine_common::{daemon, test_folder};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tealcleat::bench::rogue::RogueTarget;
use tealcleat::bench::site::{
    ServiceFault, SiteCall, SiteConnection, SitePlan, TestSite, call_site, config,
};
use tealcleat::bench::{GatewayProcess, MemoryWatch, ProcessPlan};
use tealcleat::platform::READY_PATH;
use tealcleat::resource_plan::MachineLimits;
use tealcleat::settings::LoadFeatures;

/// The machine of the smallest deployment.
pub fn machine() -> MachineLimits {
    MachineLimits { memory_mb: 110, max_fds: 4100, ..MachineLimits::default() }
}
/// Time in which a server answers a plain request.
const SERVICE_TIME: Duration = Duration::from_millis(30);
const HOSTS: usize = 3;
/// Servers for ordinary callers, without hosts.
pub const SERVERS: SitePlan = SitePlan { prefills: 4, decodes: 8, services: 9, hosts: 0 };
const POLL_PERIOD: Duration = Duration::from_millis(20);
/// Ends a test that hangs; no guarantee depends on it.
const HANG_LIMIT: Duration = Duration::from_secs(30);

/// An address of a daemon that clients can reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DoorKind {
    /// The callers' address, at a path with a route.
    Route,
    /// The callers' address, at a path without a route.
    NoRoute,
    /// The address that says ready.
    Ready,
    /// The address of the metrics.
    Metrics,
    /// The address of the other hosts.
    Peers,
}

/// Three daemons before stand-ins; the first one is attacked.
pub struct RogueWorld {
    pub site: TestSite,
    pub hosts: Vec<GatewayProcess>,
}

impl RogueWorld {
    /// Starts stand-ins and daemons, and waits until all daemons are ready.
    pub async fn start(name: &str) -> Self {
        Self::start_with(name, SERVICE_TIME).await
    }

    /// Does the same with plain servers that take `service_time` for a request.
    pub async fn start_with(name: &str, service_time: Duration) -> Self {
        let mut world = Self::without_hosts(service_time, SERVERS).await;
        world.start_hosts(name, HOSTS, world.site.store_address).await;
        world
    }

    /// Starts the stand-ins alone.
    pub async fn without_hosts(service_time: Duration, plan: SitePlan) -> Self {
        let site = TestSite::start(plan).await.expect("a site");
        let mut larger = config(2);
        larger["limits"]["max_body_bytes"] = (4 << 20).into();
        site.set_config(2, &larger);
        for service in &site.services {
            service.set_fault(ServiceFault::Slow(service_time));
        }
        Self { site, hosts: Vec::new() }
    }

    /// Starts `count` daemons that follow the store at `store`, and waits until all are ready.
    pub async fn start_hosts(&mut self, name: &str, count: usize, store: SocketAddr) {
        self.start_hosts_with(name, count, store, &[]).await;
    }

    /// Does the same for daemons that are told of further seeds.
    pub async fn start_hosts_with(
        &mut self,
        name: &str,
        count: usize,
        store: SocketAddr,
        further_seeds: &[SocketAddr],
    ) {
        let folder = test_folder(name);
        for index in 0..count {
            let known = self.hosts.iter().map(|host| host.peers);
            let seeds: Vec<SocketAddr> = further_seeds.iter().copied().chain(known).collect();
            let host = GatewayProcess::start(&ProcessPlan {
                program: daemon(),
                folder: &folder,
                name: &format!("host-{index}"),
                domain: "a",
                machine: Ipv4Addr::LOCALHOST.into(),
                store,
                seeds: &seeds,
                advertised: None,
                revocation: None,
                grace: Duration::from_secs(8),
                retries: None,
                features: LoadFeatures::ALL,
                limits: Some(machine()),
                environment: &[],
            });
            self.hosts.push(host.expect("a host"));
        }
        for host in &self.hosts {
            wait_ready(host.ready).await;
        }
    }

    /// Watches the memory of the attacked daemon.
    pub fn watch(&self) -> MemoryWatch {
        self.watch_with_servers(&[])
    }

    /// Does the same for a daemon that alone connects to `servers`.
    pub fn watch_with_servers(&self, servers: &[SocketAddr]) -> MemoryWatch {
        let host = &self.hosts[0];
        let id = host.id().expect("it was started");
        let addresses = [host.callers, host.ready, host.metrics, host.peers_listen];
        let bound = machine().memory_mb * 1_000_000;
        MemoryWatch::start_with_servers(id, &addresses, servers, bound)
    }

    /// Where a crowd goes that attacks the first daemon at `door`.
    pub fn target(&self, door: DoorKind) -> RogueTarget {
        let host = &self.hosts[0];
        let (address, path) = match door {
            DoorKind::Route => (host.callers, "/safe/x"),
            DoorKind::NoRoute => (host.callers, "/nothing/x"),
            DoorKind::Ready => (host.ready, READY_PATH),
            DoorKind::Metrics => (host.metrics, "/metrics"),
            DoorKind::Peers => (host.peers_listen, "/"),
        };
        RogueTarget { address, path: path.to_owned() }
    }
}

/// Waits until the platform would send callers to a daemon.
pub async fn wait_ready(ready: SocketAddr) {
    while !is_ready(ready).await {
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// Asks a daemon whether it is ready, as the platform does. No answer is no, whatever the reason.
pub async fn is_ready(ready: SocketAddr) -> bool {
    let path = READY_PATH.to_owned();
    let probe = SiteCall { method: "GET", path, id: String::new(), headers: vec![], body: "" };
    let asked = tokio::time::timeout(HANG_LIMIT, call_site(ready, &probe)).await;
    matches!(asked, Ok(Ok(reply)) if reply.status == 200)
}

/// Opens a connection, however long the host takes to accept it: the stand-in caller gives one try 400 ms, less than the
/// kernel takes to repeat an opening packet that found the queue full.
async fn open_patiently(address: SocketAddr) -> SiteConnection {
    loop {
        if let Ok(connection) = SiteConnection::open(address).await {
            return connection;
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// Sends a call on a new connection and returns the status of its answer, or what came in place of a whole one.
pub async fn call_within(address: SocketAddr, call: &SiteCall) -> Result<u16, String> {
    let answering = async {
        let mut connection = open_patiently(address).await;
        let reply = connection.call(call).await.map_err(|error| format!("{error:?}"))?;
        if reply.complete { Ok(reply.status.as_u16()) } else { Err("cut".to_owned()) }
    };
    let answered = tokio::time::timeout(HANG_LIMIT, answering).await;
    answered.unwrap_or_else(|_elapsed| Err("it hangs".to_owned()))
}
