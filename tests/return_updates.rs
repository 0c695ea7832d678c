//! What hosts tell each other of return times: updates that are lost, late or repeated, hosts and servers that are dead.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::collections::VecDeque;
use std::time::Duration;
use tealcleat::keys::{IncarnationId, NameKey, RequestKey, TimePoint};
use tealcleat::peers::seal_datagram;
use tealcleat::return_times::{
    RefusalCause, ReturnBasis, ReturnCalendar, ReturnRequest, ReturnUpdate,
};
use tealcleat::server_limits::CallRank;

mod return_common;

use return_common::{OTHER, record_second, request, short_calendar};

/// The update of a host at `now` for one other host.
fn update_of(calendar: &mut ReturnCalendar, from: IncarnationId, now: TimePoint) -> ReturnUpdate {
    let (update, targets) = calendar.next_update(now, from, 1).expect("an update");
    assert_eq!(targets, [0]);
    update
}

/// Guards against capacity that is counted at a host that has died, and against the loss of its promises, which its
/// callers keep.
#[test]
fn dead_host_forgotten_but_its_promises_kept() {
    let (now, mut dead) = short_calendar(20);
    let promised = request(5, RefusalCause::NoMemory);
    let at = now + dead.promise(now, &promised).pause;
    let update = update_of(&mut dead, OTHER, now);
    let mut calendar = ReturnCalendar::default();
    for second in 0..12 {
        record_second(&mut calendar, second * 1000, 2, 2, 0);
    }
    calendar.apply(now, &update);
    let heard = ReturnRequest { neighbours: 1, ..request(6, RefusalCause::NoMemory) };
    let second_later = now + Duration::from_millis(1200);
    assert_ne!(calendar.promise(second_later, &heard).basis, ReturnBasis::Usual);
    let expired = now + Duration::from_millis(1600);
    let unheard = ReturnRequest { key: RequestKey(8), ..heard };
    assert_eq!(calendar.promise(expired, &unheard).basis, ReturnBasis::Usual);
    assert!(calendar.is_return(at, promised.key));
}

/// Guards against a host behind a cut that keeps the constant pause after the others are no longer members.
#[test]
fn partitioned_host_uses_its_own_figures() {
    let (now, mut calendar) = short_calendar(20);
    let time = calendar.promise(now, &request(1, RefusalCause::NoMemory));
    assert_eq!((time.basis, time.granted), (ReturnBasis::Free, 30));
}

/// Guards against a promise that is lost with one update, or moved to a later time by a late one.
#[test]
fn lost_late_and_repeated_updates_harmless() {
    let (now, mut sender) = short_calendar(20);
    let promised = request(5, RefusalCause::NoMemory);
    let at = now + sender.promise(now, &promised).pause;
    let lost = update_of(&mut sender, OTHER, now);
    let round = Duration::from_millis(250);
    let next = (1..4)
        .map(|index| now + round * index)
        .find_map(|sent_at| Some((sent_at, sender.next_update(sent_at, OTHER, 1)?)));
    let (sent_at, (next, _)) = next.expect("a further update without new promises");
    let mut calendar = ReturnCalendar::default();
    calendar.apply(sent_at + round, &next);
    assert!(calendar.is_return(at, promised.key));
    calendar.apply(sent_at + round * 2, &lost);
    assert!(calendar.is_return(at, promised.key));
    assert!(!calendar.is_return(at + Duration::from_millis(1400), promised.key));
}

/// Guards against returns that are promised the memory of a dead server: a second later, its grants are not counted.
#[test]
fn dead_server_lowers_the_capacity() {
    let (_, mut calendar) = short_calendar(20);
    record_second(&mut calendar, 12_000, 20, 10, 10);
    let time =
        calendar.promise(TimePoint::from_millis(12_990), &request(1, RefusalCause::NoMemory));
    assert_eq!((time.basis, time.granted), (ReturnBasis::LeastDemand, 10));
}

