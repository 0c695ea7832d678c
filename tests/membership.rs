//! Membership among hundreds of hosts: targets of pushed updates, comparisons of tables, and reachable
//! domains.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tealcleat::keys::{IncarnationId, NameKey, TimePoint};
use tealcleat::membership::{
    MemberTable, MemberUpdate, ProbeKind, ProbeMessage, TableAction, ViewMark,
};

const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn address(host: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], host))
}

fn member(host: u16) -> MemberUpdate {
    let domain = NameKey::of(DOMAINS[usize::from(host) % DOMAINS.len()]);
    MemberUpdate::started(IncarnationId(host.into()), address(host), domain)
}

/// The table of host 1, which is in domain `b`, among `hosts` others.
fn table(hosts: u16) -> MemberTable {
    let mut table = MemberTable::new(member(1), Vec::new(), 7);
    let others: Vec<MemberUpdate> = (2..hosts + 2).map(member).collect();
    table.merge_all(at(0), &others);
    table
}

fn domains_of(orders: &[TableAction]) -> HashMap<usize, usize> {
    let mut counts = HashMap::new();
    for order in orders {
        if let TableAction::Send(address, _) = order {
            *counts.entry(usize::from(address.port()) % DOMAINS.len()).or_default() += 1;
        }
    }
    counts
}

/// Guards against pushes to random targets among 295 hosts: four of five datagrams, and of the views
/// fetched after them, would cross a failure domain.
#[test]
fn push_updates_stays_in_the_own_domain() {
    let counts = domains_of(&table(294).push_updates(3, 0));
    assert_eq!(counts, HashMap::from([(1, 3)]));
}

#[test]
fn push_updates_of_a_watcher_reaches_each_domain() {
    let counts = domains_of(&table(294).push_updates(3, 2));
    assert_eq!(counts, HashMap::from([(0, 2), (1, 3), (2, 2), (3, 2), (4, 2)]));
}

fn message_with_other_digest(sender: u16) -> ProbeMessage {
    ProbeMessage {
        sender: member(sender),
        sequence: 0,
        kind: ProbeKind::Ping,
        view: ViewMark::default(),
        digest: 99,
        updates: Vec::new(),
    }
}

fn compares(table: &mut MemberTable, now: TimePoint, sender: u16) -> bool {
    let orders = table.receive(now, &message_with_other_digest(sender));
    orders.iter().any(|order| matches!(order, TableAction::Compare(_)))
}

/// Guards against comparisons during a rolling restart of one host each second: tables then differ
/// temporarily without a fault, and a comparison costs 15 KB each way.
#[test]
fn receive_compares_no_tables_while_updates_arrive() {
    let mut table = table(100);
    let mut compared = 0;
    for second in 20..29 {
        let newcomer = 200 + u16::try_from(second).expect("small");
        table.merge_all(at(second * 1000), &[member(newcomer)]);
        compared += usize::from(compares(&mut table, at(second * 1000 + 500), 2));
    }
    assert_eq!(compared, 0);
    assert!(compares(&mut table, at(30_600), 2), "but it does not wait forever");
}

#[test]
fn receive_compares_tables_that_differ_without_updates() {
    let mut table = table(100);
    assert!(compares(&mut table, at(20_000), 2));
    assert!(!compares(&mut table, at(22_000), 3), "not again within 3 s");
    assert!(compares(&mut table, at(23_100), 3));
}

#[test]
fn receive_compares_tables_at_once_while_joining() {
    let mut table = table(4);
    assert!(compares(&mut table, at(100), 2));
}

/// Guards against a role held by a host of a lost failure domain: no host of such a domain is declared
/// dead, so its oldest host would stay elected without being reachable.
#[test]
fn reachable_excludes_a_silent_domain() {
    let mut table = table(49);
    let all = table.reachable(at(0)).count();
    assert_eq!(all, 50, "nothing was received from any host yet");
    for host in [2, 3] {
        table.record_received(at(1000), IncarnationId(host));
    }
    table.record_received(at(3500), IncarnationId(3));
    let reached: Vec<NameKey> = table.reachable(at(4200)).map(|member| member.domain).collect();
    assert!(!reached.contains(&NameKey::of("c")), "host 2 was last received 3.2 s ago");
    assert!(reached.contains(&NameKey::of("d")));
    assert!(reached.contains(&NameKey::of("b")), "the own domain always counts");
    assert_eq!(reached.len(), 40);
    assert_eq!(at(4200).since(at(1000)), Duration::from_millis(3200));
}

/// Guards against taking a host that no longer receives anything for one that has just learned of its neighbours.
#[test]
fn silent_for_counts_from_the_last_wanted_host() {
    let mut table = table(4);
    let all = |_host| true;
    let second = |host| host == IncarnationId(2);
    assert_eq!(table.silent_for(at(700), all), Some(Duration::from_millis(700)));
    table.record_received(at(1000), IncarnationId(3));
    assert_eq!(table.silent_for(at(1500), all), Some(Duration::from_millis(500)));
    assert_eq!(table.silent_for(at(1500), second), Some(Duration::from_millis(1500)));
    assert_eq!(table.silent_for(at(1500), |host| host == IncarnationId(99)), None);
    let lone = MemberTable::new(member(1), Vec::new(), 7);
    assert_eq!(lone.silent_for(at(1500), all), None, "there is no other host");
}
