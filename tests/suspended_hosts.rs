//! Hosts that are suspended for seconds and resume as if no time had passed.
//!
//! The tests guard against a host that accepts a caller key after the bound on its revocation. This happens when a host
//! measures the age of its configuration with the steady clock, which stops while the host is suspended: when it
//! resumes, the configuration seems as new as before. With a steady clock that keeps running, the same suspension lets
//! no revoked key in.

use rstest::rstest;
use std::net::Ipv4Addr;
use std::time::Duration;
use tealcleat::bench::site::{
    SiteCall, SitePlan, StoreFault, TestSite, call_site, config, keyed_config,
};
use tealcleat::bench::{DEFAULT_GRACE, GatewayProcess, ProcessPlan};
use tealcleat::settings::LoadFeatures;

mod machine_common;
mod site_common;

use machine_common::{daemon, held_clock, test_folder};
use site_common::{call, runtime};

const POLL_PERIOD: Duration = Duration::from_millis(20);
const REVOCATION: Duration = Duration::from_millis(2000);
/// Longer than the bound on the revocation of keys.
const SUSPENSION: Duration = Duration::from_millis(2500);

fn keyed_call(id: &str) -> SiteCall {
    let mut call = call("POST", "once", id);
    call.headers.push(("authorization", "Token key-of-hanbit".to_owned()));
    call
}

/// Calls the host until it accepts the caller.
async fn wait_accepted(host: &GatewayProcess) {
    for index in 0.. {
        let reply = call_site(host.callers, &keyed_call(&format!("before-{index}"))).await;
        if reply.is_ok_and(|reply| reply.status == 200) {
            return;
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// The store is unreachable, so that the host knows the age of its configuration only from its own clock.
#[rstest]
#[case::steady_clock_held(true)]
#[case::steady_clock_goes_on(false)]
fn suspended_host_refuses_revoked_keys(#[case] is_held: bool) {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan { hosts: 0, ..SitePlan::default() }).await;
        let site = site.expect("a site");
        site.set_config(2, &keyed_config(2));
        let name = format!("revoked-{is_held}");
        let folder = test_folder(&name);
        let environment = if is_held { held_clock(&name) } else { Vec::new() };
        let mut host = GatewayProcess::start(&ProcessPlan {
            program: daemon(),
            folder: &folder,
            name: "host",
            domain: "a",
            machine: Ipv4Addr::LOCALHOST.into(),
            store: site.store_address,
            seeds: &[],
            advertised: None,
            revocation: Some(REVOCATION),
            grace: DEFAULT_GRACE,
            retries: None,
            features: LoadFeatures::default(),
            limits: None,
            environment: &environment,
        })
        .expect("a host");
        wait_accepted(&host).await;
        host.suspend().expect("it stops");
        site.store.set_fault(StoreFault::Silent);
        site.set_config(3, &config(3));
        tokio::time::sleep(SUSPENSION).await;
        host.resume().expect("it goes on");
        let reply = call_site(host.callers, &keyed_call("after")).await.expect("an answer");
        assert_eq!(reply.status, 503);
        std::fs::remove_dir_all(&folder).expect("an empty place");
    });
}

/// Sources that may use the steady clock, because no time that they measure matters after a suspension.
const STEADY_CLOCK_SOURCES: [&str; 3] =
    ["src/bench/", "src/bin/tealcleat-load/", "src/telemetry/bounded_writer.rs"];

#[test]
fn steady_clock_used_only_by_listed_sources() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut folders = vec![root.join("src")];
    let mut found = Vec::new();
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).expect("a folder") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let name = path.strip_prefix(root).expect("a source").display().to_string();
            let text = std::fs::read_to_string(&path).expect("a text");
            let is_allowed = STEADY_CLOCK_SOURCES.iter().any(|prefix| name.starts_with(prefix));
            if !is_allowed && uses_steady_clock(&text) {
                found.push(name);
            }
        }
    }
    assert!(found.is_empty(), "{found:?}");
}

fn uses_steady_clock(source: &str) -> bool {
    source.lines().any(|line| {
        let is_used = line.contains("Instant::now()") && !line.contains("tokio::time::Instant");
        is_used || (line.starts_with("use std::time::") && line.contains("Instant"))
    })
}
