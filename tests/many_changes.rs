//! News of more changes and loads than one datagram holds.

use std::time::Duration;
use tealcleat::bench::site::{SitePlan, TestSite};
use tealcleat::fleet::ServerStage;
use tealcleat::keys::{NameKey, ServerKey};
use tealcleat::placement::{LoadBoard, ServerLoad};

mod site_common;

use site_common::runtime;

fn server(place: u64) -> ServerKey {
    NameKey::of(&format!("i-{place}"))
}

/// Pattern: hundreds of engines of a large fleet are ordered to change their stage at once. In one datagram the news was
/// cut off at its end, and every host refused it.
#[test]
fn hundreds_of_changes_reach_another_host() {
    const CHANGES: u64 = 450;
    runtime().block_on(async {
        let plan = SitePlan { hosts: 2, ..SitePlan::default() };
        let site = TestSite::start(plan).await.expect("a site");
        let mut known = 0;
        while known < CHANGES as usize {
            for place in 0..CHANGES {
                let mut state = site.hosts[0].host.state();
                state.changes.note_ordered(server(place), ServerStage::Decode);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
            let host = &site.hosts[1].host;
            known = host.state().changes.heard(host.now()).count();
        }
    });
}

#[test]
fn heaviest_loads_are_told_first() {
    let mut board = LoadBoard::default();
    for place in 0..300 {
        let memory_tokens = 1_000 + place as u32;
        board
            .add(server(place), ServerLoad { requests: 1, memory_tokens, ..ServerLoad::default() });
    }
    assert_eq!(board.own_heaviest(1_000).len(), 300);
    let told = board.own_heaviest(128);
    assert_eq!(told.len(), 128);
    assert!(told.iter().all(|(_, load)| load.memory_tokens >= 1_172));
}
