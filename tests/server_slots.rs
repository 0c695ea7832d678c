//! Places at small plain services: who gets one, who waits, who is refused, and what happens when a host, an owner or a
//! message is lost.

use rstest::rstest;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tealcleat::fleet::StageChanges;
use tealcleat::keys::{IncarnationId, NameKey, ServerKey};
use tealcleat::peers::seal_datagram;
use tealcleat::placement::{
    DomainBreakers, LoadTable, RankingContext, RankingCriterion, rank_servers,
};
use tealcleat::server_slots::{
    PlaceDecision, PlaceEnd, PlaceNeed, PlaceOrder, PlaceRelease, PlaceReply, PlaceRequest,
    ServiceTimes, SlotAccount, SlotControl, SlotMessage,
};

mod place_common;
mod slot_common;

use place_common::{
    HOST, OTHER_HOST, OWNER, SERVER, SERVICE_TIME, SLOTS, at, full_account, rank, release, request,
};
use slot_common::server;

/// Guards against more requests at a server than its slots and the queue, and against callers that return too early.
#[test]
fn request_beyond_places_refused_with_time_of_next_place() {
    let mut account = full_account(at(100));
    let decision = account.receive(at(100), &request(HOST, 50));
    assert_eq!(decision, Some(PlaceDecision::Busy { wait_ms: 5, service_ms: 30 }));
}

/// A place is about to be free in 5 ms; the fourth request would wait for 20 ms.
#[test]
fn request_waits_if_place_is_near() {
    let mut account = full_account(at(100));
    for sequence in 50..53 {
        let near = PlaceRequest { wait_ms: 18, ..request(OTHER_HOST, sequence) };
        assert_eq!(account.receive(at(100), &near), None);
    }
    let fourth = PlaceRequest { wait_ms: 18, ..request(OTHER_HOST, 53) };
    let decision = account.receive(at(100), &fourth);
    assert_eq!(decision, Some(PlaceDecision::Busy { wait_ms: 20, service_ms: 30 }));
    assert!(account.poll(at(117), OWNER).is_empty());
    let refused = account.poll(at(118), OWNER);
    assert_eq!(refused.len(), 3);
    assert!(refused.iter().all(|(_, r)| matches!(r.decision, PlaceDecision::Busy { .. })));
}

/// Guards against urgent requests, and those that cannot be sent to a second server, that wait behind others.
#[test]
fn freed_places_go_to_urgent_then_once_only_requests() {
    let mut account = full_account(at(100));
    for (sequence, priority, is_repeatable) in [(50, 2, false), (51, 1, true), (52, 1, false)] {
        let order = PlaceOrder { rank: rank(priority), is_repeatable };
        let waiter = PlaceRequest { wait_ms: 40, order, ..request(OTHER_HOST, sequence) };
        assert_eq!(account.receive(at(100), &waiter), None);
    }
    let granted: Vec<u32> = (0..3)
        .flat_map(|sequence| {
            account.release(at(105), &release(HOST, sequence, PlaceEnd::Served));
            account.poll(at(105), OWNER)
        })
        .map(|(host, reply)| {
            assert_eq!((host, reply.decision), (OTHER_HOST, PlaceDecision::Granted));
            reply.sequence
        })
        .collect();
    assert_eq!(granted, [52, 51, 50]);
}

/// Guards against repeatable requests that get nothing while once-only ones alone exceed the capacity.
#[test]
fn freed_places_go_to_every_second_repeatable_request_as_to_once_only_ones() {
    let mut account = full_account(at(100));
    for (sequence, is_repeatable) in [(50, true), (51, true), (52, false)] {
        let order = PlaceOrder { rank: rank(1), is_repeatable };
        let waiter = PlaceRequest { wait_ms: 40, order, ..request(OTHER_HOST, sequence) };
        assert_eq!(account.receive(at(100), &waiter), None);
    }
    let granted: Vec<u32> = (0..3)
        .flat_map(|sequence| {
            account.release(at(105), &release(HOST, sequence, PlaceEnd::Served));
            account.poll(at(105), OWNER)
        })
        .map(|(_, reply)| reply.sequence)
        .collect();
    assert_eq!(granted, [51, 52, 50]);
}

