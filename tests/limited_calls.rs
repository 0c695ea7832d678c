//! Requests through real daemons to servers that state a limit: which servers take over, what callers are answered, and
//! which answers can state a limit.

use rstest::rstest;
use std::time::Duration;
use tealcleat::bench::site::{
    CallerReply, LimitAnnouncement, RestartAddress, ServiceFault, SitePlan, TestSite, call_site,
};

mod site_common;

use site_common::{call, call_first_host, engine_runs, runtime, wait_released};

const POLL_PERIOD: Duration = Duration::from_millis(5);
/// One request in twenty seconds, which is longer than a test case takes.
const LOW_LIMIT: f64 = 0.05;

async fn site_of(plan: SitePlan) -> TestSite {
    TestSite::start(plan).await.expect("a site")
}

/// Sends requests one after the other and returns their statuses.
async fn call_many(site: &TestSite, route: &str, name: &str, count: usize) -> Vec<u16> {
    let mut statuses = Vec::new();
    for serial in 0..count {
        let reply = call_first_host(site, &call("POST", route, &format!("{name}-{serial}"))).await;
        statuses.push(reply.status.as_u16());
    }
    statuses
}

/// Sends requests until the first host knows a limit.
async fn until_limited(site: &TestSite, route: &str) {
    let mut serial = 0;
    while site.hosts[0].host.state().send_control.limits.limited().next().is_none() {
        serial += 1;
        drop(call_first_host(site, &call("POST", route, &format!("first-{serial}"))).await);
    }
}

fn retry_delay(reply: &CallerReply) -> f64 {
    reply.header("retry-after").parse().expect("seconds")
}

#[test]
fn other_servers_take_over() {
    runtime().block_on(async {
        let site = site_of(SitePlan::default()).await;
        site.services[0].arrivals.set(LimitAnnouncement::of(LOW_LIMIT));
        until_limited(&site, "once").await;
        let before = site.services[0].arrivals.count();
        assert_eq!(call_many(&site, "once", "r", 40).await, vec![200; 40]);
        assert!(site.services[0].arrivals.count() - before <= 2);
    });
}

#[test]
fn all_servers_at_limit_refuse_at_once_with_retry_delay() {
    runtime().block_on(async {
        let site = site_of(SitePlan::default()).await;
        for service in &site.services {
            service.arrivals.set(LimitAnnouncement::of(LOW_LIMIT));
        }
        until_limited(&site, "once").await;
        let mut delays = Vec::new();
        for serial in 0..12 {
            let id = format!("r-{serial}");
            let reply = call_first_host(&site, &call("POST", "once", &id)).await;
            if reply.status.is_success() {
                continue;
            }
            assert_eq!(reply.status.as_u16(), 503);
            let runs = site.services.iter().flat_map(|service| service.runs());
            assert_eq!(runs.filter(|run| *run == id).count(), 0, "a refused request did not run");
            delays.push(retry_delay(&reply));
        }
        assert!(delays.len() >= 8, "{delays:?}");
        assert!(delays.iter().all(|seconds| *seconds > 0.0 && *seconds <= 10.0), "{delays:?}");
        assert!(delays.iter().copied().fold(0.0, f64::max) > 2.0, "{delays:?}");
    });
}

#[test]
fn streams_go_to_engines_below_limit_or_are_refused_with_nothing_held() {
    runtime().block_on(async {
        let site = site_of(SitePlan::default()).await;
        site.decodes[0].arrivals.set(LimitAnnouncement::of(LOW_LIMIT));
        until_limited(&site, "stream").await;
        assert_eq!(call_many(&site, "stream", "r", 8).await, vec![200; 8]);
        site.decodes[1].arrivals.set(LimitAnnouncement::of(LOW_LIMIT));
        let statuses = call_many(&site, "stream", "s", 8).await;
        assert!(statuses.iter().filter(|status| **status == 503).count() >= 5, "{statuses:?}");
        let reply = call_first_host(&site, &call("POST", "stream", "last")).await;
        if reply.status.as_u16() == 503 {
            assert!(retry_delay(&reply) > 0.0);
            assert_eq!(engine_runs(&site, "last").len(), 0);
        }
        wait_released(&site).await;
    });
}

#[test]
fn prompts_are_read_by_decode_engines_where_prefill_is_at_its_limit() {
    runtime().block_on(async {
        let site = site_of(SitePlan { prefills: 1, ..SitePlan::default() }).await;
        site.prefills[0].arrivals.set(LimitAnnouncement::of(LOW_LIMIT));
        until_limited(&site, "stream").await;
        let before = site.prefills[0].arrivals.count();
        assert_eq!(call_many(&site, "stream", "r", 12).await, vec![200; 12]);
        assert!(site.prefills[0].arrivals.count() - before <= 2);
    });
}

