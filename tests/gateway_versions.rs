//! Streams over servers of several software versions: they go on at the version that began them, or are refused.

use rstest::rstest;
use serde_json::{Value, json};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tealcleat::bench::site::{EngineFault, SiteCall, SitePlan, TestSite, call_site};

mod site_common;

use site_common::{call, engine_runs, runtime};

/// Two hosts before one prefill and one decode engine of each of the versions `v1` and `v1.1`.
async fn mixed_site() -> TestSite {
    let mut site = mixed_servers().await;
    for _ in 0..2 {
        site.add_host().await.expect("a host");
    }
    site.wait_ready().await;
    wait_met(&site).await;
    site
}

/// The same without hosts.
async fn mixed_servers() -> TestSite {
    let plan = SitePlan { prefills: 2, decodes: 2, services: 1, hosts: 0 };
    let site = TestSite::start(plan).await.expect("a site");
    for id in ["i-prefill-1", "i-decode-1"] {
        site.replace_software(id, "v1.1").await.expect("it is replaced");
    }
    for id in ["i-prefill-0", "i-decode-0"] {
        site.replace_software(id, "v1").await.expect("it is replaced");
    }
    site
}

/// Waits until the hosts know each other.
async fn wait_met(site: &TestSite) {
    while site.hosts.iter().any(|gateway| gateway.host.state().members.living().count() < 2) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A request that takes the stream of the attempt `first` up after the event `after`.
fn taken_up(id: &str, first: &str, after: &str) -> SiteCall {
    let mut call = call("POST", "resume", id);
    call.headers.push(("last-event-id", after.to_owned()));
    call.headers.push(("resumes", first.to_owned()));
    call
}

/// Begins a stream at the first host and cuts it after three events; no other engine of its version can go on with it.
/// Returns the version that began it.
async fn begin_cut_stream(site: &TestSite, id: &str) -> String {
    for engine in &site.decodes {
        engine.set_fault(EngineFault::CutAfter(3));
    }
    let reply = call_site(site.hosts[0].callers, &call("POST", "resume", id)).await;
    let reply = reply.expect("an answer");
    assert!(!reply.complete);
    assert_eq!(reply.events(), [0, 1, 2]);
    for engine in &site.decodes {
        engine.set_fault(EngineFault::None);
    }
    reply.event_versions().first().cloned().expect("events name the version")
}

/// Guards against a stream that goes on at another version within one answer.
#[test]
fn lost_stream_not_resumed_at_other_version() {
    runtime().block_on(async {
        let site = mixed_site().await;
        begin_cut_stream(&site, "r1").await;
        let decoded = engine_runs(&site, "r1").into_iter().filter(|run| run.stage == "decode");
        assert_eq!(decoded.count(), 1);
    });
}

/// Guards against prompts that a server of one version reads for a server of another version.
#[test]
fn prompt_read_at_version_of_decode() {
    runtime().block_on(async {
        let site = mixed_site().await;
        for index in 0..12 {
            let id = format!("r{index}");
            let reply = call_site(site.hosts[0].callers, &call("POST", "resume", &id)).await;
            assert!(reply.expect("an answer").complete);
            let mut versions: Vec<String> =
                engine_runs(&site, &id).into_iter().map(|run| run.version).collect();
            versions.dedup();
            assert_eq!(versions.len(), 1, "{versions:?}");
        }
    });
}

/// Guards against a stream that is taken up at another version, at the host that began it and at one that did not.
#[rstest]
#[case::same_host(0)]
#[case::other_host(1)]
fn taken_up_stream_goes_on_at_its_version(#[case] host: usize) {
    runtime().block_on(async {
        let site = mixed_site().await;
        for index in 0..6 {
            let first = format!("r{index}");
            let version = begin_cut_stream(&site, &first).await;
            let id = format!("r{index}-again");
            let call = taken_up(&id, &first, "2");
            let reply = call_site(site.hosts[host].callers, &call).await.expect("an answer");
            assert!(reply.complete, "{:?}", reply.status);
            assert_eq!(reply.events(), [3, 4, 5, 6, 7]);
            assert!(reply.event_versions().iter().all(|of| *of == version));
        }
    });
}

/// With two versions about, a stream whose version is not known is refused at once and does not run: `Resumes` is
/// missing, empty, doubled or not text, names nothing known, or there is no number of an event.
#[rstest]
#[case::no_resumes(&[("last-event-id", "2")])]
#[case::unknown_attempt(&[("last-event-id", "2"), ("resumes", "never-seen")])]
#[case::empty(&[("last-event-id", "2"), ("resumes", " ")])]
#[case::doubled(&[("last-event-id", "2"), ("resumes", "r1"), ("resumes", "r2")])]
#[case::not_ascii(&[("last-event-id", "2"), ("resumes", "r\u{e9}1")])]
#[case::no_event(&[("resumes", "never-seen")])]
#[case::event_not_a_number(&[("last-event-id", "two"), ("resumes", "never-seen")])]
fn unknown_version_refused(#[case] headers: &'static [(&'static str, &'static str)]) {
    runtime().block_on(async {
        let site = mixed_site().await;
        begin_cut_stream(&site, "r1").await;
        let mut call = call("POST", "resume", "r1-again");
        call.headers.extend(headers.iter().map(|(name, value)| (*name, (*value).to_owned())));
        let reply = call_site(site.hosts[1].callers, &call).await.expect("an answer");
        assert_eq!(reply.status, 503);
        assert_ne!(reply.header("retry-after"), "");
        assert!(engine_runs(&site, "r1-again").is_empty());
    });
}

/// The caller names the attempt that brought the first event, also when it takes the stream up again.
#[test]
fn stream_taken_up_twice_names_first_attempt() {
    runtime().block_on(async {
        let site = mixed_site().await;
        let version = begin_cut_stream(&site, "r1").await;
        for engine in &site.decodes {
            engine.set_fault(EngineFault::CutAfter(2));
        }
        let second = taken_up("r1-second", "r1", "2");
        let reply = call_site(site.hosts[1].callers, &second).await.expect("an answer");
        assert_eq!(reply.events(), [3, 4]);
        for engine in &site.decodes {
            engine.set_fault(EngineFault::None);
        }
        let third = taken_up("r1-third", "r1", "4");
        let reply = call_site(site.hosts[0].callers, &third).await.expect("an answer");
        assert_eq!(reply.events(), [5, 6, 7]);
        assert!(reply.event_versions().iter().all(|of| *of == version));
    });
}

/// The same attempt id of a request with other contents names another stream.
#[test]
fn attempt_of_other_contents_unknown() {
    runtime().block_on(async {
        let site = mixed_site().await;
        begin_cut_stream(&site, "r1").await;
        let call = SiteCall { body: "another prompt", ..taken_up("r1-again", "r1", "2") };
        let reply = call_site(site.hosts[0].callers, &call).await.expect("an answer");
        assert_eq!(reply.status, 503);
    });
}

/// The last server of the version is gone: there is nothing to go on with, and the caller is told at once.
#[test]
fn stream_of_version_without_servers_refused() {
    runtime().block_on(async {
        let site = mixed_site().await;
        let version = begin_cut_stream(&site, "r1").await;
        let last = site.decodes.iter().find(|engine| engine.software().version == version);
        site.replace_software(&last.expect("it served").id, "v1.2").await.expect("it is replaced");
        let mut revision = 0;
        site.store.change(|objects| revision = objects.revision());
        while site.hosts.iter().any(|host| host.host.state().fleet.revision() < revision) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let call = taken_up("r1-again", "r1", "2");
        let reply = call_site(site.hosts[1].callers, &call).await.expect("an answer");
        assert_eq!(reply.status, 503);
        assert!(engine_runs(&site, "r1-again").is_empty());
    });
}

/// With a single version all the time, a stream that no host knows goes on: all hosts may have been killed at once.
#[test]
fn unknown_stream_of_single_version_goes_on() {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("a site");
        let call = taken_up("r1-again", "r1", "2");
        let reply = call_site(site.hosts[0].callers, &call).await.expect("an answer");
        assert_eq!(reply.events(), [3, 4, 5, 6, 7]);
    });
}

