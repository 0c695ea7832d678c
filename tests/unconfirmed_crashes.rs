//! When servers that broke off connections count as crashed.

use std::sync::Arc;
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

fn loss(millis: u64, request: RequestKey) -> ConnectionLoss {
    ConnectionLoss {
        request,
        sent_at: at(millis),
        lost_at: at(millis),
        unwritten_parts: Arc::default(),
    }
}

/// Crashed servers, with the keys of the requests in flight.
fn keys(crashed: &[(ServerKey, Vec<ConnectionLoss>)]) -> Vec<(ServerKey, Vec<RequestKey>)> {
    let requests = |losses: &[ConnectionLoss]| losses.iter().map(|loss| loss.request).collect();
    crashed.iter().map(|(server, losses)| (*server, requests(losses))).collect()
}

#[test]
fn server_crashed_when_its_entry_is_removed() {
    let mut crashes = UnconfirmedCrashes::default();
    assert!(crashes.record_loss(server(1), loss(0, CRASHER)));
    assert!(!crashes.record_loss(server(1), loss(1, request(1))));
    assert!(crashes.record_loss(server(2), loss(1, CRASHER)));
    assert!(crashes.settle(at(1000), |_| false).is_empty());
    let crashed = crashes.settle(at(4000), |key| key == server(1));
    assert_eq!(keys(&crashed), [(server(1), vec![CRASHER, request(1)])]);
    assert!(crashes.settle(at(7000), |_| false).is_empty());
    assert!(crashes.settle(at(7001), |_| true).is_empty(), "it was there for long enough");
}

/// Guards against an earlier connection loss that hides a crash: the server must be probed after each loss.
#[test]
fn server_probed_again_after_another_loss() {
    let mut crashes = UnconfirmedCrashes::default();
    assert!(crashes.record_loss(server(1), loss(0, request(1))));
    crashes.record_probed(server(1));
    assert!(crashes.record_loss(server(1), loss(5000, CRASHER)));
    assert!(crashes.settle(at(9000), |_| false).is_empty());
    let crashed = crashes.settle(at(9500), |_| true);
    assert_eq!(keys(&crashed), [(server(1), vec![request(1), CRASHER])]);
}

#[test]
fn unconfirmed_servers_bounded() {
    let mut crashes = UnconfirmedCrashes::default();
    for number in 0..10_000 {
        crashes.record_loss(server(number), loss(0, CRASHER));
    }
    assert_eq!(crashes.settle(at(1), |_| true).len(), 256);
}
