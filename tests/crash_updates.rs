//! Verdicts on requests while updates about crashes are still arriving. When three servers crash in quick succession,
//! each host first knows only those requests in flight at them that it sent itself.

use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tealcleat::keys::{NameKey, RequestKey, ServerKey, TimePoint};
use tealcleat::quarantine::{
    ConnectionLoss, CrashEvidence, CrashReport, CrashTracker, RequestVerdict, SETTLE_TIME,
};

/// A request that crashes three servers, one after the other.
const CRASHER: RequestKey = RequestKey(1);
/// Contents that many callers request, with copies on each of these servers.
const CROWD: RequestKey = RequestKey(2);
const TICK: Duration = Duration::from_millis(100);

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

fn server(number: u64) -> ServerKey {
    NameKey(0xa000 + number)
}

fn run(request: RequestKey, began_ms: u64, broke_ms: u64) -> ConnectionLoss {
    ConnectionLoss {
        request,
        sent_at: at(began_ms),
        lost_at: at(broke_ms),
        unwritten_parts: Arc::default(),
    }
}

/// Lets the tracker take part in the exchange of updates up to `until`.
fn exchange_updates(tracker: &mut CrashTracker, until: TimePoint) {
    let mut now = at(0);
    while now <= until {
        drop(tracker.unsent(now));
        now = now + TICK;
    }
}

/// The tracker of a host that sent the given requests to servers which crash one after the other, each 25 ms.
fn tracker_of(crashes: &[(u64, &[RequestKey])]) -> CrashTracker {
    let mut tracker = CrashTracker::default();
    drop(tracker.unsent(at(0)));
    for (number, requests) in crashes {
        let broke_ms = 25 * (number + 1);
        for request in *requests {
            tracker.record_loss(at(60), server(*number), &run(*request, broke_ms - 20, broke_ms));
        }
    }
    tracker
}

/// What three hosts know right after the third crash. In the failure behind this, the first host refused contents that it
/// had sent to all three servers; the update about another request in flight there arrived 40 ms later.
fn trackers_of_hosts() -> [CrashTracker; 3] {
    [
        tracker_of(&[(0, &[CROWD]), (1, &[CROWD]), (2, &[CROWD])]),
        tracker_of(&[(0, &[CRASHER, CROWD]), (1, &[CRASHER])]),
        tracker_of(&[(1, &[CRASHER]), (2, &[CRASHER])]),
    ]
}

fn reports(trackers: &mut [CrashTracker]) -> Vec<CrashReport> {
    trackers.iter_mut().map(|tracker| tracker.unsent(at(70))).collect()
}

/// Guards against refusals based on what one host knows of a crash before the updates of the others have arrived.
#[test]
fn request_not_held_before_updates_arrived() {
    let mut trackers = trackers_of_hosts();
    assert!(trackers[0].evidence(CROWD).was_alone, "nobody else is known yet");
    assert!(matches!(trackers[0].verdict(CROWD), RequestVerdict::Unsettled { .. }));
    for report in reports(&mut trackers) {
        trackers[0].merge(at(100), &report);
    }
    assert_eq!(trackers[0].verdict(CROWD), RequestVerdict::Free);
}

/// Guards against verdicts that depend on the order in which updates arrive.
#[rstest]
fn verdict_independent_of_update_order(#[values(0, 1, 2, 3, 4, 5)] order: usize) {
    let orders = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];
    let reports = reports(&mut trackers_of_hosts());
    let mut tracker = CrashTracker::default();
    for (index, millis) in orders[order].into_iter().zip([100, 130, 400]) {
        tracker.merge(at(millis), &reports[index]);
    }
    exchange_updates(&mut tracker, at(3000));
    assert_eq!(tracker.verdict(CROWD), RequestVerdict::Free);
    assert_eq!(tracker.verdict(CRASHER), RequestVerdict::Free, "a fourth crash tells them apart");
    let all_evidence: Vec<CrashEvidence> =
        [CRASHER, CROWD].map(|key| tracker.evidence(key)).to_vec();
    assert!(all_evidence.iter().all(|evidence| evidence.crashes == 3 && evidence.has_companion));
    tracker.record_loss(at(3100), server(3), &run(CRASHER, 3050, 3070));
    exchange_updates(&mut tracker, at(5000));
    assert_eq!(tracker.verdict(CRASHER), RequestVerdict::Held);
    assert_eq!(tracker.verdict(CROWD), RequestVerdict::Free);
}

