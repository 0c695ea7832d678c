//! Reports of hosts that share which servers fail: old, repeated, lost and full ones, and hosts that paused.

use rstest::rstest;
use tealcleat::fleet::ServerEntry;
use tealcleat::placement::ServerEvent;
use tealcleat::shared_health::{
    HealthEntry, HealthReport, INITIAL_PAUSE, MAX_ENTRIES, REPORT_TTL, ServerObservation,
    ServerStanding,
};

mod health_common;

use health_common::{
    HOSTS, HostGroup, at, group, group_excluding_first, key, plain_servers, report,
};

/// A late report does not exclude a server that has served again since.
#[test]
fn report_from_before_the_return_is_ignored() {
    let mut group = group_excluding_first();
    group.run(30, 540);
    let host = group.trying(at(540), 0)[0];
    group.observe(at(540), host, 0, ServerEvent::Served);
    group.run(540, 570);
    for from in [1, 4, 7] {
        let late = report(from, 90, &[(0, ServerObservation::BrokeOff, 100)]);
        group.deliver(at(570), 1, &late);
        group.deliver(at(570), 4, &late);
    }
    assert!(group.excluding(0).is_empty());
    assert!(!group.hosts[1].is_doubtful(at(570), key(0)));
}

/// Copies and reports that overtook each other change nothing.
#[test]
fn repeated_and_overtaken_reports_are_ignored() {
    let mut group = group(3);
    let failure = report(3, 1, &[(0, ServerObservation::BrokeOff, 0)]);
    let served = report(3, 2, &[(0, ServerObservation::Served, 0)]);
    for _ in 0..3 {
        group.deliver(at(0), 6, &failure);
    }
    assert!(group.hosts[6].is_doubtful(at(1), key(0)) && group.excluding(0).is_empty());
    group.deliver(at(5), 6, &served);
    group.deliver(at(10), 6, &failure);
    assert!(!group.hosts[6].is_doubtful(at(11), key(0)));
}

/// Each report is sent twice; 19 of 20 hosts learn of a server in spite of a loss of a tenth of the datagrams.
#[test]
fn lost_reports_are_made_up_for() {
    let mut group = HostGroup::new(71, plain_servers(3));
    group.loss_percent = 10;
    for host in [0, 3] {
        group.observe(at(0), host, 0, ServerEvent::BrokeOff);
    }
    group.run(0, 250);
    assert!(group.excluding(0).len() >= 67, "{}", group.excluding(0).len());
}

/// A host that does not receive the report of the return uses the server again after some time.
#[test]
fn exclusion_without_reports_lapses() {
    let mut group = group_excluding_first();
    group.run(30, 540);
    group.loss_percent = 100;
    let host = group.trying(at(540), 0)[0];
    group.observe(at(540), host, 0, ServerEvent::Served);
    group.run(540, 10_600);
    assert!(group.excluding(0).is_empty());
}

/// What a suspended host knew, and what waited in its socket, is out of date when it resumes.
#[test]
fn suspended_host_drops_what_it_knew() {
    let mut group = group_excluding_first();
    group.run(30, 100);
    let now = at(5_100);
    let waiting = report(3, 90, &[(1, ServerObservation::BrokeOff, 0)]);
    let other = report(0, 90, &[(1, ServerObservation::BrokeOff, 0)]);
    group.deliver(now, 6, &waiting);
    group.deliver(now, 6, &other);
    assert!(!group.excluding(0).contains(&6) && group.excluding(1).is_empty());
    group.observe(now, 6, 2, ServerEvent::Unresponsive);
    assert!(!group.hosts[6].is_doubtful(now, key(2)), "its own time-outs are no evidence either");
}

/// A host that gets no processor time for a while takes its own pause for the silence of servers.
#[test]
fn host_that_paused_reports_no_silence() {
    let mut group = group(3);
    group.run(0, 60);
    group.observe(at(400), 0, 0, ServerEvent::Unresponsive);
    assert!(!group.hosts[0].is_doubtful(at(400), key(0)));
    group.observe(at(400), 0, 0, ServerEvent::BrokeOff);
    assert!(group.hosts[0].is_doubtful(at(400), key(0)), "a connection that broke is evidence");
}

/// Doubt ends with the first answer, at all hosts.
#[test]
fn served_request_clears_the_doubt_of_all_hosts() {
    let mut group = group(3);
    group.observe(at(0), 0, 0, ServerEvent::Unresponsive);
    group.run(0, 200);
    assert!(group.hosts[8].is_doubtful(at(200), key(0)));
    group.observe(at(200), 3, 0, ServerEvent::Served);
    group.run(200, 220);
    assert!((0..HOSTS).all(|host| !group.hosts[host].is_doubtful(at(220), key(0))));
}

