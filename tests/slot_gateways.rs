//! Places at plain servers between real daemons on simulated platform servers.

use std::time::Duration;
use tealcleat::bench::site::{CallerReply, ServiceFault, SitePlan, TestSite, call_site};
use tealcleat::keys::ServerKey;

mod site_common;

use site_common::{call, call_first_host, runtime};

/// Slots of a server of the test site, and the queue that its owner allows.
const PLACES: u64 = 16;
const POLL_PERIOD: Duration = Duration::from_millis(5);

/// Starts daemons, each with or without the setting, that know each other.
async fn start_site(services: usize, settings: &[bool]) -> TestSite {
    let plan = SitePlan { prefills: 1, decodes: 1, services, hosts: 0 };
    let mut site = TestSite::start(plan).await.expect("a site");
    for has_slots in settings {
        let added = site.add_host_with(|settings| settings.features.server_slots = *has_slots);
        added.await.expect("a host");
    }
    site.wait_ready().await;
    for gateway in &site.hosts {
        while gateway.host.state().members.living().count() < settings.len() {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }
    site
}

fn counter(site: &TestSite, name: &str) -> u64 {
    site.hosts.iter().map(|gateway| gateway.host.metrics().counter(name)).sum()
}

fn is_contended_everywhere(site: &TestSite, server: ServerKey) -> bool {
    site.hosts.iter().all(|gateway| {
        let now = gateway.host.now();
        gateway.host.state().slot_control.contended.contains(now, server)
    })
}

/// Makes the first server contended by one rejection, and waits until all hosts know and its owner grants places.
async fn contend(site: &TestSite) {
    let service = &site.services[0];
    service.set_fault(ServiceFault::Full);
    let reply = call_first_host(site, &call("POST", "once", "first")).await;
    assert_eq!(reply.status.as_u16(), 503);
    while !is_contended_everywhere(site, ServerKey::of(&service.id)) {
        tokio::time::sleep(POLL_PERIOD).await;
    }
    // The owner takes the server for full until the requests that it did not grant could have been served.
    tokio::time::sleep(Duration::from_millis(250)).await;
}

/// One rejection makes the server contended on all hosts, and together they then send it no more than it has places.
/// Guards against hosts that each learn of a full server by their own rejections.
#[test]
fn contended_server_gets_no_more_than_its_places() {
    runtime().block_on(async {
        let site = start_site(1, &[true, true, true]).await;
        let service = &site.services[0];
        contend(&site).await;
        service.set_fault(ServiceFault::Slow(Duration::from_millis(800)));
        let calls = (0..45).map(|index| {
            let host = site.hosts[index % site.hosts.len()].callers;
            tokio::spawn(async move {
                call_site(host, &call("POST", "once", &format!("r-{index}"))).await
            })
        });
        let mut replies: Vec<CallerReply> = Vec::new();
        for task in calls.collect::<Vec<_>>() {
            replies.push(task.await.expect("a call").expect("a reply"));
        }
        let count = |status: u16| replies.iter().filter(|reply| reply.status == status).count();
        let (served, refused) = (count(200) as u64, count(503));
        let unanswered = counter(&site, "places_unanswered");
        println!("served {served} refused {refused} unanswered {unanswered}");
        assert_eq!(served as usize + refused, replies.len());
        assert!(served <= PLACES + unanswered, "{served} {unanswered}");
        assert!(served >= PLACES / 2, "{served}");
        let refusals = replies.iter().filter(|reply| reply.status == 503);
        for refusal in refusals {
            let pause: f64 = refusal.header("retry-after").parse().expect("a pause");
            assert!(pause > 0.0 && pause < 1.0, "{pause}");
        }
        assert_eq!(service.runs().len() as u64, served);
    });
}

/// Guards against places that stay in use after their callers have left.
#[test]
fn callers_that_leave_release_their_places() {
    runtime().block_on(async {
        let site = start_site(1, &[true, true]).await;
        contend(&site).await;
        site.services[0].set_fault(ServiceFault::Slow(Duration::from_secs(5)));
        let send = |index: u64, name: &str| {
            let host = site.hosts[index as usize % site.hosts.len()].callers;
            let request = call("POST", "once", &format!("{name}-{index}"));
            tokio::spawn(async move { call_site(host, &request).await })
        };
        let leaving: Vec<_> = (0..PLACES).map(|index| send(index, "leaving")).collect();
        while (site.services[0].runs().len() as u64) < PLACES / 2 {
            tokio::time::sleep(POLL_PERIOD).await;
        }
        leaving.iter().for_each(tokio::task::JoinHandle::abort);
        // Shorter than the time after which the places would expire.
        tokio::time::sleep(Duration::from_millis(100)).await;
        site.services[0].set_fault(ServiceFault::None);
        let calls: Vec<_> = (0..PLACES).map(|index| send(index, "next")).collect();
        for task in calls {
            let reply = task.await.expect("a call").expect("a reply");
            assert_eq!(reply.status.as_u16(), 200);
        }
    });
}

/// Hosts without the setting neither request nor grant places, and those with it are served beside them.
#[test]
fn hosts_without_the_setting_stay_as_before() {
    runtime().block_on(async {
        let site = start_site(3, &[true, false]).await;
        for service in &site.services {
            service.set_fault(ServiceFault::Full);
        }
        call_first_host(&site, &call("GET", "safe", "first")).await;
        for service in &site.services {
            service.set_fault(ServiceFault::None);
        }
        tokio::time::sleep(Duration::from_millis(250)).await;
        for index in 0..30 {
            let host = site.hosts[index % 2].callers;
            let request = call("GET", "safe", &format!("r-{index}"));
            let reply = call_site(host, &request).await.expect("a reply");
            assert_eq!(reply.status.as_u16(), 200, "{index}");
        }
        assert_eq!(site.hosts[1].host.metrics().counter("slots_sent"), 0);
    });
}

/// Guards against a rollout in which hosts refuse requests because the owner of limits and permits, which has no places
/// to grant yet, counts as silent.
#[test]
fn owner_without_the_setting_stays_owner_of_limits() {
    runtime().block_on(async {
        // Enough servers that the host without the setting owns some.
        let site = start_site(12, &[true, false]).await;
        let other = site.hosts[1].host.incarnation;
        for service in &site.services {
            service.set_fault(ServiceFault::Full);
        }
        for index in 0..40 {
            call_first_host(&site, &call("GET", "safe", &format!("r-{index}"))).await;
            let now = site.hosts[0].host.now();
            assert!(!site.hosts[0].host.state().silent_owners.contains(now, other), "{index}");
        }
        println!("unanswered {}", counter(&site, "places_unanswered"));
    });
}
