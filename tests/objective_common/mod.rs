//! A site whose routes have a short objective, so that silence is noticed soon, and its callers.

#![allow(dead_code, reason = "each test file uses a part of it")]

use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tealcleat::bench::site::{CallerReply, SiteCall, SitePlan, TestSite, call_site, config};
use tealcleat::settings::GatewaySettings;
use tokio::task::JoinHandle;

/// The objective of the routes; a call is silent after two of them.
pub const OBJECTIVE: Duration = Duration::from_millis(150);
/// After this time a host counts a read of a prompt as silent.
pub const READ_SILENCE: Duration = Duration::from_millis(1500);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Ends a test that waits for what does not come.
pub const TEST_LIMIT: Duration = Duration::from_secs(10);

/// A site of one host whose routes have a short objective, so that silence is noticed soon.
pub async fn site_with(plan: SitePlan, adjust: impl FnOnce(&mut GatewaySettings)) -> Arc<TestSite> {
    site_of(OBJECTIVE, plan, adjust).await
}

pub async fn site_of(
    objective: Duration,
    plan: SitePlan,
    adjust: impl FnOnce(&mut GatewaySettings),
) -> Arc<TestSite> {
    let mut site = TestSite::start(SitePlan { hosts: 0, ..plan }).await.expect("it starts");
    let mut config = config(2);
    for route in config["routes"].as_array_mut().expect("routes") {
        route["slo_ms"] = json!(objective.as_millis());
    }
    site.set_config(2, &config);
    site.add_host_with(adjust).await.expect("a host");
    site.wait_ready().await;
    Arc::new(site)
}

/// Hosts that may not send anything again.
pub fn deny_repeats(settings: &mut GatewaySettings) {
    settings.bounds.retries.ratio = 0.0;
    settings.bounds.retries.slack = 0.0;
}

pub fn start_call(site: &Arc<TestSite>, call: SiteCall) -> JoinHandle<CallerReply> {
    let host = site.hosts[0].callers;
    tokio::spawn(async move { call_site(host, &call).await.expect("an answer") })
}

pub async fn reply_of(caller: JoinHandle<CallerReply>) -> CallerReply {
    let reply = tokio::time::timeout(TEST_LIMIT, caller).await;
    reply.expect("the answer comes").expect("the caller ends")
}

pub async fn wait_until(is_met: impl Fn() -> bool) {
    let waiting = async {
        while !is_met() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TEST_LIMIT, waiting).await.expect("it comes");
}