/// All hosts are gone, and with them the last server of a version. A host that starts then sees one version only; the
/// store tells it that there were two.
#[test]
fn version_before_start_known_from_store() {
    runtime().block_on(async {
        let mut site = mixed_site().await;
        while site.store.spec("tealcleat-versions", "main").is_none() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        for id in ["i-prefill-1", "i-decode-1"] {
            site.replace_software(id, "v1").await.expect("it is replaced");
        }
        site.add_isolated_host().await.expect("a host");
        site.wait_ready().await;
        let fresh = site.hosts.last().expect("it was added").callers;
        let call = taken_up("r1-again", "r1", "2");
        let reply = call_site(fresh, &call).await.expect("an answer");
        assert_eq!(reply.status, 503);
    });
}

/// The object in the store names versions that a former watcher saved; nobody else would ever take them out, and each host
/// that starts would refuse streams for them.
#[test]
fn outdated_saved_versions_removed() {
    runtime().block_on(async {
        let mut site =
            TestSite::start(SitePlan { hosts: 0, ..SitePlan::default() }).await.expect("a site");
        let stale = json!({"versions": [
            {"service": "0000000000000001", "version": "0000000000000002", "gone_ms": 1000},
            {"service": "0000000000000001", "version": "0000000000000003", "gone_ms": null},
        ]});
        site.store.change(|objects| objects.set("tealcleat-versions", "main", stale));
        site.add_host().await.expect("a host");
        site.wait_ready().await;
        // A stream that nobody knows lets the host read the versions of the time before its start.
        call_site(site.hosts[0].callers, &taken_up("r1-again", "r1", "2"))
            .await
            .expect("an answer");
        let saved = || site.store.spec("tealcleat-versions", "main").expect("it is there");
        let is_stale = |version: &Value| version["service"] == "0000000000000001";
        while saved()["versions"].as_array().expect("a list").iter().any(is_stale) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
}

/// Guards against a host that was cut off or has just started: it wrote the versions that it has seen over those that
/// others have seen, and a service that had two was taken for one with a single version.
#[test]
fn versions_that_only_other_hosts_saw_stay_saved() {
    runtime().block_on(async {
        let mut site = mixed_servers().await;
        let other = "0000000000000001";
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis();
        let seen_by_others = json!({"versions": [
            {"service": other, "version": "0000000000000002", "gone_ms": now as u64 - 5000},
            {"service": other, "version": "0000000000000003", "gone_ms": null},
        ]});
        site.store.change(|objects| objects.set("tealcleat-versions", "main", seen_by_others));
        site.add_host().await.expect("a host");
        site.wait_ready().await;
        let services = || {
            let saved = site.store.spec("tealcleat-versions", "main").expect("it is there");
            let versions = saved["versions"].as_array().cloned().unwrap_or_default();
            versions.iter().map(|version| version["service"].to_string()).collect::<Vec<_>>()
        };
        while services().iter().all(|service| service.contains(other)) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let kept = services().iter().filter(|service| service.contains(other)).count();
        assert_eq!(kept, 2);
    });
}
