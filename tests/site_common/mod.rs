//! Helpers that send requests to daemons on simulated platform servers.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::time::Duration;
use tealcleat::bench::site::{CallerReply, SiteCall, SiteRun, TestSite, call_site};
use tokio::runtime::Runtime;

/// A runtime for one test.
pub fn runtime() -> Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("a runtime")
}

/// A request to a route of the site's configuration.
pub fn call(method: &'static str, route: &str, id: &str) -> SiteCall {
    SiteCall {
        method,
        path: format!("/{route}/x?y=1"),
        id: id.to_owned(),
        headers: vec![
            ("x-deadline-ms", "15000".to_owned()),
            ("x-token-count", "100,96".to_owned()),
            ("x-model", "m".to_owned()),
        ],
        body: "prompt",
    }
}

/// Sends a request to the site's first host.
pub async fn call_first_host(site: &TestSite, call: &SiteCall) -> CallerReply {
    call_site(site.hosts[0].callers, call).await.expect("an answer")
}

/// The runs of a request on all engines.
pub fn engine_runs(site: &TestSite, id: &str) -> Vec<SiteRun> {
    let engines = site.prefills.iter().chain(&site.decodes);
    engines.flat_map(|engine| engine.runs()).filter(|run| run.request == id).collect()
}

/// Waits until every hold and every prefill result at the engines has been released or used.
pub async fn wait_released(site: &TestSite) {
    let reserved = || {
        let holds: usize = site.decodes.iter().map(|engine| engine.open_holds()).sum();
        let handles: usize = site.prefills.iter().map(|engine| engine.open_handles()).sum();
        holds + handles
    };
    while reserved() > 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
