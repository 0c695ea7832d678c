//! Helpers for tests in which requests crash servers.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::SocketAddr;
use std::time::Duration;
use tealcleat::bench::site::{RestartAddress, TestSite};

/// Runs `calls` while servers that crash are restarted under their ids at other addresses.
pub async fn with_restarts(site: &TestSite, calls: impl Future<Output = ()>) {
    let servers = site.servers.iter().map(|server| keep_server_up(site, &server.id));
    tokio::select! {
        () = calls => {}
        _ = futures_util::future::join_all(servers) => unreachable!("servers are kept up"),
    }
}

async fn keep_server_up(site: &TestSite, id: &str) -> std::convert::Infallible {
    loop {
        site.crashed(id).await.expect("a server");
        tokio::time::sleep(DOWN_TIME).await;
        site.restart(id, RestartAddress::Other).await.expect("a restart");
    }
}

/// How long a server is down after a crash.
const DOWN_TIME: Duration = Duration::from_millis(400);

/// Whether a server has crashed and not been restarted.
pub fn is_down(site: &TestSite, id: &str) -> bool {
    futures_util::FutureExt::now_or_never(site.crashed(id)).is_some()
}

/// The hosts' addresses for callers.
pub fn callers(site: &TestSite) -> Vec<SocketAddr> {
    site.hosts.iter().map(|host| host.callers).collect()
}
