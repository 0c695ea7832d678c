//! Clients that do not behave at the project's own interface: the daemon stays within the memory of its machine, and serves
//! ordinary callers.

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rstest::rstest;
use std::path::Path;
use std::time::Duration;
use tealcleat::bench::rogue::{RogueCrowd, RogueKind, RogueTarget};
use tealcleat::bench::{
    BenchCaller, CallResult, Deployment, DeploymentKind, Fleet, FleetOptions, MemoryWatch,
};
use tealcleat::placement::PlacementPolicy;
use tealcleat::resource_plan::MachineLimits;
use tokio::sync::Mutex;

mod site_common;

use site_common::runtime;

/// One test plays at a time.
static PLAY: Mutex<()> = Mutex::const_new(());
const CALLS: usize = 12;
/// Ordinary calls that are served beside the crowd.
const SERVED: usize = 11;
/// Pause between two ordinary calls.
const CALL_PERIOD: Duration = Duration::from_millis(250);
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time in which a crowd arrives.
const ARRIVAL_TIME: Duration = Duration::from_secs(1);

#[rstest]
#[case::endless_heads(RogueKind::EndlessHead, "/healthz", 400)]
#[case::requests_ahead(RogueKind::RequestsAhead, "/healthz", 300)]
#[case::half_heads(RogueKind::HalfHead, "/healthz", 3000)]
#[case::half_bodies(RogueKind::HalfBody, "/v1/completions", 3000)]
#[case::half_large_bodies(RogueKind::HalfLargeBody, "/v1/completions", 100)]
#[case::large_bodies(RogueKind::LargeBody, "/v1/completions", 200)]
#[case::short_fields(RogueKind::ManyFields, "/unknown", 200)]
fn own_interface_bounded(#[case] kind: RogueKind, #[case] path: &str, #[case] size: usize) {
    runtime().block_on(async {
        let _turn = PLAY.lock().await;
        let programs = Path::new(env!("CARGO_BIN_EXE_tealcleatd")).parent().expect("a folder");
        let deployment = Deployment::new(DeploymentKind::Small);
        let options = FleetOptions {
            deployment: deployment.clone(),
            policy: PlacementPolicy::Reserve,
            programs: programs.to_path_buf(),
            log_level: "info".to_owned(),
        };
        let starting = tokio::task::spawn_blocking(|| Fleet::start_configured(options));
        let fleet = starting.await.expect("no panic").expect("a fleet");
        let host = &fleet.hosts[0];
        let addresses = [host.callers, host.peers];
        let bound = MachineLimits::default().memory_mb * 1_000_000;
        let watch = MemoryWatch::start(host.id().expect("it was started"), &addresses, bound);
        let target = RogueTarget { address: host.callers, path: path.to_owned() };
        let crowd = RogueCrowd::start(kind, &target, size);
        tokio::time::sleep(ARRIVAL_TIME).await;
        let caller = BenchCaller::new(&deployment);
        let call = async |index: usize| {
            tokio::time::sleep(CALL_PERIOD * index as u32).await;
            let prompt = format!("a recap, number {index}");
            caller.complete(host.callers, "hanbit", &prompt, CALL_TIMEOUT, None).await.result
        };
        let calls: FuturesUnordered<_> = (0..CALLS).map(call).collect();
        let results: Vec<CallResult> = calls.collect().await;
        let served = results.iter().filter(|result| **result == CallResult::Complete).count();
        crowd.leave().await;
        let peak = watch.peak();
        println!("{kind:?} x {size} at {path}: {peak:?}, served {served} of {CALLS}");
        assert!(!peak.is_over, "memory of the machine: {peak:?}");
        assert!(served >= SERVED, "{served} of {CALLS} served");
    });
}