/// A server that restarted starts without reports, as its entry names another incarnation.
#[test]
fn restarted_server_starts_without_reports() {
    let mut group = group_excluding_first();
    let restarted = ServerEntry { started_at: Some(5), ..group.entry(0) };
    let known = key(0);
    let servers = vec![restarted.clone(), group.entry(1), group.entry(2)];
    group.fleet.replace_all(at(30), 2, servers);
    group.hosts[4].forget(known);
    let standings = group.standings(at(30), 4, None);
    assert_eq!(standings.of(restarted.key()), ServerStanding::Trusted);
    group.run(30, 100);
    assert!(group.excluding(0).is_empty(), "a tick drops what belongs to no entry");
}

/// The largest report stays below the size that all links carry in one packet.
#[test]
fn report_fits_into_a_datagram() {
    let entry = HealthEntry {
        server: key(1),
        observation: ServerObservation::Unresponsive,
        age_ms: REPORT_TTL.as_millis() as u16,
    };
    let report = HealthReport {
        from: tealcleat::keys::IncarnationId(u64::MAX),
        version: u32::MAX,
        entries: vec![entry; MAX_ENTRIES],
    };
    let config = bincode::config::standard();
    let bytes = bincode::serde::encode_to_vec(&report, config).expect("it can be encoded").len();
    assert!(bytes + 17 <= 1_200, "{bytes} bytes");
}

/// Guards against stale failures of a host that was cut off: once most of them have expired, the rest no longer looks
/// like its own fault, although the servers have answered it since.
#[test]
fn healed_host_reports_no_failures_that_answers_refuted() {
    let mut group = group(9);
    for (failed_at, end, servers) in [(0, 1_000, [0, 2, 3]), (1_000, 1_500, [5, 6, 8])] {
        for index in servers {
            for host in [1, 4] {
                group.observe(at(failed_at), host, index, ServerEvent::Unresponsive);
            }
        }
        group.run(failed_at, end);
    }
    for index in [0, 2, 3, 5, 6, 8] {
        for host in [1, 4] {
            group.observe(at(1_500), host, index, ServerEvent::Served);
        }
    }
    group.run(1_500, 2_100);
    for host in [1, 4] {
        group.observe(at(2_100), host, 7, ServerEvent::Unresponsive);
    }
    group.run(2_100, 2_200);
    for index in [5, 6, 8] {
        assert!(group.excluding(index).is_empty(), "server {index}");
    }
    assert!(!group.excluding(7).is_empty());
}

/// Guards against a trial failure that is lost on hosts whose exclusion began later: the report came on a slower way.
#[test]
fn failed_trial_counts_at_hosts_that_excluded_later() {
    let mut group = group(3);
    let failed = ServerObservation::BrokeOff;
    for from in [0, 3] {
        group.deliver(at(100), 6, &report(from, 1, &[(0, failed, 0)]));
    }
    // The trial host excluded the server at 0 ms and tried it when the pause ended.
    group.deliver(at(505), 6, &report(3, 2, &[(0, failed, 5)]));
    assert_eq!(group.hosts[6].trial_due_at(key(0)), Some(at(505) + INITIAL_PAUSE * 2));
}

/// Guards against exclusions that end because a report has no space for the failure any more.
#[test]
fn full_report_withdraws_nothing() {
    let mut group = group(2 * MAX_ENTRIES + 2);
    let failed = ServerObservation::Unresponsive;
    for from in [0, 3] {
        group.deliver(at(0), 6, &report(from, 1, &[(0, failed, 0)]));
    }
    let others: Vec<_> = (1..=MAX_ENTRIES).map(|index| (index, failed, 0)).collect();
    group.deliver(at(100), 6, &report(0, 2, &others));
    assert!(group.excluding(0).contains(&6));
}

/// Guards against a host without any server: its own breakers hold one back, and reports of others exclude the rest.
#[rstest]
#[case::one_of_the_others(1, ServerStanding::LastResort)]
#[case::none(9, ServerStanding::Excluded)]
fn servers_held_back_by_own_breakers_count_as_excluded(
    #[case] held_back: usize,
    #[case] expected: ServerStanding,
) {
    let group = group_excluding_first();
    let pool = group.fleet.ready(tealcleat::keys::NameKey::of("app"));
    let is_usable = |server: &ServerEntry| server.key() != key(held_back);
    let standings = group.hosts[1].standings(at(30), pool, is_usable, |_| Vec::new());
    assert_eq!(standings.of(key(0)), expected);
}

/// Guards against healthy servers that are excluded since callers left their requests too little time.
#[test]
fn requests_out_of_time_are_no_evidence() {
    let mut group = group(3);
    for host in [0, 3] {
        group.observe(at(0), host, 0, ServerEvent::OutOfTime);
    }
    group.run(0, 30);
    assert!(group.excluding(0).is_empty() && !group.hosts[0].is_doubtful(at(30), key(0)));
}
