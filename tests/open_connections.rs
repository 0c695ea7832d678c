//! Which connections go first when there is no room for another one.

use std::time::Duration;
use tealcleat::keys::TimePoint;
use tealcleat::open_connections::{ConnectionKey, ConnectionPhase, ConnectionTable, TableOpening};
use tealcleat::resource_plan::RoomBounds;
use tealcleat::telemetry::BoundedNotice;

const BOUNDS: RoomBounds = RoomBounds {
    connections: 3,
    bytes: 1000,
    requests_ahead: 1,
    answer_stall: Duration::from_secs(30),
};

fn at(seconds: u64) -> TimePoint {
    TimePoint::from_millis(seconds * 1000)
}

/// Opens a connection for which there is room, or for which some can be made.
fn open(table: &mut ConnectionTable, now: TimePoint, bytes: usize) -> (ConnectionKey, usize) {
    match table.open(now, bytes) {
        TableOpening::Admitted(key, closed) => (key, closed.len()),
        TableOpening::Refused => panic!("there is room"),
    }
}

#[test]
fn open_closes_longest_at_rest() {
    let mut table = ConnectionTable::new(BOUNDS);
    let (first, _) = open(&mut table, at(0), 10);
    let (second, _) = open(&mut table, at(1), 10);
    let (third, _) = open(&mut table, at(2), 10);
    // The first one's caller sent something, so that the second one rests longest.
    table.set_phase(at(3), first, ConnectionPhase::Receiving);
    assert_eq!(table.open(at(4), 10), TableOpening::Admitted(reuse(second), vec![second]));
    table.set_phase(at(5), third, ConnectionPhase::Answering);
    table.set_phase(at(6), third, ConnectionPhase::Resting);
    assert_eq!(table.open(at(7), 10), TableOpening::Admitted(reuse(first), vec![first]));
    assert_eq!((table.len(), table.bytes()), (3, 30));
}

/// The key of the connection that takes the place of another one.
fn reuse(key: ConnectionKey) -> ConnectionKey {
    key.next_generation()
}

#[test]
fn open_refused_while_all_are_at_work() {
    let mut table = ConnectionTable::new(BOUNDS);
    for second in 0..3 {
        let (key, _) = open(&mut table, at(second), 10);
        table.set_phase(at(second), key, ConnectionPhase::Answering);
    }
    assert_eq!(table.open(at(9), 10), TableOpening::Refused);
    assert_eq!(table.len(), 3);
}

#[test]
fn stalled_answer_goes_after_those_that_wait_longer() {
    let mut table = ConnectionTable::new(BOUNDS);
    let (stalled, _) = open(&mut table, at(0), 10);
    table.set_phase(at(0), stalled, ConnectionPhase::Answering);
    let (resting, _) = open(&mut table, at(1), 10);
    table.set_phase(at(2), stalled, ConnectionPhase::Stalled);
    open(&mut table, at(3), 10);
    assert!(
        matches!(table.open(at(4), 10), TableOpening::Admitted(_, closed) if closed == [resting])
    );
    assert!(
        matches!(table.open(at(5), 10), TableOpening::Admitted(_, closed) if closed == [stalled])
    );
}

/// A caller that sends or takes a byte now and then makes no progress, but one that goes on sending does.
#[test]
fn progress_keeps_a_connection() {
    let mut table = ConnectionTable::new(BOUNDS);
    let keys = [0, 1, 2].map(|second| open(&mut table, at(second), 10).0);
    for key in keys {
        table.set_phase(at(3), key, ConnectionPhase::Receiving);
    }
    table.record_progress(at(4), keys[0]);
    table.set_phase(at(5), keys[1], ConnectionPhase::Receiving);
    assert!(
        matches!(table.open(at(6), 10), TableOpening::Admitted(_, closed) if closed == [keys[1]])
    );
}

