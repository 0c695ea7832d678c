//! Which streams a host that is shutting down still begins.
//!
//! Guards against streams that are begun although they cannot end before the exit of the process, which cuts them off.

use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tealcleat::bench::site::{SitePlan, TestSite, call_site, config};
use tealcleat::gateway::{GatewayHost, StopPhase, StopPlan};

mod site_common;

use site_common::{call, engine_runs, runtime};

const GRACE: Duration = Duration::from_secs(8);
const SHORT_GRACE: Duration = Duration::from_secs(2);
/// Eight of these make a stream that outlasts the short grace period.
const LONG_INTERVAL: Duration = Duration::from_millis(600);
const POLL_PERIOD: Duration = Duration::from_millis(5);

#[rstest]
#[case::short_answer(Duration::from_secs(1), Duration::from_secs(2), true)]
#[case::just_in_time(Duration::from_millis(750), Duration::from_secs(7), true)]
#[case::too_late(Duration::from_millis(751), Duration::from_secs(7), false)]
#[case::long_answer(Duration::ZERO, Duration::from_secs(8), false)]
fn stop_plan_has_time_for(
    #[case] since_stop: Duration,
    #[case] expected: Duration,
    #[case] has_time: bool,
) {
    assert_eq!(StopPlan::new(GRACE).has_time_for(since_stop, expected), has_time);
}

/// A site with `hosts` hosts that know each other and, after one stream, how fast answers come.
async fn site_with_known_pace(hosts: usize) -> TestSite {
    site_with_pace(hosts, LONG_INTERVAL).await
}

async fn site_with_pace(hosts: usize, interval: Duration) -> TestSite {
    let plan = SitePlan { hosts: 0, services: 1, ..SitePlan::default() };
    let mut site = TestSite::start(plan).await.expect("a site");
    for _ in 0..hosts {
        site.add_host_with(|settings| settings.bounds.grace_period = SHORT_GRACE)
            .await
            .expect("a host");
    }
    site.wait_ready().await;
    while site.hosts.iter().any(|gateway| gateway.host.state().members.living().count() < hosts) {
        tokio::time::sleep(POLL_PERIOD).await;
    }
    for engine in &site.decodes {
        engine.set_event_interval(interval);
    }
    let first = call_site(site.hosts[0].callers, &call("POST", "stream", "first")).await;
    assert!(first.expect("an answer").complete);
    site
}

async fn begin_stop(host: &Arc<GatewayHost>) -> tokio::task::JoinHandle<usize> {
    let stopping = Arc::clone(host);
    let stopping = tokio::spawn(async move { stopping.stop_gracefully().await });
    while host.stop_phase() == StopPhase::Serving {
        tokio::time::sleep(POLL_PERIOD).await;
    }
    stopping
}

/// It is refused as not run, with a time to come back, and does not reach a server; answers of plain services still go on.
#[test]
fn stopping_host_refuses_stream_that_cannot_end() {
    runtime().block_on(async {
        let site = site_with_known_pace(2).await;
        let gateway = &site.hosts[0];
        let stopping = begin_stop(&gateway.host).await;
        let reply = call_site(gateway.callers, &call("POST", "stream", "late")).await;
        let reply = reply.expect("an answer");
        assert_eq!(reply.status, 503);
        assert_ne!(reply.header("retry-after"), "");
        assert!(engine_runs(&site, "late").is_empty());
        let plain = call_site(gateway.callers, &call("GET", "safe", "plain")).await;
        assert_eq!(plain.expect("an answer").status, 200);
        assert_eq!(stopping.await.expect("it ends"), 0);
    });
}

/// What is measured tells when a stream ends, and not its objective: one that ends in time is begun.
#[test]
fn stopping_host_begins_stream_with_a_long_objective() {
    runtime().block_on(async {
        let site = site_with_pace(2, Duration::from_millis(5)).await;
        let mut config = config(2);
        for route in config["routes"].as_array_mut().expect("routes") {
            route["slo_ms"] = 10_000.into();
        }
        site.set_config(2, &config);
        let gateway = &site.hosts[0];
        while gateway.host.routes().version() < 2 {
            tokio::time::sleep(POLL_PERIOD).await;
        }
        let stopping = begin_stop(&gateway.host).await;
        let reply = call_site(gateway.callers, &call("POST", "stream", "short")).await;
        let reply = reply.expect("an answer");
        assert_eq!((reply.status.as_u16(), reply.complete), (200, true));
        assert_eq!(stopping.await.expect("it ends"), 0);
    });
}

/// Without another host there is nobody to leave a stream to: it is begun.
#[test]
fn only_host_begins_stream_that_cannot_end() {
    runtime().block_on(async {
        let site = site_with_known_pace(1).await;
        let gateway = &site.hosts[0];
        let stopping = begin_stop(&gateway.host).await;
        let reply = call_site(gateway.callers, &call("POST", "stream", "late")).await;
        assert_eq!(reply.expect("an answer").status, 200);
        assert!(!engine_runs(&site, "late").is_empty());
        stopping.await.expect("it ends");
    });
}

/// A stream that is expected to end in time is served.
#[test]
fn stopping_host_begins_stream_that_can_end() {
    runtime().block_on(async {
        let site = site_with_known_pace(2).await;
        for engine in &site.decodes {
            engine.set_event_interval(Duration::from_millis(5));
        }
        let gateway = &site.hosts[1];
        // This host has measured no pace yet, and expects every answer to end in time.
        let stopping = begin_stop(&gateway.host).await;
        let reply = call_site(gateway.callers, &call("POST", "stream", "short")).await;
        assert!(reply.expect("an answer").complete);
        assert_eq!(stopping.await.expect("it ends"), 0);
    });
}
