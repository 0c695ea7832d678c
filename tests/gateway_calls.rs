//! Requests through a real daemon on simulated platform servers: what runs, how often, and what the
//! caller is answered.

use std::sync::Arc;
use std::time::Duration;
use tealcleat::bench::site::{EngineFault, ServiceFault, SitePlan, TestSite};

mod site_common;

use site_common::{call, call_first_host, engine_runs, runtime, wait_released};

fn service_runs(site: &TestSite, id: &str) -> usize {
    site.services.iter().flat_map(|service| service.runs()).filter(|run| run == id).count()
}

#[test]
fn stream_held_prefilled_and_complete() {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("it starts");
        let reply = call_first_host(&site, &call("POST", "stream", "r1")).await;
        assert_eq!((reply.status.as_u16(), reply.complete), (200, true));
        assert_eq!(reply.events(), (0..8).collect::<Vec<u64>>());
        let runs = engine_runs(&site, "r1");
        let decode = runs.iter().find(|run| run.stage == "decode").expect("it ran");
        assert_eq!(runs.len(), 2);
        assert!(decode.fetched && decode.held);
        wait_released(&site).await;
    });
}

#[test]
fn plain_call_forwarded_unchanged() {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("it starts");
        let reply = call_first_host(&site, &call("POST", "once", "r1")).await;
        assert_eq!((reply.status.as_u16(), &reply.body[..]), (200, &b"/once/x?y=1 r1"[..]));
        assert_eq!(reply.header("x-request-id"), "r1");
        assert_eq!(service_runs(&site, "r1"), 1);
    });
}

#[test]
fn unknown_route_gets_404() {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("it starts");
        let reply = call_first_host(&site, &call("GET", "nowhere", "r1")).await;
        assert_eq!(reply.status.as_u16(), 404);
    });
}

#[test]
fn full_engines_refused_with_pause() {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("it starts");
        for engine in &site.decodes {
            engine.set_fault(EngineFault::Full);
        }
        let reply = call_first_host(&site, &call("POST", "stream", "r1")).await;
        assert_eq!(reply.status.as_u16(), 503);
        assert!(reply.header("retry-after").parse::<f64>().expect("seconds") > 0.0);
        assert!(engine_runs(&site, "r1").is_empty(), "no prompt is read without a place to go");
    });
}

#[test]
fn lost_prefill_result_read_again_by_the_decode_server() {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("it starts");
        for engine in &site.decodes {
            engine.set_fault(EngineFault::LoseHandles);
        }
        let reply = call_first_host(&site, &call("POST", "stream", "r1")).await;
        assert_eq!((reply.status.as_u16(), reply.events().len()), (200, 8));
        let decodes = engine_runs(&site, "r1").into_iter().filter(|run| run.stage == "decode");
        assert_eq!(decodes.map(|run| run.fetched).collect::<Vec<bool>>(), vec![false]);
        wait_released(&site).await;
    });
}

#[test]
fn cut_stream_looks_incomplete() {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("it starts");
        for engine in &site.decodes {
            engine.set_fault(EngineFault::CutAfter(3));
        }
        let reply = call_first_host(&site, &call("POST", "stream", "r1")).await;
        assert!(!reply.complete);
        assert_eq!(reply.events(), vec![0, 1, 2], "whole events only");
    });
}

#[test]
fn cut_stream_resumed_where_allowed() {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("it starts");
        site.decodes[0].set_fault(EngineFault::CutAfter(3));
        for place in 0..4 {
            let id = format!("r{place}");
            let reply = call_first_host(&site, &call("POST", "resume", &id)).await;
            assert!(reply.complete, "{id}");
            assert_eq!(reply.events(), (0..8).collect::<Vec<u64>>(), "{id}");
        }
    });
}

/// Guards against cutting a resumable stream when no server has memory at that moment.
#[test]
fn cut_stream_waits_for_memory_to_resume() {
    runtime().block_on(async {
        let site = Arc::new(TestSite::start(SitePlan::default()).await.expect("it starts"));
        site.decodes[0].set_fault(EngineFault::StallAfter(3));
        site.decodes[1].set_fault(EngineFault::Full);
        let asking = Arc::clone(&site);
        let caller =
            tokio::spawn(
                async move { call_first_host(&asking, &call("POST", "resume", "r1")).await },
            );
        let ran = || engine_runs(&site, "r1").iter().any(|run| run.stage == "decode");
        while !ran() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        // The stream falls silent and the other server refuses it memory, several times; then it has some.
        let refusals = || site.decodes[1].hold_tokens().len();
        let refusals_before = refusals();
        while refusals() < refusals_before + 3 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(engine_runs(&site, "r1").iter().all(|run| !run.cancelled), "the run is kept");
        site.decodes[1].set_fault(EngineFault::None);
        let reply = caller.await.expect("it ends");
        assert!(reply.complete);
        assert_eq!(reply.events(), (0..8).collect::<Vec<u64>>());
    });
}

