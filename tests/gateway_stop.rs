//! Graceful shutdowns and reloads of a gateway daemon.

use std::sync::Arc;
use std::time::Duration;
use tealcleat::bench::site::{ServiceFault, SiteCall, SiteConnection, SitePlan, TestSite};
use tealcleat::gateway::{StopPhase, StopPlan};

mod site_common;

use site_common::runtime;

const GRACE: Duration = Duration::from_secs(8);

fn stream(id: &str) -> SiteCall {
    SiteCall {
        method: "POST",
        path: "/stream/x".to_owned(),
        id: id.to_owned(),
        headers: vec![("x-deadline-ms", "15000".to_owned())],
        body: "prompt",
    }
}

/// A host that reads requests until 3.3 s after SIGTERM loses those that the exit of the process cuts
/// off. Load mix panelbridge-kr-grown, seed 927878237806, loses requests this way.
#[test]
fn stop_plan_reads_only_until_the_platform_reroutes() {
    let plan = StopPlan::new(GRACE);
    assert!(plan.drain_time >= Duration::from_secs(2), "two failed probes");
    assert!(plan.drain_time < Duration::from_secs(3), "requests read later may be cut off");
    assert!(plan.exit_after < GRACE && plan.exit_after > GRACE * 5 / 6);
}

#[test]
fn stop_plan_fits_a_short_grace() {
    let plan = StopPlan::new(Duration::from_secs(2));
    assert!(plan.drain_time < plan.exit_after && plan.exit_after < Duration::from_secs(2));
    assert_eq!(StopPlan::new(Duration::ZERO).exit_after, Duration::ZERO);
}

#[test]
fn stopping_daemon_answers_and_closes() {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("it starts");
        let host = Arc::clone(&site.hosts[0].host);
        let mut open = SiteConnection::open(site.hosts[0].callers).await.expect("it accepts");
        let stopping = tokio::spawn(async move { host.stop_gracefully().await });
        while site.hosts[0].host.stop_phase() == StopPhase::Serving {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert!(!site.hosts[0].host.is_ready(), "the platform sends no more callers");
        let reply = open.call(&stream("r1")).await.expect("it still answers");
        assert_eq!((reply.status.as_u16(), reply.complete), (200, true));
        assert_eq!(reply.header("connection"), "close");
        stopping.await.expect("it ends");
    });
}

#[test]
fn reload_puts_bounds_in_force_and_keeps_the_rest() {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("it starts");
        let host = &site.hosts[0].host;
        let mut newer = host.settings.clone();
        newer.bounds.grace_period = Duration::from_secs(5);
        newer.domain = "b".to_owned();
        assert_eq!(host.settings.changes_needing_restart(&newer), ["domain"]);
        host.reload(&newer);
        assert_eq!(host.state().bounds.grace_period, Duration::from_secs(5));
        assert!(host.is_ready());
    });
}

/// A host that shuts down gracefully must not exit while a request that it has read is in flight.
///
/// A request may arrive in the same scheduler tick in which the host closes its connections. A host that checks only
/// once whether requests are in flight may read this one after the check, and exit without its answer; its log then
/// shows in_flight=1 as it stops. To cause this, the hosts' only thread is kept busy while they should close their
/// connections, and each host receives a request in the meantime.
#[test]
fn stopping_daemons_answer_last_requests() {
    let outside = runtime();
    let daemons = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let daemons = daemons.expect("a runtime");
    let plan = SitePlan { hosts: 0, services: 1, ..SitePlan::default() };
    let mut site = outside.block_on(TestSite::start(plan)).expect("a site");
    site.services[0].set_fault(ServiceFault::Slow(SERVICE_TIME));
    daemons.block_on(async {
        for _ in 0..STOPPED_HOSTS {
            site.add_host().await.expect("a host");
        }
        site.wait_ready().await;
    });
    let closes_after = StopPlan::new(GRACE).drain_time;
    let mut callers = Vec::new();
    for (index, gateway) in site.hosts.iter().enumerate() {
        let address = gateway.callers;
        callers.push(outside.spawn(async move {
            let mut open = SiteConnection::open(address).await.expect("it accepts");
            tokio::time::sleep(closes_after).await;
            open.call(&plain(&format!("r{index}"))).await
        }));
    }
    let cut = daemons.block_on(async {
        tokio::spawn(async move {
            tokio::time::sleep(closes_after.saturating_sub(BUSY_TIME / 2)).await;
            std::thread::sleep(BUSY_TIME);
        });
        let stops = site.hosts.iter().map(|gateway| gateway.host.stop_gracefully());
        futures_util::future::join_all(stops).await
    });
    assert_eq!(cut, [0; STOPPED_HOSTS], "requests cut off");
    for caller in callers {
        // A request sent while the connection closes may not be read; one that is read is answered completely or
        // refused.
        if let Ok(reply) = outside.block_on(caller).expect("it ends") {
            assert!(reply.complete && [200, 503].contains(&reply.status.as_u16()), "{reply:?}");
        }
    }
}

const STOPPED_HOSTS: usize = 12;
/// Longer than a host with no request in flight waits before it exits.
const SERVICE_TIME: Duration = Duration::from_millis(150);
const BUSY_TIME: Duration = Duration::from_millis(100);

fn plain(id: &str) -> SiteCall {
    SiteCall { method: "GET", path: "/safe/x".to_owned(), body: "", ..stream(id) }
}
