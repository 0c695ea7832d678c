//! Hosts that are suspended for seconds and go on as if no time had passed.
//!
//! What was seen: a host let a caller in whose key had been taken away longer ago than the bound. How it came about:
//! the host was suspended; when it went on it held its configuration to be as young as before. Cause: all ages were
//! told by the steady clock, which stands still meanwhile. What proves it: the same stop with a steady clock that goes
//! on lets nobody in.

use rstest::rstest;
use std::net::Ipv4Addr;
use std::time::Duration;
use tealcleat::bench::site::{
    SiteCall, SitePlan, StoreFault, TestSite, call_site, config, keyed_config,
};
use tealcleat::bench::{GatewayProcess, ProcessPlan};

mod machine_common;
mod site_common;

use machine_common::{daemon, held_clock, test_folder};
use site_common::{call, runtime};

const LOOK: Duration = Duration::from_millis(20);
const REVOCATION: Duration = Duration::from_millis(2000);
/// Longer than the bound on revoked keys.
const SUSPENDED: Duration = Duration::from_millis(2500);

fn keyed_call(id: &str) -> SiteCall {
    let mut call = call("POST", "once", id);
    call.headers.push(("authorization", "Token key-of-hanbit".to_owned()));
    call
}

/// Asks until the host has let the caller in.
async fn let_in(host: &GatewayProcess) {
    for serial in 0.. {
        let reply = call_site(host.callers, &keyed_call(&format!("before-{serial}"))).await;
        if reply.is_ok_and(|reply| reply.status == 200) {
            return;
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// The store is not reached, so that only its own clock tells the host how old its configuration is.
#[rstest]
#[case::steady_clock_held(true)]
#[case::steady_clock_goes_on(false)]
fn suspended_host_lets_no_revoked_key_in(#[case] is_held: bool) {
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
            environment: &environment,
        })
        .expect("a host");
        let_in(&host).await;
        host.suspend().expect("it stops");
        site.store.set_fault(StoreFault::Silent);
        site.set_config(3, &config(3));
        tokio::time::sleep(SUSPENDED).await;
        host.resume().expect("it goes on");
        let reply = call_site(host.callers, &keyed_call("after")).await.expect("an answer");
        assert_eq!(reply.status, 503);
        std::fs::remove_dir_all(&folder).expect("an empty place");
    });
}

/// Sources that may look at the steady clock: those that tell no age that outlives a suspension.
const STEADY: [&str; 3] =
    ["src/bench/", "src/bin/tealcleat-load/", "src/telemetry/bounded_writer.rs"];

#[test]
fn ages_told_by_no_clock_that_stands_still() {
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
            let is_allowed = STEADY.iter().any(|place| name.starts_with(place));
            if !is_allowed && names_steady_clock(&text) {
                found.push(name);
            }
        }
    }
    assert!(found.is_empty(), "{found:?}");
}

fn names_steady_clock(source: &str) -> bool {
    source.lines().any(|line| {
        let is_used = line.contains("Instant::now()") && !line.contains("tokio::time::Instant");
        is_used || (line.starts_with("use std::time::") && line.contains("Instant"))
    })
}
