//! When real daemons on simulated platform servers tell refused callers to return.

use rstest::rstest;
use std::time::Duration;
use tealcleat::bench::site::{EngineFault, ServiceFault, SiteCall, SitePlan, TestSite, call_site};
use tealcleat::keys::{NameKey, RequestKey};
use tealcleat::settings::LoadFeatures;

mod site_common;

use site_common::{call, runtime};

/// Key of the only request that was promised a return, as told in an update.
fn promised_key(site: &TestSite, host: usize) -> Option<RequestKey> {
    let host = &site.hosts[host].host;
    let now = host.now();
    host.state().return_calendar.promised(now).next()
}

/// Lets a host measure that a token takes 10 ms and that answers have `output` of them.
fn record_runs(site: &TestSite, host: usize, output: u32) {
    let host = &site.hosts[host].host;
    let now = host.now();
    let mut state = host.state();
    let meter = state.work_meters.entry(NameKey::of("engines")).or_default();
    meter.record_pace(100, Duration::from_secs(1));
    meter.record_stream(now, 100, output);
}

async fn site_with_two_hosts() -> TestSite {
    let plan = SitePlan { hosts: 0, ..SitePlan::default() };
    let mut site = TestSite::start(plan).await.expect("a site");
    for _ in 0..2 {
        let features = LoadFeatures { return_times: true, ..LoadFeatures::default() };
        site.add_host_with(|settings| settings.features = features).await.expect("a host");
    }
    site.wait_ready().await;
    while site.hosts.iter().any(|host| host.host.state().members.records().count() == 0) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    site
}

/// The balancer may bring the return to another host of the failure domain. Guards against a host that takes it for a
/// new request, since it was not told of the promise before the caller comes.
#[test]
fn return_promised_by_one_host_recognised_by_another() {
    runtime().block_on(async {
        let site = site_with_two_hosts().await;
        for engine in &site.decodes {
            engine.set_fault(EngineFault::Full);
        }
        record_runs(&site, 0, 400);
        let mut refused = call("POST", "stream", "first");
        refused.headers[0].1 = "6000".to_owned();
        let reply = call_site(site.hosts[0].callers, &refused).await.expect("an answer");
        assert_eq!(reply.status, 503);
        let pause: f64 = reply.header("retry-after").parse().expect("seconds");
        let told_at = site.hosts[1].host.now();
        tokio::time::sleep(Duration::from_secs(1)).await;
        let key = promised_key(&site, 0).expect("a promise");
        assert_eq!(promised_key(&site, 1), Some(key));
        let returns_at = told_at + Duration::from_secs_f64(pause.min(2.0));
        assert!(site.hosts[1].host.state().return_calendar.is_return(returns_at, key));
        for engine in &site.decodes {
            engine.set_fault(EngineFault::None);
        }
        let left = returns_at.since(site.hosts[1].host.now());
        tokio::time::sleep(left).await;
        let returning = SiteCall { id: "second".to_owned(), ..refused };
        let reply = call_site(site.hosts[1].callers, &returning).await.expect("an answer");
        assert_eq!(reply.status, 200);
        let metrics = site.hosts[1].host.metrics().prometheus_text();
        assert!(metrics.contains("returns_received"), "{metrics}");
        assert!(metrics.contains("returns_served"), "{metrics}");
    });
}

/// Guards against a constant pause for callers of plain services, who return after the servers' answer time and within a
/// third of their own.
#[test]
fn plain_return_follows_the_answer_time() {
    runtime().block_on(async {
        let site = site_with_two_hosts().await;
        let set_fault = |fault| site.services.iter().for_each(|service| service.set_fault(fault));
        set_fault(ServiceFault::Slow(Duration::from_millis(40)));
        for number in 0..10 {
            call_site(site.hosts[0].callers, &call("GET", "safe", &format!("n{number}")))
                .await
                .expect("an answer");
        }
        set_fault(ServiceFault::Full);
        let mut refused = call("GET", "safe", "refused");
        refused.headers[0].1 = "900".to_owned();
        let reply = call_site(site.hosts[0].callers, &refused).await.expect("an answer");
        assert_eq!(reply.status, 503);
        let pause: f64 = reply.header("retry-after").parse().expect("seconds");
        assert!((0.04..0.3).contains(&pause), "{pause}");
    });
}

/// By the time in which a run ends, as measured, the runs that hold memory now have ended on average; however long that is.
#[rstest]
#[case::short_answers(100, 0.85, 1.15)]
#[case::long_answers(1000, 8.5, 11.5)]
fn pause_without_memory_follows_the_time_of_a_run(
    #[case] output: u32,
    #[case] from: f64,
    #[case] to: f64,
) {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("a site");
        record_runs(&site, 0, output);
        for engine in &site.decodes {
            engine.set_fault(EngineFault::Full);
        }
        let reply = call_site(site.hosts[0].callers, &call("POST", "stream", "n")).await;
        let pause: f64 = reply.expect("an answer").header("retry-after").parse().expect("seconds");
        assert!((from..=to).contains(&pause), "{pause}");
    });
}

/// Guards against promises and messages without the setting.
#[test]
fn constant_pause_without_the_setting() {
    runtime().block_on(async {
        let site =
            TestSite::start(SitePlan { hosts: 2, ..SitePlan::default() }).await.expect("a site");
        for engine in &site.decodes {
            engine.set_fault(EngineFault::Full);
        }
        for number in 0..5 {
            let refused = call("POST", "stream", &format!("n{number}"));
            let reply = call_site(site.hosts[0].callers, &refused).await.expect("an answer");
            let pause: f64 = reply.header("retry-after").parse().expect("seconds");
            assert!((0.85..=1.15).contains(&pause), "{pause}");
        }
        assert_eq!(promised_key(&site, 0), None);
        assert!(!site.hosts[0].host.metrics().prometheus_text().contains("returns_"));
    });
}
