//! What silence says of servers that stand still: reports of a pool of which all servers are silent, and their return.

use std::time::Duration;
use tealcleat::placement::ServerEvent;

mod health_common;

use health_common::{HostGroup, at, key, server};

const HOSTS: usize = 9;
const SERVERS: usize = 6;

/// A group whose hosts all find all servers silent, one server after the other.
fn group_with_silent_pool() -> HostGroup {
    let mut group = HostGroup::new(HOSTS, (0..SERVERS).map(|index| server(index, None)).collect());
    for index in 0..SERVERS {
        for host in 0..HOSTS {
            let now = at((index * 20 + host) as u64);
            group.observe(now, host, (index + host) % SERVERS, ServerEvent::Unresponsive);
            group.step(now);
        }
    }
    group.run(120, 300);
    group
}

/// Guards against hosts that take a pool away from their callers because all of its servers stand still.
#[test]
fn silent_pool_keeps_half_of_its_servers() {
    let group = group_with_silent_pool();
    for host in 0..HOSTS {
        let standings = group.standings(at(300), host, None);
        let admitted = (0..SERVERS).filter(|index| standings.admits(key(*index), false)).count();
        assert!(admitted >= SERVERS / 2, "host {host}: {admitted}");
    }
}

/// Guards against a server that stays excluded after it went on and answered a call that was kept.
#[test]
fn answer_of_a_kept_call_ends_the_exclusion_everywhere() {
    let mut group = HostGroup::new(HOSTS, (0..3).map(|index| server(index, None)).collect());
    group.observe(at(0), 0, 0, ServerEvent::Unresponsive);
    group.observe(at(10), 3, 0, ServerEvent::Unresponsive);
    group.run(10, 120);
    assert_eq!(group.excluding(0).len(), HOSTS);
    // Host 6 kept its call, and its turn for a trial has not come.
    group.observe(at(120), 6, 0, ServerEvent::Served);
    group.run(120, 130);
    assert!(group.excluding(0).is_empty());
    assert!(at(130) < at(10) + Duration::from_millis(250), "before any trial is due");
}
