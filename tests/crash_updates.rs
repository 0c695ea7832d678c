//! Verdicts on requests while news of who was at crashes are still on their way: of three crashes within moments each host
//! first knows only those requests that it had there itself.

use rstest::rstest;
use std::time::Duration;
use tealcleat::keys::{NameKey, RequestKey, ServerKey, TimePoint};
use tealcleat::quarantine::{
    ConnectionLoss, CrashEvidence, CrashReport, CrashTracker, RequestVerdict, SETTLE_TIME,
};

/// Crashes three servers, one after the other.
const CRASHER: RequestKey = RequestKey(1);
/// Contents of many callers, with copies at each of these servers.
const CROWD: RequestKey = RequestKey(2);
const TICK: Duration = Duration::from_millis(100);

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

fn server(number: u64) -> ServerKey {
    NameKey(0xa000 + number)
}

fn run(request: RequestKey, began_ms: u64, broke_ms: u64) -> ConnectionLoss {
    ConnectionLoss { request, sent_at: at(began_ms), lost_at: at(broke_ms) }
}

/// Takes part in the exchange of news up to `until`.
fn tick(book: &mut CrashTracker, until: TimePoint) {
    let mut now = at(0);
    while now <= until {
        drop(book.unsent(now));
        now = now + TICK;
    }
}

/// A crash each 25 ms, as one host sees it that had these requests there.
fn book_of(crashes: &[(u64, &[RequestKey])]) -> CrashTracker {
    let mut book = CrashTracker::default();
    drop(book.unsent(at(0)));
    for (number, requests) in crashes {
        let broke_ms = 25 * (number + 1);
        for request in *requests {
            book.record_loss(at(60), server(*number), &run(*request, broke_ms - 20, broke_ms));
        }
    }
    book
}

/// What three hosts know right after the third crash. Seen: the first one refused contents of its callers, which were
/// at all three crashes by way of itself; that another request was there too it heard 40 ms later.
fn books_of_hosts() -> [CrashTracker; 3] {
    [
        book_of(&[(0, &[CROWD]), (1, &[CROWD]), (2, &[CROWD])]),
        book_of(&[(0, &[CRASHER, CROWD]), (1, &[CRASHER])]),
        book_of(&[(1, &[CRASHER]), (2, &[CRASHER])]),
    ]
}

fn reports(books: &mut [CrashTracker]) -> Vec<CrashReport> {
    books.iter_mut().map(|book| book.unsent(at(70))).collect()
}

/// Guards against refusals from what one host knows of a crash before the others have told.
#[test]
fn request_not_held_before_others_told_who_was_there() {
    let mut books = books_of_hosts();
    assert!(books[0].evidence(CROWD).was_alone, "nobody else is known yet");
    assert!(matches!(books[0].verdict(CROWD), RequestVerdict::Unsettled { .. }));
    for report in reports(&mut books) {
        books[0].merge(at(100), &report);
    }
    assert_eq!(books[0].verdict(CROWD), RequestVerdict::Free);
}

/// Guards against verdicts that depend on which news came first.
#[rstest]
fn verdict_the_same_in_each_order_of_news(#[values(0, 1, 2, 3, 4, 5)] order: usize) {
    let orders = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];
    let reports = reports(&mut books_of_hosts());
    let mut book = CrashTracker::default();
    for (place, millis) in orders[order].into_iter().zip([100, 130, 400]) {
        book.merge(at(millis), &reports[place]);
    }
    tick(&mut book, at(3000));
    assert_eq!(book.verdict(CROWD), RequestVerdict::Free);
    assert_eq!(book.verdict(CRASHER), RequestVerdict::Free, "a fourth crash tells them apart");
    let told: Vec<CrashEvidence> = [CRASHER, CROWD].map(|key| book.evidence(key)).to_vec();
    assert!(told.iter().all(|evidence| evidence.crashes == 3 && evidence.has_companion));
    book.record_loss(at(3100), server(3), &run(CRASHER, 3050, 3070));
    tick(&mut book, at(5000));
    assert_eq!(book.verdict(CRASHER), RequestVerdict::Held);
    assert_eq!(book.verdict(CROWD), RequestVerdict::Free);
}

