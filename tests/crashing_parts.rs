//! A part of a prompt that crashes every server that begins to write on it, in requests that are otherwise all different.
//!
//! Guards against chains of crashes that no single request explains: more than thirty servers crashed one after the other,
//! because each request was at its first crash, and nothing compared the parts of their prompts.

use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tealcleat::bench::site::{CallerReply, SiteCall, SitePlan, TestSite, call_site};

mod crash_common;
mod site_common;

use crash_common::{callers, is_down, with_restarts};
use site_common::{call, call_first_host, runtime};

const POLL_PERIOD: Duration = Duration::from_millis(5);
/// Crashes after which the time for learning of the part begins at the latest; it begins with the last one if a host
/// holds the part back earlier.
const CRASHES: usize = 5;
/// Time within which all hosts must have learnt of it.
const SPREAD_TIME: Duration = Duration::from_millis(3000);
/// Sends to servers that are allowed after that, over all hosts.
const MAX_SENDS: usize = 3;
/// The shortest pause that callers are told whose requests are held back, in seconds.
const HOLD_PAUSE_S: f64 = 300.0;
/// Requests with the part that callers send after that.
const LATE_REQUESTS: usize = 12;
/// Middle parts that sound requests have.
const MIDDLE_PARTS: usize = 4;

/// A request on a prompt of three parts: the first one is shared by all, the last one is the request's own.
fn prompt_call(route: &str, middle: &str, id: &str) -> SiteCall {
    let mut call = call("POST", route, id);
    call.path = format!("/{route}/x?{id}");
    call.headers.push(("x-prompt-prefix", format!("5c1e:40,{middle}:40,{}:20", last_part(id))));
    call
}

/// The id of a request's own part, in hexadecimal.
fn last_part(id: &str) -> String {
    id.bytes().map(|byte| format!("{byte:02x}")).collect()
}

fn bad_call(route: &str, serial: usize) -> SiteCall {
    prompt_call(route, "bad7", &format!("bad-{serial}"))
}

async fn sound_reply(host: SocketAddr, route: &str, serial: usize) -> CallerReply {
    let middle = format!("a{}", serial % MIDDLE_PARTS);
    let call = prompt_call(route, &middle, &format!("sound-{serial}"));
    call_site(host, &call).await.expect("an answer")
}

/// How often requests with the bad part reached servers, at either stage.
fn bad_arrivals(site: &TestSite) -> usize {
    let engines = site.prefills.iter().chain(&site.decodes);
    engines.flat_map(|engine| engine.runs()).filter(|run| run.request.starts_with("bad-")).count()
}

async fn parts_site(hosts: usize) -> TestSite {
    let plan = SitePlan { prefills: 2, decodes: 6, services: 1, hosts };
    TestSite::start(plan).await.expect("a site")
}

/// Sends requests with the bad part, each different, until [`CRASHES`] servers have crashed. Sound ones come between them.
async fn crash_servers(site: &TestSite, hosts: &[SocketAddr], route: &str) {
    let down = || site.servers.iter().filter(|server| is_down(site, &server.id)).count();
    let mut crashed = 0;
    for serial in 0.. {
        let host = hosts[serial % hosts.len()];
        sound_reply(host, route, serial).await;
        // A crash also breaks off the answer to the caller.
        let reply = call_site(host, &bad_call(route, serial)).await;
        let is_held_back = reply.is_ok_and(|reply| {
            let pause: f64 = reply.header("retry-after").parse().unwrap_or_default();
            reply.status == 503 && pause >= HOLD_PAUSE_S
        });
        crashed += down();
        while down() > 0 {
            tokio::time::sleep(POLL_PERIOD).await;
        }
        if crashed >= CRASHES || is_held_back {
            return;
        }
    }
}