#[test]
fn failed_run_not_retried() {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("it starts");
        for engine in &site.decodes {
            engine.set_fault(EngineFault::FailRuns);
        }
        let reply = call_first_host(&site, &call("POST", "stream", "r1")).await;
        assert_eq!((reply.status.as_u16(), &reply.body[..]), (500, &b"failed"[..]));
        let decodes = engine_runs(&site, "r1").into_iter().filter(|run| run.stage == "decode");
        assert_eq!(decodes.count(), 1);
    });
}

#[test]
fn foreign_answer_never_passed_on() {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("it starts");
        for engine in &site.decodes {
            engine.set_fault(EngineFault::ForeignAnswer);
        }
        for service in &site.services {
            service.set_fault(ServiceFault::ForeignAnswer);
        }
        for route in ["stream", "once", "safe"] {
            let method = if route == "safe" { "GET" } else { "POST" };
            let reply = call_first_host(&site, &call(method, route, route)).await;
            assert_eq!(reply.status.as_u16(), 502, "{route}");
            assert!(reply.header("x-server-stamp").is_empty(), "{route}");
        }
    });
}

#[test]
fn unsigned_answer_never_passed_on() {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("it starts");
        for service in &site.services {
            service.set_fault(ServiceFault::Unsigned);
        }
        let reply = call_first_host(&site, &call("POST", "once", "r1")).await;
        assert_eq!(reply.status.as_u16(), 502);
    });
}

#[test]
fn lost_answer_of_a_call_that_runs_once_is_unknown() {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("it starts");
        for service in &site.services {
            service.set_fault(ServiceFault::LoseAnswers);
        }
        let reply = call_first_host(&site, &call("POST", "once", "r1")).await;
        assert_eq!(reply.status.as_u16(), 502, "never a promise that it did not run");
        assert_eq!(service_runs(&site, "r1"), 1);
    });
}

#[test]
fn lost_answer_of_a_safe_call_retried_elsewhere() {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("it starts");
        site.services[0].set_fault(ServiceFault::LoseAnswers);
        for place in 0..6 {
            let id = format!("r{place}");
            let reply = call_first_host(&site, &call("GET", "safe", &id)).await;
            assert_eq!(reply.status.as_u16(), 200, "{id}");
        }
    });
}

#[test]
fn unrun_call_refused() {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("it starts");
        for service in &site.services {
            service.set_fault(ServiceFault::Full);
        }
        let reply = call_first_host(&site, &call("POST", "once", "r1")).await;
        assert_eq!(reply.status.as_u16(), 503);
        assert_eq!(service_runs(&site, "r1"), 0);
    });
}

#[test]
fn caller_that_leaves_stops_the_run() {
    runtime().block_on(async {
        let site = Arc::new(TestSite::start(SitePlan::default()).await.expect("it starts"));
        for engine in &site.decodes {
            engine.set_fault(EngineFault::StallAfter(2));
        }
        let asking = Arc::clone(&site);
        let caller =
            tokio::spawn(
                async move { call_first_host(&asking, &call("POST", "stream", "r1")).await },
            );
        let ran = || engine_runs(&site, "r1").iter().any(|run| run.stage == "decode");
        while !ran() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        caller.abort();
        let stopped = || engine_runs(&site, "r1").iter().any(|run| run.cancelled);
        while !stopped() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        wait_released(&site).await;
    });
}

#[test]
fn forged_router_headers_not_passed_on() {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("it starts");
        let mut forged = call("POST", "stream", "r1");
        for name in ["x-stage", "kv-from", "hold", "x-expect-instance", "kv-backup"] {
            forged.headers.push((name, "forged".to_owned()));
        }
        let reply = call_first_host(&site, &forged).await;
        assert_eq!((reply.status.as_u16(), reply.events().len()), (200, 8));
    });
}