#[test]
fn crasher_held_once_news_could_have_come() {
    let mut book = book_of(&[(0, &[CRASHER]), (1, &[CRASHER]), (2, &[CRASHER])]);
    assert!(
        matches!(book.verdict(CRASHER), RequestVerdict::Unsettled { wait } if wait <= SETTLE_TIME)
    );
    tick(&mut book, at(60) + SETTLE_TIME);
    assert!(matches!(book.verdict(CRASHER), RequestVerdict::Unsettled { wait } if wait <= TICK));
    tick(&mut book, at(60) + SETTLE_TIME + TICK);
    assert_eq!(book.verdict(CRASHER), RequestVerdict::Held);
}

/// News that came while a host was suspended are read after it goes on.
#[test]
fn suspended_host_waits_for_news_again() {
    let mut book = book_of(&[(0, &[CRASHER]), (1, &[CRASHER]), (2, &[CRASHER])]);
    tick(&mut book, at(200));
    assert!(matches!(book.verdict(CRASHER), RequestVerdict::Unsettled { .. }));
    drop(book.unsent(at(5000)));
    assert!(matches!(book.verdict(CRASHER), RequestVerdict::Unsettled { .. }));
    for millis in (5000..6000).step_by(100) {
        drop(book.unsent(at(millis)));
    }
    assert_eq!(book.verdict(CRASHER), RequestVerdict::Held);
}

/// A book of crashes at these moments, all of it settled, with a run of the crowd's contents at each that had begun so long
/// before, and one of another request.
fn settled_book(crashes_ms: &[u64], ran_ms: u64) -> CrashTracker {
    let mut book = CrashTracker::default();
    drop(book.unsent(at(0)));
    for (millis, number) in crashes_ms.iter().zip(0..) {
        let now = at(*millis);
        book.record_loss(now, server(number), &run(CROWD, millis - ran_ms, *millis));
        book.record_loss(now, server(number), &run(RequestKey(10 + number), millis - 20, *millis));
    }
    tick(&mut book, at(crashes_ms.last().copied().unwrap_or_default() + 1000));
    book
}

/// Guards against refusals of contents that were at several servers at a time when different requests crashed them; one that
/// crashes servers is told apart by two more crashes, or by one that comes late.
#[rstest]
#[case::one_after_the_other(&[1000, 1100, 1200], 50, RequestVerdict::Held)]
#[case::at_several_at_a_time(&[1000, 1030, 1060], 200, RequestVerdict::Free)]
#[case::once_more(&[1000, 1030, 1060, 2000], 200, RequestVerdict::Free)]
#[case::twice_more(&[1000, 1030, 1060, 2000, 2500], 200, RequestVerdict::Held)]
#[case::late(&[1000, 1030, 1060, 3100], 200, RequestVerdict::Held)]
fn copies_at_several_servers_weigh_less(
    #[case] crashes_ms: &[u64],
    #[case] ran_ms: u64,
    #[case] expected: RequestVerdict,
) {
    assert_eq!(settled_book(crashes_ms, ran_ms).verdict(CROWD), expected);
}

/// Of several runs at a server the oldest one counts, whichever host tells it first.
#[rstest]
#[case::oldest_first(&[0, 900])]
#[case::oldest_last(&[900, 0])]
fn oldest_run_told_to_other_hosts(#[case] began_ms: &[u64]) {
    let mut told = CrashTracker::default();
    for began in began_ms {
        let mut book = CrashTracker::default();
        book.record_loss(at(1010), server(0), &run(CROWD, *began, 1000));
        told.merge(at(1050), &book.unsent(at(1050)));
    }
    let report = told.full_report(at(1050));
    assert_eq!(report.crashes[0].requests[0].ran_ms, 1000);
}
