//! A fleet inside the test's process: real daemons and stand-ins on ports that the system picks.

#![allow(dead_code, reason = "each test file uses a part of it")]

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
use tealcleat::settings::HostSettings;
use tokio::runtime::Runtime;

pub const SHARED_KEY: &str = "test-shared-key-0123456789";
pub const OPERATOR_KEY: &str = "test-operator-key-0123456789";
pub const PATIENCE: Duration = Duration::from_secs(60);
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// A runtime whose end does not wait for watches at the stand-in platform.
pub struct OwnedRuntime(Option<Runtime>);

impl std::ops::Deref for OwnedRuntime {
    type Target = Runtime;

    fn deref(&self) -> &Runtime {
        self.0.as_ref().expect("it is there until dropped")
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
    /// Two domains, three hosts, four engines, configured and ready.
    pub fn start() -> Self {
        let fleet = Self::unconfigured();
        let intent = fleet.deployment.intent(&fleet.addresses);
        let version = fleet.confirm(0, &intent);
        fleet.wait_ready(version);
        fleet
    }

    /// The same without a confirmed configuration.
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

    pub fn host(&self, place: usize) -> &Arc<HostState> {
        &self.daemons[place].host
    }

    pub fn caller(&self) -> BenchCaller {
        BenchCaller::new(&self.deployment)
    }

    pub fn plan(&self, place: usize, intent: &str) -> PlanDraft {
        match self.host(place).plan(intent) {
            OperatorReply::Plan(plan) => plan,
            other => panic!("no plan: {other:?}"),
        }
    }

    pub fn confirm_plan(&self, place: usize, intent: &str, plan: &PlanDraft) -> OperatorReply {
        self.host(place).confirm(&ConfirmRequest {
            intent: intent.to_owned(),
            base_version: plan.base_version,
            digest: plan.digest,
        })
    }

    pub fn confirm(&self, place: usize, intent: &str) -> u64 {
        let plan = self.plan(place, intent);
        match self.confirm_plan(place, intent, &plan) {
            OperatorReply::Confirmed(version) => version,
            other => panic!("not confirmed: {other:?}"),
        }
    }

    pub fn wait_ready(&self, version: u64) {
        let servers = self.deployment.standins().engines.len();
        wait_until("readiness", || {
            let statuses: Vec<_> = self.daemons.iter().map(|d| d.host.status()).collect();
            let ready: usize = statuses
                .iter()
                .map(|status| status.servers.iter().filter(|server| server.ready).count())
                .sum();
            ready == servers && statuses.iter().all(|status| status.config_version >= version)
        });
    }

    pub fn fault(&self, target: &str, fault: FaultKind, on: bool) {
        let command = FaultCommand { target: target.to_owned(), fault, on };
        assert!(self.set.switch(&command), "no target {target}");
    }

    pub fn complete(&self, place: usize, prompt: &str) -> Completion {
        let caller = self.caller();
        let address = self.daemons[place].callers;
        self.runtime.block_on(caller.complete(address, "hanbit", prompt, PATIENCE, None))
    }

    pub fn book(&self, place: usize, key: &str, body: &str) -> (CallResult, String) {
        let caller = self.caller();
        let address = self.daemons[place].callers;
        let header = ("idempotency-key", key);
        self.runtime.block_on(caller.book(address, "hanbit", header, body, PATIENCE))
    }

    pub fn runs_of(&self, body: &str) -> u64 {
        self.set.stats().runs.get(body).copied().unwrap_or(0)
    }

    pub fn wait_empty(&self) {
        wait_until("empty engines", || self.set.stats().held.values().all(|held| *held == 0));
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
        log_level: log::LevelFilter::Off,
    }
}

/// Waits for something that must come; the limit only ends a test that has failed.
pub fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let began = Instant::now();
    while !done() {
        assert!(began.elapsed() < WAIT_LIMIT, "{what} never came");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Asserts that a completion was whole and exactly the expected answer.
pub fn assert_whole(seen: &Completion, prompt: &str) {
    assert_eq!(seen.result, CallResult::Whole, "reason {:?}", seen.reason);
    assert_eq!(seen.tokens, answer_tokens(prompt_hash(prompt), 160));
}
