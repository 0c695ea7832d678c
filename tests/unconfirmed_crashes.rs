//! Servers that broke connections off: when they count as crashed.

use tealcleat::keys::{NameKey, RequestKey, ServerKey, TimePoint};
use tealcleat::quarantine::{ConnectionLoss, UnconfirmedCrashes};

const CRASHER: RequestKey = RequestKey(u64::MAX);

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

fn server(number: u64) -> ServerKey {
    NameKey(number)
}

fn request(number: u64) -> RequestKey {
    RequestKey(number)
}

fn broken(millis: u64, request: RequestKey) -> ConnectionLoss {
    ConnectionLoss { request, sent_at: at(millis), lost_at: at(millis) }
}

/// Servers that crashed, and which requests were there.
fn names(crashed: &[(ServerKey, Vec<ConnectionLoss>)]) -> Vec<(ServerKey, Vec<RequestKey>)> {
    let requests = |broken: &[ConnectionLoss]| broken.iter().map(|broken| broken.request).collect();
    crashed.iter().map(|(server, broken)| (*server, requests(broken))).collect()
}

#[test]
fn server_in_doubt_crashed_when_its_entry_goes() {
    let mut doubts = UnconfirmedCrashes::default();
    assert!(doubts.record_loss(server(1), broken(0, CRASHER)));
    assert!(!doubts.record_loss(server(1), broken(1, request(1))));
    assert!(doubts.record_loss(server(2), broken(1, CRASHER)));
    assert!(doubts.settle(at(1000), |_| false).is_empty());
    let crashed = doubts.settle(at(4000), |key| key == server(1));
    assert_eq!(names(&crashed), [(server(1), vec![CRASHER, request(1)])]);
    assert!(doubts.settle(at(7000), |_| false).is_empty());
    assert!(doubts.settle(at(7001), |_| true).is_empty(), "it was there for long enough");
}

/// A connection lost a while ago must not hide that the server crashes now.
#[test]
fn server_in_doubt_asked_again_when_it_breaks_off_again() {
    let mut doubts = UnconfirmedCrashes::default();
    assert!(doubts.record_loss(server(1), broken(0, request(1))));
    doubts.record_probed(server(1));
    assert!(doubts.record_loss(server(1), broken(5000, CRASHER)));
    assert!(doubts.settle(at(9000), |_| false).is_empty());
    let crashed = doubts.settle(at(9500), |_| true);
    assert_eq!(names(&crashed), [(server(1), vec![request(1), CRASHER])]);
}

#[test]
fn servers_in_doubt_bounded() {
    let mut doubts = UnconfirmedCrashes::default();
    for number in 0..10_000 {
        doubts.record_loss(server(number), broken(0, CRASHER));
    }
    assert_eq!(doubts.settle(at(1), |_| true).len(), 256);
}