/// A request waits at the owner as long as its caller has time and the owner decides; its objective does not matter.
#[rstest]
#[case::much_time(1000, 40)]
#[case::little_time(25, 25)]
fn request_waits_as_long_as_its_caller_has_time(#[case] left_ms: u64, #[case] wait_ms: u16) {
    let order = PlaceOrder { rank: rank(1), is_repeatable: false };
    let need = PlaceNeed { order, time_left: Duration::from_millis(left_ms) };
    let mut control = SlotControl::default();
    assert_eq!(control.place_request(at(0), HOST, SERVER, &need, true).wait_ms, wait_ms);
    assert_eq!(control.place_request(at(0), HOST, SERVER, &need, false).wait_ms, 0);
}

/// Queueing at the server is useless for a request whose deadline is near: it gets a slot or nothing.
#[test]
fn near_deadline_gets_no_queue() {
    let mut account = SlotAccount::new(at(0), SLOTS, Some(SERVICE_TIME));
    let near = |sequence| PlaceRequest { left_ms: 60, ..request(HOST, sequence) };
    for sequence in 0..SLOTS {
        assert_eq!(account.receive(at(100), &near(sequence)), Some(PlaceDecision::Granted));
    }
    assert_ne!(account.receive(at(100), &near(50)), Some(PlaceDecision::Granted));
    assert_eq!(account.receive(at(100), &request(HOST, 51)), Some(PlaceDecision::Granted));
}

/// A rejection shows more requests at the server than the owner knows of; it grants again once they have left.
#[test]
fn rejection_stops_grants_for_a_service_time() {
    let mut account = SlotAccount::new(at(0), SLOTS, Some(SERVICE_TIME));
    account.record_rejection(at(100));
    assert_ne!(account.receive(at(120), &request(HOST, 1)), Some(PlaceDecision::Granted));
    assert_eq!(account.receive(at(131), &request(HOST, 2)), Some(PlaceDecision::Granted));
}

/// Requests that were sent without places, by hosts that did not know that the server is contended, take room.
#[test]
fn reported_requests_without_places_count() {
    let mut account = SlotAccount::new(at(0), SLOTS, Some(SERVICE_TIME));
    let report = PlaceRequest { unplaced: 11, ..request(OTHER_HOST, 1) };
    assert_eq!(account.receive(at(100), &report), Some(PlaceDecision::Granted));
    assert_ne!(account.receive(at(101), &request(HOST, 1)), Some(PlaceDecision::Granted));
    assert_eq!(account.receive(at(131), &request(HOST, 2)), Some(PlaceDecision::Granted));
}

/// Guards against hosts that request places long after a shortage, or return to outdated loads too early.
#[test]
fn server_contended_for_two_seconds_after_rejection() {
    let mut control = SlotControl::default();
    assert!(!control.needs_place(at(0), SERVER, 3, SLOTS, 0));
    control.record_rejection(at(0), SERVER);
    assert!(control.needs_place(at(1999), SERVER, 3, SLOTS, 0));
    assert!(!control.needs_place(at(2000), SERVER, 3, SLOTS, 0));
}

/// Known load makes a server contended only where hosts outnumber its slots.
#[rstest]
#[case(6, 20, false)]
#[case(7, 9, false)]
#[case(7, 10, true)]
fn load_over_slots_makes_contended(
    #[case] hosts: usize,
    #[case] load: u32,
    #[case] expected: bool,
) {
    let mut control = SlotControl::default();
    assert_eq!(control.needs_place(at(0), SERVER, hosts, SLOTS, load), expected);
}

/// The places of requests that run longer than a second would expire while they are in use. Guards also against a random
/// choice where the known loads are fresh enough.
#[test]
fn slow_server_left_alone() {
    let mut control = SlotControl::default();
    control.record_rejection(at(0), SERVER);
    assert!(control.needs_random_choice(at(1), SERVER, 3, SLOTS));
    control.service_times.record(at(0), SERVER, Duration::from_secs(1));
    assert!(!control.needs_place(at(1), SERVER, 71, SLOTS, 30));
    assert!(!control.needs_random_choice(at(1), SERVER, 71, SLOTS));
}

