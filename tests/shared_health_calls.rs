//! Daemons that share which backend servers fail, on simulated platform servers.

use std::time::Duration;
use tealcleat::bench::site::{EngineFault, ServiceFault, SitePlan, TestSite, call_site};
use tealcleat::keys::ServerKey;
use tealcleat::settings::LoadFeatures;

mod site_common;

use site_common::{call, engine_runs, runtime};

const POLL_INTERVAL: Duration = Duration::from_millis(5);

async fn site_of(services: usize, is_shared: bool) -> TestSite {
    let plan = SitePlan { services, hosts: 0, ..SitePlan::default() };
    let mut site = TestSite::start(plan).await.expect("it starts");
    site.features = LoadFeatures { shared_health: is_shared, ..LoadFeatures::default() };
    for _ in 0..3 {
        site.add_host().await.expect("a host");
    }
    site.wait_ready().await;
    for host in &site.hosts {
        while host.host.state().members.living().count() < site.hosts.len() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    site
}

fn excludes(site: &TestSite, host: usize, id: &str) -> bool {
    site.hosts[host].host.state().shared_health.is_excluded(ServerKey::of(id))
}

fn count(site: &TestSite, host: usize, metric: &str) -> u64 {
    let metrics = site.hosts[host].host.metrics();
    metrics.counters().find(|(name, _)| *name == metric).map_or(0, |(_, value)| value)
}

/// Calls one host until `is_met` holds.
async fn call_until(site: &TestSite, host: usize, route: &str, is_met: impl Fn() -> bool) {
    for index in 0.. {
        if is_met() {
            return;
        }
        let call = call("POST", route, &format!("{route}-{host}-{index}"));
        drop(call_site(site.hosts[host].callers, &call).await);
    }
}

/// Guards against each host losing requests at a server that breaks off: a host that never sent anything there does not
/// use it, and all of its requests that run only once are answered.
#[test]
fn broken_server_avoided_by_host_that_never_met_it() {
    runtime().block_on(async {
        let site = site_of(3, true).await;
        let broken = &site.services[0];
        broken.set_fault(ServiceFault::LoseAnswers);
        for host in [0, 1] {
            let runs = broken.runs().len();
            call_until(&site, host, "safe", || broken.runs().len() > runs).await;
        }
        while !(0..3).all(|host| excludes(&site, host, "i-service-0")) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let mut failed = 0;
        for index in 0..30 {
            let call = call("POST", "once", &format!("once-{index}"));
            let reply = call_site(site.hosts[2].callers, &call).await.expect("an answer");
            failed += u64::from(reply.status != 200);
        }
        // A trial with such a request is allowed only long after the exclusion, if the test was slowed down.
        assert!(failed <= count(&site, 2, "server_trials_sent"), "{failed}");
        // The server is back. One host tries it, and all use it again.
        broken.set_fault(ServiceFault::None);
        let is_back = || (0..3).all(|host| !excludes(&site, host, "i-service-0"));
        while !is_back() {
            for host in 0..3 {
                let id = format!("again-{host}");
                drop(call_site(site.hosts[host].callers, &call("POST", "safe", &id)).await);
            }
        }
        let runs = broken.runs().len();
        call_until(&site, 2, "once", || broken.runs().len() > runs).await;
    });
}

/// The setting is off: the hosts neither report the server nor leave it out.
#[test]
fn nothing_shared_without_the_setting() {
    runtime().block_on(async {
        let site = site_of(3, false).await;
        let broken = &site.services[0];
        broken.set_fault(ServiceFault::LoseAnswers);
        for host in 0..3 {
            let runs = broken.runs().len();
            call_until(&site, host, "safe", || broken.runs().len() > runs).await;
        }
        for host in 0..3 {
            assert!(!excludes(&site, host, "i-service-0"));
            assert_eq!(count(&site, host, "health_sent"), 0);
        }
    });
}

/// An engine that falls silent is left out by a host that never asked it.
#[test]
fn silent_engine_avoided_by_host_that_never_met_it() {
    runtime().block_on(async {
        let site = site_of(1, true).await;
        site.decodes[0].set_fault(EngineFault::Silent);
        // The other engine has no memory at first, so that both hosts ask the silent one.
        site.decodes[1].set_fault(EngineFault::Full);
        let is_known = || excludes(&site, 1, "i-decode-0");
        while !is_known() {
            for host in [0, 1] {
                let call = call("POST", "resume", &format!("first-{host}"));
                drop(call_site(site.hosts[host].callers, &call).await);
            }
        }
        site.decodes[1].set_fault(EngineFault::None);
        while !excludes(&site, 2, "i-decode-0") {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let call = call("POST", "stream", "r1");
        let reply = call_site(site.hosts[2].callers, &call).await.expect("an answer");
        assert_eq!((reply.status.as_u16(), reply.complete), (200, true));
        let decodes = engine_runs(&site, "r1").into_iter().filter(|run| run.stage == "decode");
        assert_eq!(decodes.count(), 1);
    });
}
