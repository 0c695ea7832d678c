//! Daemons as processes that are stopped while requests are in flight.

#![allow(dead_code, reason = "each test file uses a part of it")]

use crate::machine_common::daemon;
use std::net::Ipv4Addr;
use std::path::Path;
use std::time::Duration;
use tealcleat::bench::site::{CallerReply, SiteCall, TestSite, call_site};
use tealcleat::bench::{GatewayProcess, ProcessPlan};
use tealcleat::platform::READY_PATH;
use tealcleat::settings::LoadFeatures;
use tokio::task::JoinHandle;

const POLL_PERIOD: Duration = Duration::from_millis(5);

/// Starts a daemon before the servers of `site` and waits until the platform would send callers to it.
pub async fn start_process(site: &TestSite, folder: &Path, grace: Duration) -> GatewayProcess {
    let process = GatewayProcess::start(&ProcessPlan {
        program: daemon(),
        folder,
        name: "host",
        domain: "a",
        machine: Ipv4Addr::LOCALHOST.into(),
        store: site.store_address,
        seeds: &[],
        advertised: None,
        revocation: None,
        grace,
        retries: None,
        features: LoadFeatures::ALL,
        limits: None,
        environment: &[],
    })
    .expect("a host");
    wait_ready(&process).await;
    process
}

/// Waits until the platform would send callers to a daemon.
pub async fn wait_ready(process: &GatewayProcess) {
    let path = READY_PATH.to_owned();
    let probe = SiteCall { method: "GET", path, id: String::new(), headers: vec![], body: "" };
    while !call_site(process.ready, &probe).await.is_ok_and(|reply| reply.status == 200) {
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// Waits until the process has ended by itself.
pub async fn wait_ended(process: &mut GatewayProcess) {
    while !process.has_ended() {
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// Sends a request; the handle returns its answer, or `None` if its connection closed without one.
pub fn send(process: &GatewayProcess, call: SiteCall) -> JoinHandle<Option<CallerReply>> {
    let callers = process.callers;
    tokio::spawn(async move { call_site(callers, &call).await.ok() })
}

/// The log lines of an event.
pub fn lines(process: &GatewayProcess, event: &str) -> Vec<String> {
    let log = process.log().expect("a log");
    let wanted = format!(" event={event} ");
    log.lines().filter(|line| line.contains(&wanted)).map(str::to_owned).collect()
}

/// The value of a field of a log line; empty if it has none.
pub fn field<'a>(line: &'a str, name: &str) -> &'a str {
    let prefix = format!("{name}=");
    line.split(' ').find_map(|part| part.strip_prefix(&prefix)).unwrap_or_default()
}