/// Guards against a host that decides by figures and promises from before a gap in its own clock.
#[test]
fn suspended_host_starts_with_the_usual_pause() {
    let (now, mut calendar) = short_calendar(20);
    let promised = request(5, RefusalCause::NoMemory);
    calendar.promise(now, &promised);
    let resumed = now + Duration::from_secs(30);
    calendar.record_refusal(resumed, promised.service, promised.rank);
    let time = calendar.promise(resumed, &request(6, RefusalCause::NoMemory));
    assert_eq!((time.basis, time.promised), (ReturnBasis::Usual, 0));
    assert!(!calendar.is_return(resumed, promised.key));
}

/// Guards against an update that does not fit into a datagram, and so reaches nobody.
#[test]
fn update_of_many_promises_and_ranks_within_its_size() {
    let mut calendar = ReturnCalendar::default();
    let now = TimePoint::from_millis(1000);
    for index in 0..500_u64 {
        let rank = CallRank::new(index as u8 % 8, 255);
        let key = u64::MAX - index;
        calendar.record_arrival(now, NameKey(u64::MAX), rank, RequestKey(index));
        calendar.record_refusal(now, NameKey(u64::MAX - index % 3), rank);
        let request = request(key, RefusalCause::NoMemory);
        calendar.promise(now, &ReturnRequest { rank, ..request });
    }
    let update = update_of(&mut calendar, IncarnationId(u64::MAX), now);
    let bytes = seal_datagram("key", &update).expect("a datagram").len();
    assert!((900..=1200).contains(&bytes), "{bytes} bytes");
    // Those that did not fit go into the next updates.
    let next = update_of(&mut calendar, IncarnationId(u64::MAX), now);
    assert!(next.promises.iter().all(|entry| !update.promises.contains(entry)));
}

/// 100 refusals a second over 71 hosts are 34 a second in a domain of 24. Guards against promises that arrive after their
/// callers, and against updates that use much of a host's link.
#[rstest]
#[case::hosts_71(24, 99, 3000)]
#[case::hosts_300(100, 95, 11_500)]
#[case::hosts_1000(334, 35, 15_000)]
fn promises_known_in_the_domain_within_a_second(
    #[case] count: usize,
    #[case] percent: usize,
    #[case] max_bytes: usize,
) {
    let mut hosts: Vec<ReturnCalendar> = (0..count).map(|_| ReturnCalendar::default()).collect();
    let mut random = StdRng::seed_from_u64(1);
    let mut promises: VecDeque<(u64, TimePoint, RequestKey)> = VecDeque::new();
    let (mut sent_bytes, mut refusals, mut all, mut known) = (0, 0.0, 0, 0);
    for ms in (0..5000_u64).step_by(10) {
        let now = TimePoint::from_millis(ms);
        refusals += 1.4 * count as f64 / 100.0;
        while refusals >= 1.0 {
            refusals -= 1.0;
            let request = request(random.random(), RefusalCause::NoMemory);
            let host = &mut hosts[random.random_range(0..count)];
            host.record_refusal(now, request.service, request.rank);
            let pause = host.promise(now, &request).pause;
            promises.push_back((ms, now + pause, request.key));
        }
        for from in (0..count).filter(|host| (ms / 10 + *host as u64).is_multiple_of(25)) {
            let incarnation = IncarnationId(u64::MAX - from as u64);
            let Some((update, targets)) = hosts[from].next_update(now, incarnation, count - 1)
            else {
                continue;
            };
            let bytes = seal_datagram("key", &update).expect("a datagram").len();
            assert!(bytes <= 1200, "{bytes} bytes");
            sent_bytes += bytes * targets.len();
            for target in targets.into_iter().filter(|_| random.random_bool(0.95)) {
                hosts[(from + 1 + target) % count].apply(now, &update);
            }
        }
        while let Some((_, at, key)) = promises.pop_front_if(|(made_at, ..)| *made_at + 1000 <= ms)
        {
            all += count;
            known += hosts.iter().filter(|host| host.is_return(at, key)).count();
        }
    }
    let per_host = sent_bytes / count / 5;
    println!("{count} hosts: {known} of {all} known, {per_host} bytes a second from each host");
    assert!(known * 100 >= all * percent);
    assert!(per_host <= max_bytes, "{per_host} bytes a second");
}
