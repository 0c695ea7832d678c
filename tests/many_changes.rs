//! News of more changes and loads than one datagram holds.

use std::time::Duration;
use tealcleat::bench::site::{SitePlan, TestSite};
use tealcleat::fleet::ServerStage;
use tealcleat::keys::{NameKey, ServerKey};
use tealcleat::placement::{LoadTable, ServerLoad};

mod site_common;

use site_common::runtime;

const LOOK: Duration = Duration::from_millis(20);

fn server(place: u64) -> ServerKey {
    NameKey::of(&format!("i-{place}"))
}

const CHANGES: u64 = 450;
/// A minute of looks ends a test that would not end, with what it waited for.
const MOST_LOOKS: usize = 3000;

/// Two daemons, the first of which has ordered hundreds of changes.
async fn ordering_site() -> TestSite {
    let plan = SitePlan { hosts: 2, ..SitePlan::default() };
    TestSite::start(plan).await.expect("a site")
}

/// Orders the changes again: a daemon that does not give the orders forgets them, and so does one that finds no engine there.
fn record_order(site: &TestSite) {
    let mut state = site.hosts[0].host.state();
    for place in 0..CHANGES {
        state.changes.record_order(server(place), ServerStage::Decode);
    }
}

/// What a test that does not end waited for.
fn waiting(site: &TestSite, known: usize) -> String {
    let hosts = &site.hosts;
    let ordered = hosts[0].host.state().changes.ordered().count();
    let met: Vec<usize> =
        hosts.iter().map(|host| host.host.state().members.records().count()).collect();
    format!("{known} known of {ordered} ordered; hosts met by each: {met:?}")
}

/// Guards against news that stand in a part of a datagram which is cut off, or in one that is never told. Pattern: hundreds of
/// engines of a large fleet are ordered to change their stage at once; every host refused the one datagram.
#[test]
fn hundreds_of_changes_reach_another_host() {
    runtime().block_on(async {
        let site = ordering_site().await;
        let (mut known, mut looks) = (0, 0);
        while known < CHANGES as usize {
            looks += 1;
            assert!(looks < MOST_LOOKS, "{}", waiting(&site, known));
            record_order(&site);
            site.hosts[0].host.tell_everyone();
            tokio::time::sleep(LOOK).await;
            let host = &site.hosts[1].host;
            known = host.state().changes.announced(host.now()).count();
        }
    });
}

/// Guards against loads that are lost with the changes which their news name.
#[test]
fn loads_are_told_beside_hundreds_of_changes() {
    runtime().block_on(async {
        let site = ordering_site().await;
        let load = ServerLoad { requests: 1, ..ServerLoad::default() };
        let (mut known, mut looks) = (0, 0);
        while known == 0 {
            looks += 1;
            assert!(looks < MOST_LOOKS, "{}", waiting(&site, known as usize));
            record_order(&site);
            site.hosts[0].host.state().board.add(server(CHANGES), load);
            tokio::time::sleep(LOOK).await;
            known = site.hosts[1].host.state().board.total(server(CHANGES)).requests;
        }
    });
}

#[test]
fn heaviest_loads_are_told_first() {
    let mut board = LoadTable::default();
    for place in 0..300 {
        let memory_tokens = 1_000 + place as u32;
        board
            .add(server(place), ServerLoad { requests: 1, memory_tokens, ..ServerLoad::default() });
    }
    assert_eq!(board.heaviest_own(1_000).len(), 300);
    let told = board.heaviest_own(128);
    assert_eq!(told.len(), 128);
    assert!(told.iter().all(|(_, load)| load.memory_tokens >= 1_172));
}
