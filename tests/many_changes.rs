//! Updates with more changes and loads than fit into one datagram.

use std::time::Duration;
use tealcleat::bench::site::{SitePlan, TestSite};
use tealcleat::fleet::ServerStage;
use tealcleat::keys::{NameKey, ServerKey};
use tealcleat::placement::{LoadTable, ServerLoad};

mod site_common;

use site_common::runtime;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn server(index: u64) -> ServerKey {
    NameKey::of(&format!("i-{index}"))
}

const CHANGES: u64 = 450;
/// Limit of polls, one minute, after which a test fails with what it waited for.
const MAX_POLLS: usize = 3000;

/// A site with two daemons, the first of which orders the changes.
async fn ordering_site() -> TestSite {
    let plan = SitePlan { hosts: 2, ..SitePlan::default() };
    TestSite::start(plan).await.expect("a site")
}

/// Records the orders again: a daemon drops them if it is not the one that gives orders or does not find the engines.
fn record_orders(site: &TestSite) {
    let mut state = site.hosts[0].host.state();
    for index in 0..CHANGES {
        state.stage_changes.record_order(server(index), ServerStage::Decode);
    }
}

/// Describes what a test waited for when it timed out.
fn waiting(site: &TestSite, known: usize) -> String {
    let hosts = &site.hosts;
    let ordered = hosts[0].host.state().stage_changes.ordered().count();
    let met: Vec<usize> =
        hosts.iter().map(|host| host.host.state().members.records().count()).collect();
    format!("{known} known of {ordered} ordered; hosts met by each: {met:?}")
}

/// Guards against changes that are lost in a truncated datagram or never sent. If hundreds of engines of a large fleet are
/// ordered to change their stage at once, one datagram with all of them is too long, and every host rejects it.
#[test]
fn hundreds_of_changes_reach_another_host() {
    runtime().block_on(async {
        let site = ordering_site().await;
        let (mut known, mut polls) = (0, 0);
        while known < CHANGES as usize {
            polls += 1;
            assert!(polls < MAX_POLLS, "{}", waiting(&site, known));
            record_orders(&site);
            site.hosts[0].host.broadcast_notices();
            tokio::time::sleep(POLL_INTERVAL).await;
            let host = &site.hosts[1].host;
            known = host.state().stage_changes.announced(host.now()).count();
        }
    });
}

/// Guards against loads that are lost because of the changes in the same update.
#[test]
fn loads_are_sent_with_hundreds_of_changes() {
    runtime().block_on(async {
        let site = ordering_site().await;
        let load = ServerLoad { requests: 1, ..ServerLoad::default() };
        let (mut known, mut polls) = (0, 0);
        while known == 0 {
            polls += 1;
            assert!(polls < MAX_POLLS, "{}", waiting(&site, known as usize));
            record_orders(&site);
            site.hosts[0].host.state().server_loads.add(server(CHANGES), load);
            tokio::time::sleep(POLL_INTERVAL).await;
            known = site.hosts[1].host.state().server_loads.total(server(CHANGES)).requests;
        }
    });
}

#[test]
fn heaviest_loads_are_sent_first() {
    let mut board = LoadTable::default();
    for index in 0..300 {
        let memory_tokens = 1_000 + index as u32;
        board
            .add(server(index), ServerLoad { requests: 1, memory_tokens, ..ServerLoad::default() });
    }
    assert_eq!(board.heaviest_own(1_000).len(), 300);
    let sent = board.heaviest_own(128);
    assert_eq!(sent.len(), 128);
    assert!(sent.iter().all(|(_, load)| load.memory_tokens >= 1_172));
}
