//! Places at small plain services when a host, an owner or a message is lost, or comes twice.

use rstest::rstest;
use std::time::Duration;
use tealcleat::server_slots::{
    PlaceDecision, PlaceEnd, PlaceNeed, PlaceOrder, PlaceRelease, PlaceRequest, SlotAccount,
    SlotControl,
};

mod place_common;

use place_common::{
    HOST, OTHER_HOST, OWNER, PLACES, SERVER, SERVICE_TIME, SLOTS, at, full_account, rank, release,
    request,
};

/// A host that died holds its places for about a second at most, with any service time.
#[rstest]
#[case(30)]
#[case(5000)]
fn places_of_dead_host_expire(#[case] service_ms: u64) {
    let mut account = SlotAccount::new(at(0), SLOTS, Some(SERVICE_TIME));
    let mut now = at(0);
    for sequence in 100..200 {
        account.receive(now, &request(HOST, sequence));
        now = now + Duration::from_millis(service_ms);
        let held_ms = u16::try_from(service_ms).expect("a short time");
        let served = release(HOST, sequence, PlaceEnd::Served);
        account.release(now, &PlaceRelease { held_ms, ..served });
    }
    for sequence in 0..SLOTS {
        account.receive(now, &request(HOST, sequence));
    }
    assert!(account.service_time().abs_diff(Duration::from_millis(service_ms)) < SERVICE_TIME);
    assert_eq!(account.in_use(now) as u32, SLOTS);
    assert_eq!(account.in_use(now + Duration::from_millis(1001)) as u32, 0);
}

/// A new owner does not know what its predecessor granted, which has left after one mean service time.
#[test]
fn new_owner_learns_for_one_service_time() {
    let grant_all = |now| {
        let mut account = SlotAccount::new(at(0), SLOTS, Some(SERVICE_TIME));
        let requests = (0..PLACES).map(|sequence| request(HOST, sequence));
        requests
            .filter(|request| account.receive(now, request) == Some(PlaceDecision::Granted))
            .count()
    };
    assert_eq!(grant_all(at(0)), 6);
    assert_eq!(grant_all(at(15)), 9);
    assert_eq!(grant_all(at(30)), 12);
}

/// Guards against an owner that grants by what it knew before another one replaced it.
#[test]
fn suspended_owner_forgets_what_it_granted() {
    let mut control = SlotControl::default();
    control.receive(at(0), &request(HOST, 1), SLOTS);
    control.expire(at(100), |_| true);
    assert!(control.ledger.get(SERVER).is_some());
    control.expire(at(1000), |_| true);
    assert!(control.ledger.get(SERVER).is_none());
}

/// Messages that arrived during a suspension are handled before the next check. Guards against grants to requests that
/// waited before the suspension, and against a host that takes all places for free though another one granted some.
#[test]
fn suspended_owner_decides_as_a_new_one() {
    let mut control = SlotControl::default();
    control.expire(at(0), |_| true);
    let waiting = |sequence| PlaceRequest { wait_ms: 40, ..request(HOST, sequence) };
    let decisions = (0..PLACES).map(|sequence| control.receive(at(10), &waiting(sequence), SLOTS));
    assert!(decisions.collect::<Vec<_>>().contains(&None));
    assert!(control.poll(at(2000), OWNER).is_empty());
    let granted = (20..40).filter(|sequence| {
        let decision = control.receive(at(2000), &request(HOST, *sequence), SLOTS);
        decision == Some(PlaceDecision::Granted)
    });
    assert_eq!(granted.count() as u32, PLACES - SLOTS);
}

/// Guards against two owners that both grant the places of a server.
#[test]
fn account_dropped_with_its_ownership() {
    let mut control = SlotControl::default();
    control.receive(at(0), &request(HOST, 1), SLOTS);
    control.expire(at(100), |_| false);
    assert!(control.ledger.get(SERVER).is_none());
}

/// Guards against a place that stays in use until it expires because one message was lost.
#[test]
fn lost_release_repeated_with_next_request() {
    let mut account = full_account(at(100));
    let mut control = SlotControl::default();
    control.release(at(110), HOST, SERVER, 3, (PlaceEnd::Served, SERVICE_TIME));
    let need = PlaceNeed {
        order: PlaceOrder { rank: rank(1), is_repeatable: false },
        time_left: Duration::from_millis(1000),
    };
    let mut next = control.place_request(at(110), HOST, SERVER, &need, false);
    assert_eq!(next.released, [3]);
    next.sequence = 50;
    assert_eq!(account.receive(at(110), &next), Some(PlaceDecision::Granted));
}

/// A request that arrives twice takes one place; one that arrives again after its release takes none.
#[test]
fn duplicates_take_no_second_place() {
    let mut account = SlotAccount::new(at(0), SLOTS, Some(SERVICE_TIME));
    for _ in 0..3 {
        let decision = account.receive(at(100), &request(HOST, 1));
        assert_eq!(decision, Some(PlaceDecision::Granted));
    }
    assert_eq!(account.in_use(at(100)) as u32, 1);
    account.release(at(110), &release(HOST, 1, PlaceEnd::Unused));
    account.receive(at(111), &request(HOST, 1));
    assert_eq!(account.in_use(at(111)) as u32, 0);
}

/// Guards against a place that nobody uses: the host has gone on to another server after the refusal, and a place
/// becomes free before the duplicate of its request arrives.
#[rstest]
#[case(0)]
#[case(18)]
fn duplicate_of_refused_request_gets_no_place(#[case] wait_ms: u16) {
    let mut account = full_account(at(100));
    for sequence in 50..53 {
        let waiter = PlaceRequest { wait_ms: 18, ..request(OTHER_HOST, sequence) };
        assert_eq!(account.receive(at(100), &waiter), None);
    }
    let refused = PlaceRequest { wait_ms, ..request(OTHER_HOST, 53) };
    assert_ne!(account.receive(at(100), &refused), None);
    assert_eq!(account.poll(at(118), OWNER).len(), 3);
    account.release(at(119), &release(HOST, 1, PlaceEnd::Served));
    for sequence in 50..54 {
        let duplicate = PlaceRequest { wait_ms, ..request(OTHER_HOST, sequence) };
        let decision = account.receive(at(120), &duplicate);
        assert!(matches!(decision, Some(PlaceDecision::Busy { .. })), "{decision:?}");
    }
    assert_eq!(account.in_use(at(120)) as u32, PLACES - 1);
}

/// The host gave up waiting for the reply before the request arrived.
#[test]
fn withdrawn_request_gets_no_place() {
    let mut account = SlotAccount::new(at(0), SLOTS, Some(SERVICE_TIME));
    account.release(at(100), &release(HOST, 1, PlaceEnd::Unused));
    account.receive(at(101), &request(HOST, 1));
    assert_eq!(account.in_use(at(101)) as u32, 0);
}