/// Guards against a wait for the reply of a dead owner by each request.
#[test]
fn silent_owner_not_asked_again_for_two_seconds() {
    let mut control = SlotControl::default();
    control.record_silence(at(0), SERVER);
    control.record_rejection(at(1000), SERVER);
    assert!(!control.needs_place(at(1999), SERVER, 71, SLOTS, 0));
    assert!(control.needs_place(at(2000), SERVER, 71, SLOTS, 0));
}

/// Callers that are refused together do not return together.
#[test]
fn refused_callers_return_spread_over_service_times() {
    let pause = |draw| SlotControl::return_pause(Duration::from_millis(10), SERVICE_TIME, draw);
    assert_eq!(pause(0.0), Duration::from_millis(40));
    assert_eq!(pause(1.0), Duration::from_millis(130));
}

/// Of servers without known load, each gets requests in proportion to its slots and its speed.
#[test]
fn uncontended_servers_chosen_by_slots_and_speed() {
    let mut servers = [server("plain"), server("wide"), server("fast")];
    servers[1].slots *= 2;
    let keys: Vec<ServerKey> = servers.iter().map(tealcleat::fleet::ServerEntry::key).collect();
    let mut control = SlotControl::default();
    for (key, millis) in keys.iter().zip([50, 50, 25]) {
        control.service_times.record(at(0), *key, Duration::from_millis(millis));
    }
    let slots: Vec<_> = servers.iter().map(|server| (server.key(), server.slots)).collect();
    let weights = control.weights(&slots);
    let mut chosen: HashMap<String, u32> = HashMap::new();
    for salt in 0..4000 {
        let context = RankingContext {
            loads: &LoadTable::default(),
            health: &HashMap::new(),
            domains: &DomainBreakers::default(),
            stage_changes: &StageChanges::default(),
            connected: &HashSet::new(),
            local_domain: NameKey::of("a"),
            remote_penalty: 0.0,
            relative_paces: None,
            weights: Some(&weights),
            salt,
        };
        let ranked = rank_servers(at(0), &context, RankingCriterion::Requests, servers.iter());
        *chosen.entry(ranked[0].id.clone()).or_default() += 1;
    }
    let expected = [("plain", 800), ("wide", 1600), ("fast", 1600)];
    for (id, expected) in expected {
        assert!(chosen[id].abs_diff(expected) < 150, "{chosen:?}");
    }
}

/// A few slow answers do not exclude a server.
#[test]
fn speed_is_bounded() {
    let mut times = ServiceTimes::default();
    times.record(at(0), SERVER, Duration::from_secs(5));
    times.record(at(0), NameKey(8), Duration::from_millis(1));
    times.record(at(0), NameKey(9), Duration::from_millis(1));
    let servers = [SERVER, NameKey(8), NameKey(9)];
    assert_eq!(times.speeds(&servers), [0.5, 2.0, 2.0]);
}

/// The figures of the design note on bytes a second rest on these sizes, which include the signature.
#[test]
fn messages_are_small() {
    let incarnation = IncarnationId(u64::MAX >> 1);
    let server = NameKey(u64::MAX);
    let released = vec![1_000_000; 8];
    let (sequence, unplaced) = (1_000_000, 3);
    let largest = PlaceRequest {
        from: incarnation,
        server,
        sequence,
        released,
        unplaced,
        ..request(HOST, 1)
    };
    let usual = PlaceRequest { released: vec![1_000_000; 2], ..largest.clone() };
    let release = PlaceRelease { server, ..release(incarnation, sequence, PlaceEnd::Served) };
    let contended = SlotMessage::Contended { from: incarnation, server, remaining_ms: 2000 };
    let rejected = SlotMessage::Rejected { from: incarnation, server };
    let decision = PlaceDecision::Busy { wait_ms: 1000, service_ms: 1000 };
    let reply = SlotMessage::Reply(PlaceReply { from: incarnation, sequence, decision });
    let messages = [
        SlotMessage::Request(largest),
        SlotMessage::Request(usual),
        SlotMessage::Release(release),
        contended,
        reply,
        rejected,
    ];
    let sizes = messages.map(|message| seal_datagram("a-key", &message).expect("bytes").len());
    println!("{sizes:?}");
    assert!(
        sizes.iter().zip([100, 70, 50, 50, 50, 50]).all(|(size, most)| *size <= most),
        "{sizes:?}"
    );
}
