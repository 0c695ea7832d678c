//! Hosts that share which backend servers fail: each test brings one failure about.

use rstest::rstest;
use tealcleat::fleet::{ServerEntry, ServerStage};
use tealcleat::placement::ServerEvent;
use tealcleat::shared_health::{
    HealthEntry, HealthReport, INITIAL_PAUSE, MAX_ENTRIES, REPORT_TTL, ServerObservation,
    ServerStanding,
};

mod health_common;

use health_common::{
    HOSTS, HostGroup, at, group, group_excluding_first, incarnation, key, plain_servers, server,
};

fn report(from: usize, version: u32, entries: &[(usize, ServerObservation, u16)]) -> HealthReport {
    let entry = |(index, observation, age_ms): &(usize, ServerObservation, u16)| HealthEntry {
        server: key(*index),
        observation: *observation,
        age_ms: *age_ms,
    };
    HealthReport { from: incarnation(from), version, entries: entries.iter().map(entry).collect() }
}

/// Guards against a host that takes a server from all others by a fault of its own.
#[test]
fn one_reporter_makes_server_doubtful_only() {
    let mut group = group(3);
    for millis in 0..3_000 {
        group.observe(at(millis), 0, 0, ServerEvent::Unresponsive);
        group.step(at(millis));
        assert!(group.excluding(0).is_empty());
    }
    assert_eq!(group.standing(at(3_000), 5, 0), ServerStanding::Doubtful);
    let mut ranked: Vec<ServerEntry> = (0..3).map(|index| group.entry(index)).collect();
    let standings = group.standings(at(3_000), 5, None);
    standings.reorder(&mut ranked, true, true);
    assert_eq!(ranked[0].id, "i-0", "a repeatable request may find out");
    standings.reorder(&mut ranked, false, false);
    assert_eq!(ranked[2].id, "i-0", "a request that runs only once uses the others first");
}

/// Guards against each host failing at the server by itself.
#[test]
fn two_reporters_exclude_at_all_hosts_within_milliseconds() {
    let group = group_excluding_first();
    assert_eq!(group.excluding(0).len(), HOSTS);
    assert!(!group.standings(at(30), 7, None).admits(key(0), true));
    assert_eq!(group.hosts[3].trial_due_at(key(0)), Some(at(10) + INITIAL_PAUSE));
}

#[test]
fn reports_further_apart_than_their_lifetime_do_not_add_up() {
    let mut group = group(3);
    group.observe(at(0), 0, 0, ServerEvent::BrokeOff);
    group.run(0, 2_010);
    group.observe(at(2_010), 3, 0, ServerEvent::BrokeOff);
    group.run(2_010, 2_060);
    assert!(group.excluding(0).is_empty());
}

/// Guards against a broken link between two domains (a host's and a server's) that takes the server from a third one.
#[test]
fn reports_across_a_link_count_in_the_domain_of_the_reporters() {
    let mut group = group(3);
    group.cut.push((0, 1));
    for host in [1, 4] {
        group.observe(at(0), host, 0, ServerEvent::Unresponsive);
    }
    group.run(0, 30);
    assert_eq!(group.excluding(0), [1, 4, 7]);
    // The link is back. The domain that lost it makes the trial, since the server's own never excluded the server.
    group.cut.clear();
    let now = at(30) + INITIAL_PAUSE;
    let trying = group.trying(now, 0);
    assert_eq!(trying.len(), 1, "{trying:?}");
    assert!([1, 4, 7].contains(&trying[0]));
    group.observe(now, trying[0], 0, ServerEvent::Sent);
    group.observe(now, trying[0], 0, ServerEvent::Served);
    group.run(530, 560);
    assert!(group.excluding(0).is_empty());
}

/// The same if the reports arrive in the third domain; and a report of the server's own domain is no evidence about the link.
#[test]
fn broken_link_is_judged_by_its_own_side() {
    let mut group = group(3);
    let failed = [(0, ServerObservation::Unresponsive, 0)];
    for to in [2, 7] {
        for from in [1, 4] {
            group.deliver(at(0), to, &report(from, 1, &failed));
        }
    }
    assert_eq!(group.excluding(0), [7]);
    assert!(!group.hosts[2].is_doubtful(at(1), key(0)));
    group.deliver(at(600), 7, &report(0, 1, &[(0, ServerObservation::Served, 0)]));
    assert_eq!(group.excluding(0), [7]);
    group.deliver(at(600), 7, &report(1, 2, &[(0, ServerObservation::Served, 0)]));
    assert!(group.excluding(0).is_empty());
}

/// Answers that a server sent before it failed arrive after the failure, and show nothing.
#[rstest]
#[case::on_its_way(50, true)]
#[case::after_the_failure(100, false)]
fn answer_shows_a_return_only_after_a_delay(#[case] answer_ms: u64, #[case] doubtful: bool) {
    let mut group = group(3);
    group.observe(at(0), 0, 0, ServerEvent::BrokeOff);
    group.observe(at(answer_ms), 0, 0, ServerEvent::Served);
    assert_eq!(group.hosts[0].is_doubtful(at(answer_ms), key(0)), doubtful);
}

