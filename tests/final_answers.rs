//! Requests whose answers have not begun when their host exits.
//!
//! Guards against an exit that closes the connection of a request that was read without any answer: its caller learns
//! neither that it did not run nor that it may have run.

use rstest::rstest;
use std::time::Duration;
use tealcleat::bench::site::{EngineFault, ServiceFault, SitePlan, TestSite};

mod machine_common;
mod site_common;
mod stop_common;

use machine_common::test_folder;
use site_common::{call, engine_runs, runtime};
use stop_common::{lines, send, start_process, wait_ended};

/// Shorter than the time after which a silent read of a prompt is left to the decode server.
const GRACE: Duration = Duration::from_secs(1);
const POLL_PERIOD: Duration = Duration::from_millis(5);

/// What a request waits for when its host exits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wait {
    /// The reading of its prompt: it has not run.
    PromptRead,
    /// The first event of its run.
    FirstEvent,
    /// The answer of a plain server.
    PlainAnswer,
}

impl Wait {
    fn apply(self, site: &TestSite) {
        match self {
            Self::PromptRead => {
                site.prefills.iter().for_each(|engine| engine.set_fault(EngineFault::Silent));
            }
            Self::FirstEvent => {
                let stalled = EngineFault::StallAfter(0);
                site.decodes.iter().for_each(|engine| engine.set_fault(stalled));
            }
            Self::PlainAnswer => {
                site.services.iter().for_each(|service| service.set_fault(ServiceFault::Silent));
            }
        }
    }

    /// Whether the request waits at a server.
    fn has_begun(self, site: &TestSite) -> bool {
        let is_wanted = |id: &str| id == "held";
        match self {
            Self::PromptRead => site
                .prefills
                .iter()
                .any(|engine| engine.arrivals.requests().iter().any(|one| is_wanted(&one.request))),
            Self::FirstEvent => site
                .decodes
                .iter()
                .any(|engine| engine.arrivals.requests().iter().any(|one| is_wanted(&one.request))),
            Self::PlainAnswer => site
                .services
                .iter()
                .any(|one| one.arrivals.requests().iter().any(|one| is_wanted(&one.request))),
        }
    }
}

#[rstest]
#[case::prompt_read(Wait::PromptRead, "POST", "stream", 503)]
#[case::first_event(Wait::FirstEvent, "POST", "stream", 502)]
#[case::plain_answer(Wait::PlainAnswer, "POST", "once", 502)]
fn exit_answers_request(
    #[case] wait: Wait,
    #[case] method: &'static str,
    #[case] route: &'static str,
    #[case] status: u16,
) {
    runtime().block_on(async {
        let site =
            TestSite::start(SitePlan { hosts: 0, ..SitePlan::default() }).await.expect("a site");
        let folder = test_folder(&format!("final-{wait:?}"));
        let mut process = start_process(&site, &folder, GRACE).await;
        wait.apply(&site);
        let held = send(&process, call(method, route, "held"));
        while !wait.has_begun(&site) {
            tokio::time::sleep(POLL_PERIOD).await;
        }
        process.signal("-TERM").expect("it is stopped");
        wait_ended(&mut process).await;
        let reply = held.await.expect("it ends").expect("an answer");
        assert_eq!((reply.status.as_u16(), reply.complete), (status, true));
        assert_eq!(reply.header("retry-after").is_empty(), status != 503);
        if status == 503 {
            assert!(engine_runs(&site, "held").iter().all(|run| run.stage != "decode"));
        }
        assert!(lines(&process, "request_cut").is_empty(), "it was not cut");
        std::fs::remove_dir_all(&folder).expect("the folder is removed");
    });
}