#[test]
fn crasher_held_after_settle_time() {
    let mut tracker = tracker_of(&[(0, &[CRASHER]), (1, &[CRASHER]), (2, &[CRASHER])]);
    assert!(
        matches!(tracker.verdict(CRASHER), RequestVerdict::Unsettled { wait } if wait <= SETTLE_TIME)
    );
    exchange_updates(&mut tracker, at(60) + SETTLE_TIME);
    assert!(matches!(tracker.verdict(CRASHER), RequestVerdict::Unsettled { wait } if wait <= TICK));
    exchange_updates(&mut tracker, at(60) + SETTLE_TIME + TICK);
    assert_eq!(tracker.verdict(CRASHER), RequestVerdict::Held);
}

/// Updates that arrive while a host is suspended are read only after it resumes.
#[test]
fn suspended_host_waits_for_updates_again() {
    let mut tracker = tracker_of(&[(0, &[CRASHER]), (1, &[CRASHER]), (2, &[CRASHER])]);
    exchange_updates(&mut tracker, at(200));
    assert!(matches!(tracker.verdict(CRASHER), RequestVerdict::Unsettled { .. }));
    drop(tracker.unsent(at(5000)));
    assert!(matches!(tracker.verdict(CRASHER), RequestVerdict::Unsettled { .. }));
    for millis in (5000..6000).step_by(100) {
        drop(tracker.unsent(at(millis)));
    }
    assert_eq!(tracker.verdict(CRASHER), RequestVerdict::Held);
}

/// A settled tracker with crashes at the given times. At each of them, a run of the popular contents that had started
/// `ran_ms` before was in flight, and a run of another request.
fn settled_tracker(crashes_ms: &[u64], ran_ms: u64) -> CrashTracker {
    let mut tracker = CrashTracker::default();
    drop(tracker.unsent(at(0)));
    for (millis, number) in crashes_ms.iter().zip(0..) {
        let now = at(*millis);
        tracker.record_loss(now, server(number), &run(CROWD, millis - ran_ms, *millis));
        tracker.record_loss(
            now,
            server(number),
            &run(RequestKey(10 + number), millis - 20, *millis),
        );
    }
    exchange_updates(&mut tracker, at(crashes_ms.last().copied().unwrap_or_default() + 1000));
    tracker
}

/// Guards against refusals of contents that ran on several servers at once while different requests crashed them. Contents
/// that do crash servers are identified by two more crashes, or by one that comes late.
#[rstest]
#[case::one_after_the_other(&[1000, 1100, 1200], 50, RequestVerdict::Held)]
#[case::several_servers_at_once(&[1000, 1030, 1060], 200, RequestVerdict::Free)]
#[case::once_more(&[1000, 1030, 1060, 2000], 200, RequestVerdict::Free)]
#[case::twice_more(&[1000, 1030, 1060, 2000, 2500], 200, RequestVerdict::Held)]
#[case::late(&[1000, 1030, 1060, 3100], 200, RequestVerdict::Held)]
fn copies_on_several_servers_need_more_crashes(
    #[case] crashes_ms: &[u64],
    #[case] ran_ms: u64,
    #[case] expected: RequestVerdict,
) {
    assert_eq!(settled_tracker(crashes_ms, ran_ms).verdict(CROWD), expected);
}

/// Of several runs on a server the oldest one counts, whichever host reports it first.
#[rstest]
#[case::oldest_first(&[0, 900])]
#[case::oldest_last(&[900, 0])]
fn oldest_run_sent_to_other_hosts(#[case] began_ms: &[u64]) {
    let mut merged = CrashTracker::default();
    for began in began_ms {
        let mut tracker = CrashTracker::default();
        tracker.record_loss(at(1010), server(0), &run(CROWD, *began, 1000));
        merged.merge(at(1050), &tracker.unsent(at(1050)));
    }
    let report = merged.full_report(at(1050));
    assert_eq!(report.crashes[0].requests[0].ran_ms, 1000);
}
