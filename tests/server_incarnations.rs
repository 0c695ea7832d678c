//! Servers that restart with the same id, with a real daemon and simulated platform services: the state of
//! the former incarnation does not apply to the new one.

use rstest::rstest;
use std::time::Duration;
use tealcleat::bench::site::{EngineFault, RestartAddress, SiteEngine, SitePlan, TestSite};
use tealcleat::fleet::{FleetView, ServerEntry, ServerStage};
use tealcleat::keys::{NameKey, ServerKey};
use tealcleat::placement::ServerLoad;

mod site_common;

use site_common::{call, call_first_host, engine_runs, runtime, wait_released};

const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// A load that makes another server the better choice, and one far higher.
const SOME_MEMORY: u32 = 50_000;
const MUCH_MEMORY: u32 = 200_000;

/// A site whose servers all report their start times.
async fn site_with_start_times(plan: SitePlan) -> TestSite {
    let mut site = TestSite::start(SitePlan { hosts: 0, ..plan }).await.expect("a site");
    for server in &site.servers {
        site.restart(&server.id, RestartAddress::Same).await.expect("a restart");
    }
    for _ in 0..plan.hosts {
        site.add_host().await.expect("a host");
    }
    site.wait_ready().await;
    site
}

fn find(fleet: &FleetView, id: &str) -> Option<ServerEntry> {
    fleet.entries().find(|entry| entry.id == id).cloned()
}

fn key_of(site: &TestSite, id: &str) -> ServerKey {
    find(&site.hosts[0].host.state().fleet, id).expect("an entry").key()
}