#[test]
fn bytes_beyond_the_bound_close_others_first() {
    let mut table = ConnectionTable::new(BOUNDS);
    let (first, _) = open(&mut table, at(0), 400);
    let (second, _) = open(&mut table, at(1), 400);
    assert_eq!(table.set_bytes(first, 700), vec![second]);
    assert_eq!((table.len(), table.bytes()), (1, 700));
}

/// Guards against callers that are about to send and go for want of memory, while others hold it.
#[test]
fn bytes_beyond_the_bound_spare_those_that_hold_nothing() {
    let mut table = ConnectionTable::new(RoomBounds { connections: 9, ..BOUNDS });
    let (silent, _) = open(&mut table, at(0), 10);
    let (half, _) = open(&mut table, at(1), 10);
    assert_eq!(table.set_bytes(half, 900), vec![]);
    let (newest, _) = open(&mut table, at(2), 10);
    assert_eq!(table.set_bytes(newest, 500), vec![half], "it holds most of the memory");
    assert_eq!(table.set_bytes(newest, 995), vec![silent], "nobody else holds any");
    assert_eq!(table.len(), 1);
}

#[test]
fn bytes_beyond_the_bound_close_the_growing_one() {
    let mut table = ConnectionTable::new(BOUNDS);
    let (at_work, _) = open(&mut table, at(0), 600);
    table.set_phase(at(0), at_work, ConnectionPhase::Answering);
    let (growing, _) = open(&mut table, at(1), 100);
    assert_eq!(table.set_bytes(growing, 500), vec![growing]);
    assert_eq!((table.len(), table.bytes()), (1, 600));
    assert_eq!(table.set_bytes(growing, 10), vec![], "it is gone");
    assert_eq!(table.bytes(), 600);
}

#[test]
fn stalled_request_closed_for_its_body() {
    let stall = Duration::from_secs(2);
    let mut table = ConnectionTable::new(BOUNDS);
    let (_resting, _) = open(&mut table, at(0), 10);
    let (receiving, _) = open(&mut table, at(1), 10);
    table.set_phase(at(2), receiving, ConnectionPhase::Receiving);
    assert_eq!(table.close_stalled_request(at(3), stall), None, "it has not stalled for so long");
    assert_eq!(table.close_stalled_request(at(4), stall), Some(receiving));
    assert_eq!(table.len(), 1);
}

#[test]
fn stalled_answers_closed_in_time() {
    let mut table = ConnectionTable::new(BOUNDS);
    let (stalled, _) = open(&mut table, at(0), 10);
    let (slow, _) = open(&mut table, at(0), 10);
    let (_resting, _) = open(&mut table, at(0), 10);
    table.set_phase(at(1), stalled, ConnectionPhase::Stalled);
    table.set_phase(at(1), slow, ConnectionPhase::Stalled);
    table.record_progress(at(20), slow);
    assert_eq!(table.close_stalled_answers(at(31)), vec![]);
    assert_eq!(table.close_stalled_answers(at(32)), vec![stalled], "the others rest or go on");
    assert_eq!(table.len(), 2);
}

#[test]
fn close_counts_once() {
    let mut table = ConnectionTable::new(BOUNDS);
    let (key, _) = open(&mut table, at(0), 10);
    assert!(table.close(key));
    assert!(!table.close(key));
    table.set_phase(at(1), key, ConnectionPhase::Receiving);
    table.record_progress(at(1), key);
    assert!(table.is_empty() && table.bytes() == 0);
    let (next, _) = open(&mut table, at(2), 10);
    assert!(!table.close(key), "a former key does not close the next connection");
    assert!(table.close(next));
}

#[test]
fn notice_tells_how_often_at_most_once_a_second() {
    let mut notice = BoundedNotice::default();
    assert_eq!(notice.record(at(0), 1), Some(1));
    assert_eq!(notice.record(at(0), 4), None);
    assert_eq!(notice.record(TimePoint::from_millis(999), 1), None);
    assert_eq!(notice.record(at(1), 1), Some(6));
}
