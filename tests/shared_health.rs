//! Hosts that share which backend servers fail: each test brings one failure about.

use rstest::rstest;
use tealcleat::fleet::{ServerEntry, ServerStage};
use tealcleat::placement::ServerEvent;
use tealcleat::shared_health::{INITIAL_PAUSE, ServerObservation, ServerStanding};

mod health_common;

use health_common::{HOSTS, HostGroup, at, group, group_excluding_first, key, report, server};

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