#[rstest]
#[case::empty("")]
#[case::negative("-1")]
#[case::not_a_number("NaN")]
#[case::exponent("1e-9")]
#[case::words("one a minute")]
fn malformed_limit_is_ignored(#[case] value: &str) {
    runtime().block_on(async {
        let site = site_of(SitePlan { services: 1, ..SitePlan::default() }).await;
        let values = vec![value.to_owned()];
        site.services[0].arrivals.set(LimitAnnouncement { values, ..LimitAnnouncement::default() });
        assert_eq!(call_many(&site, "once", "r", 20).await, vec![200; 20]);
        assert_eq!(site.hosts[0].host.state().send_control.limits.limited().count(), 0);
    });
}

/// Neither a limit nor its end is accepted from an answer that belongs to another call.
#[test]
fn limit_in_foreign_answer_is_ignored() {
    runtime().block_on(async {
        let site = site_of(SitePlan { services: 1, ..SitePlan::default() }).await;
        let service = &site.services[0];
        service.set_fault(ServiceFault::ForeignAnswer);
        service.arrivals.set(LimitAnnouncement::of(LOW_LIMIT));
        assert_eq!(call_many(&site, "safe", "f", 3).await, vec![502; 3]);
        assert_eq!(site.hosts[0].host.state().send_control.limits.limited().count(), 0);
        service.set_fault(ServiceFault::None);
        until_limited(&site, "once").await;
        service.set_fault(ServiceFault::ForeignAnswer);
        service.arrivals.set(LimitAnnouncement::default());
        call_many(&site, "safe", "g", 3).await;
        assert_eq!(site.hosts[0].host.state().send_control.limits.limited().count(), 1);
    });
}

#[test]
fn rejections_state_the_limit_too() {
    runtime().block_on(async {
        let site = site_of(SitePlan::default()).await;
        let service = &site.services[0];
        service.set_fault(ServiceFault::Full);
        service.arrivals.set(LimitAnnouncement::of(LOW_LIMIT));
        until_limited(&site, "safe").await;
        let before = service.arrivals.count();
        assert_eq!(call_many(&site, "safe", "r", 20).await, vec![200; 20]);
        assert!(service.arrivals.count() - before <= 2);
    });
}

#[test]
fn withdrawn_limit_is_lifted() {
    runtime().block_on(async {
        let site = site_of(SitePlan { services: 1, ..SitePlan::default() }).await;
        let service = &site.services[0];
        service.arrivals.set(LimitAnnouncement::of(20.0));
        until_limited(&site, "once").await;
        service.arrivals.set(LimitAnnouncement::default());
        let mut serial = 0;
        while site.hosts[0].host.state().send_control.limits.limited().next().is_some() {
            serial += 1;
            drop(call_first_host(&site, &call("POST", "once", &format!("b-{serial}"))).await);
            tokio::time::sleep(POLL_PERIOD).await;
        }
        assert_eq!(call_many(&site, "once", "r", 60).await, vec![200; 60]);
    });
}

#[test]
fn new_incarnation_of_a_server_has_no_limit() {
    runtime().block_on(async {
        let site = site_of(SitePlan { services: 1, ..SitePlan::default() }).await;
        site.services[0].arrivals.set(LimitAnnouncement::of(LOW_LIMIT));
        until_limited(&site, "once").await;
        let id = site.services[0].id.clone();
        let before = site.hosts[0].host.state().fleet.revision();
        site.restart(&id, RestartAddress::Other).await.expect("a restart");
        while site.hosts[0].host.state().fleet.revision() == before {
            tokio::time::sleep(POLL_PERIOD).await;
        }
        assert_eq!(call_many(&site, "once", "r", 20).await, vec![200; 20]);
    });
}

/// A host that joins receives limits from the others before it sends any request.
#[test]
fn host_that_joins_knows_limits() {
    runtime().block_on(async {
        let mut site = site_of(SitePlan::default()).await;
        site.services[0].arrivals.set(LimitAnnouncement::of(LOW_LIMIT));
        until_limited(&site, "once").await;
        site.add_host().await.expect("a host");
        site.wait_ready().await;
        while site.hosts[1].host.state().send_control.limits.limited().next().is_none() {
            tokio::time::sleep(POLL_PERIOD).await;
        }
        let before = site.services[0].arrivals.count();
        for serial in 0..20 {
            let request = call("POST", "once", &format!("r-{serial}"));
            let reply = call_site(site.hosts[1].callers, &request).await.expect("an answer");
            assert_eq!(reply.status.as_u16(), 200);
        }
        assert!(site.services[0].arrivals.count() - before <= 2);
    });
}
