//! Servers' entries with one field missing or replaced, and helpers to check a daemon's view of them, shared
//! by tests.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::SocketAddr;
use std::time::Duration;
use tealcleat::bench::site::{SitePlan, TestSite};
use tealcleat::keys::ServerKey;

const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout of a wait; it is reached only by a failing test.
pub const LONGEST_WAIT: Duration = Duration::from_secs(8);
/// Id of an entry made by another writer.
pub const FOREIGN: &str = "i-foreign";
/// Id of a server of the plain service that is known before its entry changes.
pub const KNOWN: &str = "i-service-0";

/// A site with some daemons.
pub async fn site_of(hosts: usize) -> TestSite {
    TestSite::start(SitePlan { hosts, ..SitePlan::default() }).await.expect("a site")
}

/// Waits until `is_so`, and panics with `what` if that takes too long.
pub async fn wait_until(what: &str, is_so: impl Fn() -> bool) {
    let wait = async {
        while !is_so() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(LONGEST_WAIT, wait).await.unwrap_or_else(|_elapsed| panic!("{what}"));
}

/// Starts the first daemon, and waits until it is ready.
pub async fn add_ready_host(site: &mut TestSite) {
    site.add_host().await.expect("a host");
    let host = &site.hosts[0].host;
    wait_until("the host is never ready", || host.is_ready()).await;
}

/// Waits until the first daemon's view is as new as the store.
pub async fn reach_revision(site: &TestSite) {
    let mut revision = 0;
    site.store.change(|objects| revision = objects.revision());
    let host = &site.hosts[0].host;
    wait_until("the revision stays", || host.state().fleet.revision() >= revision).await;
}

/// Whether the first daemon knows a server.
pub fn knows(site: &TestSite, id: &str) -> bool {
    site.hosts[0].host.state().fleet.entry(ServerKey::of(id)).is_some()
}

/// Asserts that the first daemon knows all servers of the site except `without`, and no others.
pub fn assert_servers(site: &TestSite, without: Option<&str>) {
    let state = site.hosts[0].host.state();
    let mut known: Vec<&str> = state.fleet.entries().map(|entry| entry.id.as_str()).collect();
    let others = site.servers.iter().map(|server| server.id.as_str());
    let mut expected: Vec<&str> = others.filter(|id| Some(*id) != without).collect();
    known.sort_unstable();
    expected.sort_unstable();
    assert_eq!(known, expected);
}

/// A change of one field of an otherwise complete entry.
#[derive(Debug, Clone, Copy)]
pub enum FieldChange {
    /// The field is missing.
    Missing(&'static str),
    /// The field holds these bytes, which may be invalid JSON; it is added if the entry does not have it.
    Holds(&'static str, &'static [u8]),
}

/// The bytes of a complete entry of a server of the plain service.
pub fn complete_spec(address: SocketAddr) -> Vec<u8> {
    spec_of(&complete_fields(address))
}

/// The bytes of an entry with one field changed.
pub fn changed_spec(address: SocketAddr, change: FieldChange) -> Vec<u8> {
    let mut fields = complete_fields(address);
    match change {
        FieldChange::Missing(field) => fields.retain(|(name, _)| *name != field),
        FieldChange::Holds(field, bytes) => {
            fields.retain(|(name, _)| *name != field);
            fields.push((field, bytes.to_vec()));
        }
    }
    spec_of(&fields)
}

fn complete_fields(address: SocketAddr) -> Vec<(&'static str, Vec<u8>)> {
    vec![
        ("service", b"\"app\"".to_vec()),
        ("address", format!("\"{address}\"").into_bytes()),
        ("zone", b"\"a\"".to_vec()),
        ("version", b"\"v1\"".to_vec()),
        ("slots", b"8".to_vec()),
        ("state", b"\"ready\"".to_vec()),
        ("cold_left_ms", b"0".to_vec()),
        ("seq", b"0".to_vec()),
        ("born", b"1700000000000".to_vec()),
    ]
}

fn spec_of(fields: &[(&str, Vec<u8>)]) -> Vec<u8> {
    let members = fields.iter().map(|(name, bytes)| {
        let mut member = format!("\"{name}\":").into_bytes();
        member.extend_from_slice(bytes);
        member
    });
    let members: Vec<Vec<u8>> = members.collect();
    [b"{".as_slice(), &members.join(&b","[..]), b"}"].concat()
}