/// Restarts a server and waits until all daemons know its new incarnation.
async fn restart(site: &TestSite, id: &str, place: RestartAddress) {
    let started_at = site.restart(id, place).await.expect("a restart");
    for gateway in &site.hosts {
        while find(&gateway.host.state().fleet, id).and_then(|entry| entry.started_at)
            != Some(started_at)
        {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// The circuit breaker of the only server is open when the server comes back.
#[rstest]
#[case::same_address(RestartAddress::Same)]
#[case::other_address(RestartAddress::Other)]
fn restarted_server_not_skipped_for_its_former_incarnation(#[case] place: RestartAddress) {
    runtime().block_on(async {
        let site = site_with_start_times(SitePlan { services: 1, ..SitePlan::default() }).await;
        let host = &site.hosts[0].host;
        let key = key_of(&site, "i-service-0");
        for _ in 0..8 {
            let now = host.now();
            host.state().server_health.entry(key).or_default().record_unresponsive(now);
        }
        restart(&site, "i-service-0", place).await;
        let reply = call_first_host(&site, &call("GET", "safe", "r1")).await;
        assert_eq!(reply.status, 200);
        assert_eq!(site.services[0].runs(), ["r1"]);
    });
}

/// The load of all hosts at the former incarnation ends with it, so the new incarnation is the best choice.
#[test]
fn restarted_server_has_no_load_of_its_former_incarnation() {
    runtime().block_on(async {
        let site = site_with_start_times(SitePlan::default()).await;
        let keys = [key_of(&site, "i-decode-0"), key_of(&site, "i-decode-1")];
        for (key, memory_tokens) in keys.into_iter().zip([MUCH_MEMORY, SOME_MEMORY]) {
            let load = ServerLoad { memory_tokens, ..ServerLoad::default() };
            site.hosts[0].host.state().server_loads.add(key, load);
        }
        restart(&site, "i-decode-0", RestartAddress::Same).await;
        let reply = call_first_host(&site, &call("POST", "stream", "r1")).await;
        assert_eq!(reply.status, 200);
        assert_eq!(site.decodes[0].runs().len(), 1, "the restarted server was not chosen");
        wait_released(&site).await;
    });
}

/// The former incarnation rejected a prefill, and was ordered to change its stage.
#[test]
fn restarted_engine_has_no_changes_of_its_former_incarnation() {
    runtime().block_on(async {
        let site =
            site_with_start_times(SitePlan { prefills: 1, decodes: 1, ..SitePlan::default() })
                .await;
        let host = &site.hosts[0].host;
        let keys = [key_of(&site, "i-prefill-0"), key_of(&site, "i-decode-0")];
        {
            let now = host.now();
            let mut state = host.state();
            state.stage_changes.record_suspicion(now, keys[0]);
            state.stage_changes.record_announcement(now, keys[0], ServerStage::Decode);
            state.stage_changes.record_announcement(now, keys[1], ServerStage::Prefill);
        }
        restart(&site, "i-prefill-0", RestartAddress::Same).await;
        restart(&site, "i-decode-0", RestartAddress::Same).await;
        let reply = call_first_host(&site, &call("POST", "stream", "r1")).await;
        assert_eq!(reply.status, 200);
        let stages: Vec<String> =
            engine_runs(&site, "r1").into_iter().map(|run| run.stage).collect();
        assert_eq!(stages, ["prefill", "decode"]);
        wait_released(&site).await;
    });
}

/// The only decode server crashes in the middle of a stream and restarts: its new incarnation, which lost no
/// run, continues the stream.
#[rstest]
#[case::same_address(RestartAddress::Same)]
#[case::other_address(RestartAddress::Other)]
fn lost_stream_resumed_at_the_next_incarnation(#[case] place: RestartAddress) {
    runtime().block_on(async {
        let site = site_with_start_times(SitePlan { decodes: 1, ..SitePlan::default() }).await;
        site.decodes[0].set_fault(EngineFault::StallAfter(3));
        let resumed = call("POST", "resume", "r1");
        let crash = async {
            while site.decodes[0].runs().is_empty() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            // Leaves time for the third event to be sent.
            tokio::time::sleep(Duration::from_millis(100)).await;
            restart(&site, "i-decode-0", place).await;
        };
        let (reply, ()) = tokio::join!(call_first_host(&site, &resumed), crash);
        assert_eq!((reply.status.as_u16(), reply.complete), (200, true));
        assert_eq!(reply.events(), (0..8).collect::<Vec<u64>>());
        let after: Vec<Option<u64>> = site.decodes[0].runs().iter().map(|run| run.after).collect();
        assert_eq!(after, [None, Some(2)]);
        wait_released(&site).await;
    });
}

/// During a prefill the decode server that holds memory for the request restarts, and then the prefill server
/// fails: the prompt is left to the decode server, whose new incarnation does not know the hold.
#[test]
fn hold_of_a_former_incarnation_not_used() {
    runtime().block_on(async {
        let plan = SitePlan { prefills: 1, decodes: 1, ..SitePlan::default() };
        let site = site_with_start_times(plan).await;
        site.prefills[0].set_fault(EngineFault::Silent);
        let slow = call("POST", "stream", "r1");
        let back = async {
            while site.decodes[0].open_holds() == 0 {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            // A prefill that is sent only after the restarts succeeds, since the restarted server answers.
            while site.prefills[0].unanswered_count() == 0 {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            restart(&site, "i-decode-0", RestartAddress::Same).await;
            restart(&site, "i-prefill-0", RestartAddress::Same).await;
        };
        let (reply, ()) = tokio::join!(call_first_host(&site, &slow), back);
        assert_eq!((reply.status.as_u16(), reply.complete), (200, true));
        let held: Vec<bool> = engine_runs(&site, "r1").iter().map(|run| run.held).collect();
        assert_eq!(held, [true], "the hold is not one of this incarnation");
        wait_released(&site).await;
    });
}

/// An entry of a former incarnation that the store shows after that of its successor, because of a late
/// write, changes nothing.
#[test]
fn late_entry_of_a_former_incarnation_changes_nothing() {
    runtime().block_on(async {
        let site = site_with_start_times(SitePlan { services: 1, ..SitePlan::default() }).await;
        let host = &site.hosts[0].host;
        let former = site.store.spec("servers", "i-service-0").expect("an entry");
        restart(&site, "i-service-0", RestartAddress::Other).await;
        let known = find(&host.state().fleet, "i-service-0");
        let mut seen = 0;
        site.store.change(|objects| {
            objects.set("servers", "i-service-0", former);
            seen = objects.revision();
        });
        while host.state().fleet.revision() < seen {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        assert_eq!(find(&host.state().fleet, "i-service-0"), known);
        let reply = call_first_host(&site, &call("GET", "safe", "r1")).await;
        assert_eq!(reply.status, 200);
    });
}

/// Daemons that do not watch the store receive the new incarnation from the one that does.
#[test]
fn new_incarnation_reaches_all_hosts() {
    runtime().block_on(async {
        let site = site_with_start_times(SitePlan { hosts: 3, ..SitePlan::default() }).await;
        let former = key_of(&site, "i-decode-0");
        restart(&site, "i-decode-0", RestartAddress::Other).await;
        for gateway in &site.hosts {
            let state = gateway.host.state();
            let incarnations = state.fleet.entries().filter(|entry| entry.id == "i-decode-0");
            assert_eq!(incarnations.count(), 1);
            assert!(!state.fleet.is_ready(former), "the former incarnation is gone");
        }
    });
}

/// All engines that can be ordered to change their stage have restarted, which their reports show but their
/// entries do not yet. The plan for the former incarnations orders nothing; once the entries are updated, the
/// new incarnations are ordered.
#[test]
fn restarted_engines_not_ordered_by_plans_for_former_incarnations() {
    runtime().block_on(async {
        let site = site_with_start_times(SitePlan { prefills: 6, ..SitePlan::default() }).await;
        for engine in &site.prefills {
            let started_at = engine.started_at().expect("a start") + 1_000_000;
            engine.restart(started_at, RestartAddress::Same).await.expect("a restart");
        }
        record_low_prefill_work(&site);
        let sum = |count: fn(&SiteEngine) -> u64| {
            site.prefills.iter().map(|engine| count(engine)).sum::<u64>()
        };
        // The second engine is asked when the first one was skipped, or was ordered and a pause has passed.
        while sum(SiteEngine::reports) < 2 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        assert_eq!(sum(|engine| engine.orders().len() as u64), 0);
        for server in site.servers.iter().filter(|server| server.stage == Some("prefill")) {
            site.write_entry(&server.id, server.service, server.address, server.stage, "ready");
        }
        while sum(|engine| engine.orders().len() as u64) == 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
}

/// Records work for which the first daemon needs far fewer prefill servers than there are.
fn record_low_prefill_work(site: &TestSite) {
    let host = &site.hosts[0].host;
    let now = host.now();
    let mut state = host.state();
    let meter = state.work_meters.entry(NameKey::of("engines")).or_default();
    meter.record_pace(100, Duration::from_secs(1));
    for _ in 0..500 {
        meter.record_read(now, 1000, Duration::from_millis(10));
        meter.record_stream(now, 10_000, 1000);
    }
}

/// Older platforms report no start times: each id has one incarnation.
#[test]
fn server_without_start_time_keeps_one_incarnation() {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("a site");
        let key = ServerKey::of("i-decode-0");
        assert!(site.hosts[0].host.state().fleet.is_ready(key));
        let server = site.servers.iter().find(|server| server.id == "i-decode-0").expect("one");
        site.write_entry("i-decode-0", server.service, server.address, server.stage, "draining");
        while site.hosts[0].host.state().fleet.is_ready(key) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        assert!(site.hosts[0].host.state().fleet.entry(key).is_some());
    });
}
