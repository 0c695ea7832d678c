//! The lease on issuing orders: takeovers, lost answers, processes of one name, and records that cannot be read.

use std::time::Duration;
use tealcleat::keys::{IncarnationId, TimePoint};
use tealcleat::orders::{LeaseHolder, LeaseRecord, OrderLease};
use tealcleat::platform::{decode_lease, encode_lease};

const LEASE: Duration = Duration::from_secs(3);

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

/// The holder of a process that runs alone under its host's name.
fn holder(host: &str) -> LeaseHolder {
    process_of(host, 1)
}

fn process_of(host: &str, process: u64) -> LeaseHolder {
    LeaseHolder { host: host.to_owned(), process: Some(IncarnationId(process)) }
}

/// A lease whose holder has written `fence` just before 0 ms, and that may order.
fn established(own: &LeaseHolder, fence: u64) -> (OrderLease, LeaseRecord) {
    let mut lease = OrderLease::default();
    let mut held = None;
    for _ in 0..fence {
        let record = OrderLease::next_record(held.as_ref(), own);
        lease.record_write(at(0), at(0), held.as_ref(), &record, LEASE);
        held = Some(record);
    }
    assert_eq!(lease.fence(at(1)), Some(fence));
    (lease, held.expect("a record"))
}

#[test]
fn lease_first_holder_orders_immediately_for_a_limited_time() {
    let mut lease = OrderLease::default();
    let record = OrderLease::next_record(None, &holder("a"));
    lease.record_write(at(0), at(10), None, &record, LEASE);
    assert_eq!(lease.fence(at(500)), Some(1));
    assert_eq!(lease.fence(at(1100)), None, "the validity starts when the write is sent");
}

#[test]
fn lease_takeover_waits_for_the_last_holder() {
    let mut lease = OrderLease::default();
    let held = LeaseRecord { holder: holder("a"), fence: 7 };
    let record = OrderLease::next_record(Some(&held), &holder("b"));
    assert_eq!(record.fence, 8);
    lease.record_write(at(0), at(10), Some(&held), &record, LEASE);
    assert_eq!(lease.fence(at(20)), None);
    assert!(lease.is_waiting(at(4400)));
    assert!(!lease.is_waiting(at(4600)), "1 s of validity, the lease and the margin have passed");
    let next = OrderLease::next_record(Some(&record), &holder("b"));
    lease.record_write(at(4600), at(4610), Some(&record), &next, LEASE);
    assert_eq!(lease.fence(at(4700)), Some(9));
}

/// After another host has taken over in between, a returning holder has to wait as well.
#[test]
fn lease_returning_holder_waits() {
    let mut lease = OrderLease::default();
    let first = OrderLease::next_record(None, &holder("a"));
    lease.record_write(at(0), at(10), None, &first, LEASE);
    let other = OrderLease::next_record(Some(&first), &holder("b"));
    let again = OrderLease::next_record(Some(&other), &holder("a"));
    lease.record_write(at(900), at(910), Some(&other), &again, LEASE);
    assert_eq!(lease.fence(at(920)), None);
}

/// Guards against a takeover whose write took effect without an answer: the host read its own name back, took the lease
/// for one that it had held all along, and gave a server an order 2.8 s after the former holder had.
#[test]
fn lease_own_name_after_a_lost_answer_waits() {
    let mut lease = OrderLease::default();
    let held = LeaseRecord { holder: holder("a"), fence: 7 };
    let unanswered = OrderLease::next_record(Some(&held), &holder("b"));
    let next = OrderLease::next_record(Some(&unanswered), &holder("b"));
    lease.record_write(at(1200), at(1210), Some(&unanswered), &next, LEASE);
    assert_eq!(lease.fence(at(1220)), None);
    assert!(lease.is_waiting(at(5600)));
    let last = OrderLease::next_record(Some(&next), &holder("b"));
    lease.record_write(at(5800), at(5810), Some(&next), &last, LEASE);
    assert_eq!(lease.fence(at(5820)), Some(10));
}

/// Guards against a host that was started anew under its old name: a write of its former process may have replaced the
/// record of another holder just now.
#[test]
fn lease_own_name_of_a_former_process_waits() {
    let mut lease = OrderLease::default();
    let held = LeaseRecord { holder: holder("a"), fence: 7 };
    let record = OrderLease::next_record(Some(&held), &holder("a"));
    lease.record_write(at(0), at(10), Some(&held), &record, LEASE);
    assert_eq!(lease.fence(at(20)), None);
}

/// Guards against two processes of one name that order within the lease: the one left a renewal without an answer, the other
/// took the lease over with the same fence, and the first took that record for its own.
#[test]
fn lease_record_of_another_process_of_the_same_name_waits() {
    let own = process_of("a", 1);
    let (mut lease, held) = established(&own, 7);
    lease.record_unknown(Some(&held), &OrderLease::next_record(Some(&held), &own));
    let other = OrderLease::next_record(Some(&held), &process_of("a", 2));
    lease.record_read(at(2000), Some(&other), &own, LEASE);
    let next = OrderLease::next_record(Some(&other), &own);
    lease.record_write(at(2000), at(2010), Some(&other), &next, LEASE);
    assert_eq!(lease.fence(at(2020)), None);
    assert!(lease.is_waiting(at(6400)));
}

/// Guards against a lease that outlasts a record which cannot be read: a newer version may have held it meanwhile.
#[test]
fn lease_after_an_unreadable_record_waits() {
    let own = holder("a");
    let (mut lease, held) = established(&own, 7);
    lease.record_unreadable();
    assert_eq!(lease.fence(at(10)), None);
    lease.record_read(at(2000), Some(&held), &own, LEASE);
    let next = OrderLease::next_record(Some(&held), &own);
    lease.record_write(at(2000), at(2010), Some(&held), &next, LEASE);
    assert_eq!(lease.fence(at(2020)), None);
    assert!(lease.is_waiting(at(6400)));
}

#[test]
fn lease_record_names_host_and_process() {
    let record = LeaseRecord { holder: process_of("a", 0xfedc_ba98_7654_3210), fence: 7 };
    assert_eq!(decode_lease(&encode_lease(&record)).expect("a record"), record);
}

/// Versions that did not name the process write none, and are named by their host alone.
#[test]
fn lease_record_of_a_former_version_is_read() {
    let spec = serde_json::json!({"holder": "a", "fence": 7});
    let record = decode_lease(&spec).expect("a record");
    assert_eq!(record.holder, LeaseHolder { host: "a".to_owned(), process: None });
    assert!(decode_lease(&serde_json::json!({"holder": "a", "process": "x", "fence": 7})).is_err());
}