/// Sends bad and sound requests in turn to all hosts; returns how many sound ones were served whole.
async fn send_late(hosts: &[SocketAddr], route: &str) -> usize {
    let mut served = 0;
    for serial in 1000..1000 + LATE_REQUESTS {
        let host = hosts[serial % hosts.len()];
        drop(call_site(host, &bad_call(route, serial)).await);
        let reply = sound_reply(host, route, serial).await;
        served += usize::from(reply.status == 200 && reply.complete);
    }
    served
}

#[rstest]
#[case::stream("stream")]
#[case::resumable_stream("resume")]
fn crashing_part_held_back_at_all_hosts(#[case] route: &'static str) {
    runtime().block_on(async {
        let site = parts_site(3).await;
        let hosts = callers(&site);
        with_restarts(&site, crash_servers(&site, &hosts, route)).await;
        tokio::time::sleep(SPREAD_TIME).await;
        let before = bad_arrivals(&site);
        let mut served = 0;
        with_restarts(&site, async { served = send_late(&hosts, route).await }).await;
        let sends = bad_arrivals(&site) - before;
        assert!(sends <= MAX_SENDS, "{sends} sends");
        assert_eq!(served, LATE_REQUESTS, "sound requests with the same first part");
    });
}

/// A host that starts after every host that learnt of the part is gone, or that is cut off from them, knows of it from
/// the store.
#[rstest]
#[case::cut_off(true)]
#[case::started_after(false)]
fn crashing_part_known_to_an_isolated_host(#[case] starts_before: bool) {
    runtime().block_on(async {
        let mut site = parts_site(1).await;
        if starts_before {
            site.add_isolated_host().await.expect("a host");
        }
        let first = callers(&site)[..1].to_vec();
        with_restarts(&site, crash_servers(&site, &first, "stream")).await;
        tokio::time::sleep(SPREAD_TIME).await;
        if !starts_before {
            site.add_isolated_host().await.expect("a host");
        }
        site.wait_ready().await;
        tokio::time::sleep(SPREAD_TIME).await;
        let before = bad_arrivals(&site);
        let last = callers(&site)[1..].to_vec();
        let mut served = 0;
        with_restarts(&site, async { served = send_late(&last, "stream").await }).await;
        let sends = bad_arrivals(&site) - before;
        assert!(sends <= MAX_SENDS, "{sends} sends");
        assert_eq!(served, LATE_REQUESTS, "sound requests with the same first part");
    });
}

/// Guards against hosts that serve before they know what others learnt: all hosts were killed, and those that started again
/// sent requests with the bad part to servers for half a second.
#[rstest]
#[case::from_the_store(true)]
#[case::from_a_neighbour(false)]
fn crashing_part_held_back_from_the_start(#[case] is_isolated: bool) {
    runtime().block_on(async {
        let mut site = parts_site(1).await;
        let first = callers(&site);
        with_restarts(&site, crash_servers(&site, &first, "stream")).await;
        tokio::time::sleep(SPREAD_TIME).await;
        let added =
            if is_isolated { site.add_isolated_host().await } else { site.add_host().await };
        added.expect("a host");
        site.wait_ready().await;
        let before = bad_arrivals(&site);
        let last = callers(&site)[1..].to_vec();
        let mut served = 0;
        with_restarts(&site, async { served = send_late(&last, "stream").await }).await;
        let sends = bad_arrivals(&site) - before;
        assert!(sends <= MAX_SENDS, "{sends} sends");
        assert_eq!(served, LATE_REQUESTS, "sound requests with the same first part");
    });
}

/// The last part belongs to the request itself, so that nothing is learnt from it.
#[test]
fn last_part_never_blamed() {
    runtime().block_on(async {
        let site = parts_site(1).await;
        let mut request = call("POST", "stream", "r1");
        request.headers.push(("x-prompt-prefix", "5c1e:40,bad7:20".to_owned()));
        let reply = call_first_host(&site, &request).await;
        assert_eq!((reply.status.as_u16(), reply.complete), (200, true));
    });
}