/// A domain is cut off: the others exclude its servers, and its hosts, for which most servers fail, exclude none.
#[test]
fn cut_off_domain_takes_no_servers_from_others() {
    let mut group = group(9);
    group.cut.extend([(0, 1), (0, 2)]);
    for index in 0..9 {
        let separated: Vec<usize> = (0..HOSTS).filter(|host| group.is_cut(*host, index)).collect();
        for host in separated {
            group.observe(at(index as u64), host, index, ServerEvent::Unresponsive);
        }
        group.step(at(index as u64));
    }
    group.run(9, 200);
    for index in 0..9 {
        let excluding = group.excluding(index);
        let expected: &[usize] = if index % 3 == 0 { &[1, 2, 4, 5, 7, 8] } else { &[] };
        assert_eq!(excluding, expected, "server {index}");
    }
}

/// Reports of a host whose connections all fail, while its datagrams arrive (it is out of file descriptors), do not count.
/// Two such hosts at a time would otherwise exclude one server after the other.
#[test]
fn hosts_that_see_all_servers_fail_are_not_counted() {
    let mut group = group(9);
    for index in 0..9 {
        for host in [0, 3] {
            group.observe(at(10 * index as u64), host, index, ServerEvent::Unresponsive);
        }
        group.run(10 * index as u64, 10 * index as u64 + 10);
    }
    group.run(90, 300);
    for index in 0..9 {
        assert!(group.excluding(index).is_empty(), "server {index}");
    }
    // They fall silent instead of sending reports that nobody counts.
    let sent = group.sent_count;
    for millis in 300..1_300 {
        for host in [0, 3] {
            group.observe(at(millis), host, millis as usize % 9, ServerEvent::Unresponsive);
        }
        group.step(at(millis));
    }
    assert_eq!(group.sent_count, sent);
}

/// The same for a host that does not notice it: its report contains more than half of the service.
#[test]
fn report_of_most_servers_is_not_counted() {
    let mut group = group(3);
    let failed = ServerObservation::Unresponsive;
    for from in [0, 3] {
        group.deliver(at(0), 6, &report(from, 1, &[(0, failed, 0)]));
    }
    assert_eq!(group.excluding(0), [6]);
    for from in [0, 3] {
        group.deliver(at(5), 6, &report(from, 2, &[(0, failed, 5), (1, failed, 0)]));
    }
    assert!(group.excluding(0).is_empty() && group.excluding(1).is_empty());
}

/// A quarter of 60 engines crashes at once: all of them are excluded, the others stay.
#[test]
fn crash_of_a_quarter_of_engines_excludes_just_these() {
    let stage = |index| {
        if index < 21 { ServerStage::Prefill } else { ServerStage::Decode }
    };
    let servers = (0..60).map(|index| server(index, Some(stage(index)))).collect();
    let mut group = HostGroup::new(71, servers);
    // Each host meets a few of the crashed engines in the next 300 ms.
    for millis in 0..300_u64 {
        let host = group.draw(71) as usize;
        let crashed = 4 * group.draw(15) as usize;
        if group.standing(at(millis), host, crashed) != ServerStanding::Excluded {
            group.observe(at(millis), host, crashed, ServerEvent::Unresponsive);
        }
        group.step(at(millis));
    }
    group.run(300, 400);
    let excluded = (0..60).filter(|index| group.excluding(*index).len() == 71);
    let expected: Vec<usize> = (0..15).map(|index| 4 * index).collect();
    assert_eq!(excluded.collect::<Vec<usize>>(), expected);
}

/// At most half of a pool is excluded, those with the most reports first; the rest is used after all others.
#[rstest]
#[case::only_server(1, &[0], 0, 0)]
#[case::one_of_two(2, &[0], 1, 0)]
#[case::one_of_three(3, &[0], 1, 0)]
#[case::two_of_three(3, &[0, 1], 1, 1)]
#[case::half_of_six(6, &[0, 1, 2], 3, 0)]
#[case::four_of_six(6, &[0, 1, 2, 3], 3, 1)]
fn excluded_servers_are_at_most_half(
    #[case] size: usize,
    #[case] failed: &[usize],
    #[case] expected: usize,
    #[case] last: usize,
) {
    let mut group = group(size);
    let observation = ServerObservation::Unresponsive;
    // No host reports more than half of the servers; all hosts that report are in the domain of the receiver.
    for (place, index) in failed.iter().enumerate() {
        for from in [900 + 3 * place, 1200 + 3 * place] {
            group.deliver(at(0), 3, &report(from, 1, &[(*index, observation, 0)]));
        }
    }
    let third = report(1500, 1, &[(*failed.last().expect("one"), observation, 0)]);
    group.deliver(at(0), 3, &third);
    let standings = group.standings(at(1), 3, None);
    let is = |standing| (0..size).filter(|index| standings.of(key(*index)) == standing).count();
    assert_eq!(is(ServerStanding::Excluded), expected);
    assert_eq!(is(ServerStanding::LastResort), last);
    if size > 1 {
        let most = standings.of(key(*failed.last().expect("one")));
        assert_eq!(most, ServerStanding::Excluded, "it has the most reports");
    }
}

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
