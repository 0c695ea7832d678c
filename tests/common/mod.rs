//! A fleet inside the test process: real daemons and stand-ins on ports that the system assigns.

#![allow(dead_code, reason = "no test file uses all of it")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tealcleat::bench::{
    BenchCaller, CallResult, Completion, Deployment, DeploymentKind, FaultCommand, FaultKind,
    StandinAddresses, StandinSet, answer_tokens, prompt_hash, start_standins,
};
use tealcleat::host::{ConfirmRequest, Daemon, HostState, OperatorReply, start_daemon};
use tealcleat::intents::PlanDraft;
use tealcleat::placement::PlacementPolicy;
use tealcleat::resource_plan::MachineLimits;
use tealcleat::settings::HostSettings;
use tokio::runtime::Runtime;

pub const SHARED_KEY: &str = "test-shared-key-0123456789";
pub const OPERATOR_KEY: &str = "test-operator-key-0123456789";
pub const CALL_TIMEOUT: Duration = Duration::from_secs(60);
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A runtime that shuts down on drop without waiting for watches at the stand-in platform.
pub struct OwnedRuntime(Option<Runtime>);

impl std::ops::Deref for OwnedRuntime {
    type Target = Runtime;

    fn deref(&self) -> &Runtime {
        self.0.as_ref().expect("the runtime exists until it is dropped")
    }
}

impl Drop for OwnedRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

pub struct LocalFleet {
    pub runtime: OwnedRuntime,
    pub set: Arc<StandinSet>,
    pub addresses: StandinAddresses,
    pub daemons: Vec<Daemon>,
    pub deployment: Deployment,
}

impl LocalFleet {
    /// Starts two domains with three hosts and four engines, configured and ready.
    pub fn start() -> Self {
        let fleet = Self::unconfigured();
        let intent = fleet.deployment.intent(&fleet.addresses);
        let version = fleet.confirm(0, &intent);
        fleet.wait_ready(version);
        fleet
    }

    /// Starts the same fleet without a confirmed configuration.
    pub fn unconfigured() -> Self {
        let runtime = OwnedRuntime(Some(Runtime::new().expect("a runtime starts")));
        let deployment = Deployment::new(DeploymentKind::Small);
        let (set, addresses) =
            runtime.block_on(start_standins(&deployment.standins())).expect("the stand-ins start");
        let mut fleet = Self { runtime, set, addresses, daemons: Vec::new(), deployment };
        for (name, domain) in fleet.deployment.hosts() {
            fleet.add_host(&name, &domain);
        }
        fleet
    }

    /// Starts one more daemon.
    pub fn add_host(&mut self, name: &str, domain: &str) {
        let seeds = self.daemons.iter().map(|daemon| daemon.peers).collect();
        let settings = settings(name, domain, self.addresses.platform, seeds);
        let daemon = self.runtime.block_on(start_daemon(settings)).expect("the daemon starts");
        self.daemons.push(daemon);
    }

    pub fn host(&self, host_index: usize) -> &Arc<HostState> {
        &self.daemons[host_index].host
    }

    pub fn caller(&self) -> BenchCaller {
        BenchCaller::new(&self.deployment)
    }

    pub fn plan(&self, host_index: usize, intent: &str) -> PlanDraft {
        match self.host(host_index).plan(intent) {
            OperatorReply::Plan(plan) => plan,
            other => panic!("no plan: {other:?}"),
        }
    }

    pub fn confirm_plan(&self, host_index: usize, intent: &str, plan: &PlanDraft) -> OperatorReply {
        self.host(host_index).confirm(&ConfirmRequest {
            intent: intent.to_owned(),
            base_version: plan.base_version,
            digest: plan.digest,
        })
    }

    pub fn confirm(&self, host_index: usize, intent: &str) -> u64 {
        let plan = self.plan(host_index, intent);
        match self.confirm_plan(host_index, intent, &plan) {
            OperatorReply::Confirmed(version) => version,
            other => panic!("not confirmed: {other:?}"),
        }
    }

    pub fn wait_ready(&self, version: u64) {
        let servers = self.deployment.standins().engines.len();
        wait_until("all servers to be ready", || {
            let statuses: Vec<_> = self.daemons.iter().map(|d| d.host.status()).collect();
            let ready: usize = statuses
                .iter()
                .map(|status| status.servers.iter().filter(|server| server.ready).count())
                .sum();
            // A host has the ledgers of its servers a moment before it takes requests.
            let are_hosts_ready = statuses.iter().all(|status| {
                status.config_version >= version && (status.ready || status.draining)
            });
            ready == servers && are_hosts_ready
        });
    }

    pub fn fault(&self, target: &str, fault: FaultKind, on: bool) {
        let command = FaultCommand { target: target.to_owned(), fault, on };
        assert!(self.set.switch_fault(&command), "no target {target}");
    }

    pub fn complete(&self, host_index: usize, prompt: &str) -> Completion {
        let caller = self.caller();
        let address = self.daemons[host_index].callers;
        self.runtime.block_on(caller.complete(address, "hanbit", prompt, CALL_TIMEOUT, None))
    }

    pub fn book(&self, host_index: usize, key: &str, body: &str) -> (CallResult, String) {
        let caller = self.caller();
        let address = self.daemons[host_index].callers;
        let header = ("idempotency-key", key);
        self.runtime.block_on(caller.call_once(address, "hanbit", header, body, CALL_TIMEOUT))
    }

    pub fn runs_of(&self, body: &str) -> u64 {
        self.set.stats().runs.get(body).copied().unwrap_or(0)
    }

    pub fn wait_empty(&self) {
        wait_until("the engines to be empty", || {
            self.set.stats().held.values().all(|held| *held == 0)
        });
    }
}

pub fn settings(
    name: &str,
    domain: &str,
    platform: SocketAddr,
    seeds: Vec<SocketAddr>,
) -> HostSettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    HostSettings {
        host: name.to_owned(),
        domain: domain.to_owned(),
        callers_listen: any,
        peers_listen: any,
        operators_listen: any,
        platform,
        seeds,
        shared_key: SHARED_KEY.to_owned(),
        operator_key: OPERATOR_KEY.to_owned(),
        policy: PlacementPolicy::Reserve,
        body_limit_bytes: 64 << 10,
        drain_limit: Duration::from_secs(60),
        machine: MachineLimits::default(),
        log_level: log::LevelFilter::Off,
    }
}

/// Waits until a condition holds; fails the test if it does not within the timeout.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Asserts that a completion is whole and has exactly the expected tokens.
pub fn assert_whole(completion: &Completion, prompt: &str) {
    assert_eq!(completion.result, CallResult::Complete, "reason {:?}", completion.reason);
    assert_eq!(completion.tokens, answer_tokens(prompt_hash(prompt), 160));
}
