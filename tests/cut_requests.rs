//! What the exit of a process cuts off is named in its log.
//!
//! Guards against requests that leave no line after the begin of their run: `stopped in_flight=2` names none of them.

use std::sync::Arc;
use std::time::Duration;
use tealcleat::bench::site::{SitePlan, TestSite};
use tealcleat::in_flight::{
    InFlightTable, InFlightWork, MAX_CUT_LINES, RequestProgress, RequestWait, cut_lines,
};
use tealcleat::keys::TimePoint;

mod machine_common;
mod site_common;
mod stop_common;

use machine_common::test_folder;
use site_common::{call, runtime};
use stop_common::{field, lines, send, start_process, wait_ended};

/// Shorter than the streams of the test, and than the time for which a stopping host reads requests.
const GRACE: Duration = Duration::from_secs(2);
const EVENT_INTERVAL: Duration = Duration::from_millis(500);
const POLL_PERIOD: Duration = Duration::from_millis(5);

fn request(id: &str) -> InFlightWork {
    InFlightWork::Request(RequestProgress::new(id))
}

#[test]
fn cut_lines_name_progress_and_age() {
    let table = Arc::new(InFlightTable::default());
    let stream = table.begin(TimePoint::from_millis(100), request("r1"));
    stream.update(|progress| {
        progress.events = 3;
        progress.wait_at(RequestWait::NextEvent, "i-1");
    });
    let ended = table.begin(TimePoint::from_millis(150), request("r2"));
    let _tunnel = table.begin(
        TimePoint::from_millis(200),
        InFlightWork::Tunnel("10.0.0.1:80".parse().expect("an address")),
    );
    let _connection = table.begin(TimePoint::from_millis(300), InFlightWork::Connection);
    drop(ended);
    assert_eq!(
        cut_lines(TimePoint::from_millis(400), &table),
        [
            "event=request_cut request=r1 server=i-1 age_ms=300 events=3 waits_for=next_event",
            "event=tunnel_cut address=10.0.0.1:80 age_ms=200",
            "event=connections_cut count=1",
        ]
    );
}

#[test]
fn cut_lines_of_many_bounded_oldest_first() {
    let table = Arc::new(InFlightTable::default());
    let guards: Vec<_> = (0..MAX_CUT_LINES as u64 + 7)
        .map(|index| table.begin(TimePoint::from_millis(index), request(&format!("r{index}"))))
        .collect();
    let lines = cut_lines(TimePoint::from_millis(1_000), &table);
    assert_eq!(lines.len(), MAX_CUT_LINES + 1);
    assert!(lines[0].contains("request=r0 server=- age_ms=1000 events=0 waits_for=admission"));
    assert_eq!(lines[MAX_CUT_LINES], "event=cuts_unnamed count=7");
    drop(guards);
    assert!(table.is_empty() && cut_lines(TimePoint::from_millis(1_000), &table).is_empty());
}

/// The real daemon: two streams are in the middle when it exits, and its log has a line for each before it is gone.
#[test]
fn exit_names_streams_that_it_cuts() {
    runtime().block_on(async {
        let site =
            TestSite::start(SitePlan { hosts: 0, ..SitePlan::default() }).await.expect("a site");
        let folder = test_folder("cut-streams");
        let mut process = start_process(&site, &folder, GRACE).await;
        for engine in &site.decodes {
            engine.set_event_interval(EVENT_INTERVAL);
        }
        let ids = ["cut-1", "cut-2"];
        let streams: Vec<_> =
            ids.map(|id| send(&process, call("POST", "stream", id))).into_iter().collect();
        let running = |id: &str| {
            let mut runs = site.decodes.iter().flat_map(|engine| engine.runs());
            runs.find(|run| run.request == id).is_some()
        };
        while !ids.iter().all(|id| running(id)) {
            tokio::time::sleep(POLL_PERIOD).await;
        }
        process.signal("-TERM").expect("it is stopped");
        wait_ended(&mut process).await;
        let cut = lines(&process, "request_cut");
        for (id, stream) in ids.iter().zip(streams) {
            let reply = stream.await.expect("it ends").expect("the head of an answer");
            assert!(!reply.complete, "the test needs a stream that is cut");
            let line = cut.iter().find(|line| field(line, "request") == *id);
            let line = line.unwrap_or_else(|| panic!("no line of {id} in {cut:?}"));
            assert!(field(line, "server").starts_with("i-decode-"), "{line}");
            assert_eq!(field(line, "events"), reply.events().len().to_string(), "{line}");
            assert_eq!(field(line, "waits_for"), "next_event", "{line}");
            assert!(field(line, "age_ms").parse::<u64>().is_ok_and(|age| age > 0), "{line}");
        }
        assert_eq!(field(&lines(&process, "stopped")[0], "requests"), "2");
        std::fs::remove_dir_all(&folder).expect("the folder is removed");
    });
}
