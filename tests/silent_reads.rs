//! Prefill servers stand still for a while and go on, with reads of prompts in flight there.
//!
//! Guards against streams that are refused because of a silent read, and against sound servers that silence alone marks as
//! lost.

use std::sync::Arc;
use tealcleat::bench::site::{EngineFault, SitePlan, SiteRun, TestSite};
use tealcleat::keys::ServerKey;
use tealcleat::settings::GatewaySettings;

mod objective_common;
mod site_common;

use objective_common::{
    OBJECTIVE, READ_SILENCE, deny_repeats, reply_of, site_of, site_with, start_call, wait_until,
};
use site_common::{call, engine_runs, runtime};

fn stall_prefills(site: &TestSite) {
    for engine in &site.prefills {
        engine.stall_gate.stall();
    }
}

fn release_prefills(site: &TestSite) {
    for engine in &site.prefills {
        engine.stall_gate.release();
    }
}

/// Arrivals of a request at prefill engines.
fn reads(site: &TestSite, id: &str) -> usize {
    let arrivals = site.prefills.iter().flat_map(|engine| engine.arrivals.requests());
    arrivals.filter(|arrival| arrival.request == id).count()
}

fn decode_runs(site: &TestSite, id: &str) -> Vec<SiteRun> {
    engine_runs(site, id).into_iter().filter(|run| run.stage == "decode").collect()
}

/// Streams while the server that reads the prompt stands still for a while; its read is the one that is used.
async fn assert_silent_read_is_used(site: &Arc<TestSite>) {
    stall_prefills(site);
    let caller = start_call(site, call("POST", "stream", "r1"));
    wait_until(|| reads(site, "r1") == 1).await;
    tokio::time::sleep(READ_SILENCE).await;
    release_prefills(site);
    let reply = reply_of(caller).await;
    assert_eq!((reply.status.as_u16(), reply.events().len()), (200, 8));
    let fetched = decode_runs(site, "r1").iter().map(|run| run.fetched).collect::<Vec<bool>>();
    assert_eq!((reads(site, "r1"), fetched), (1, vec![true]));
}

/// Guards against a stream that is refused, with time left, because the server that reads its prompt is
/// silent, while the decode server that holds its memory could read it.
#[test]
fn silent_read_left_to_the_decode_server() {
    runtime().block_on(async {
        let site = site_with(SitePlan::default(), |_| {}).await;
        stall_prefills(&site);
        let reply = reply_of(start_call(&site, call("POST", "stream", "r1"))).await;
        assert_eq!((reply.status.as_u16(), reply.events().len()), (200, 8));
        assert_eq!((reads(&site, "r1"), decode_runs(&site, "r1").len()), (1, 1));
    });
}

/// Guards against a refusal while the caller has time: the read of its prompt failed after its objective had passed, and the
/// decode server that holds its memory can read it.
#[test]
fn read_failed_after_the_objective_left_to_the_decode_server() {
    runtime().block_on(async {
        let site = site_with(SitePlan::default(), |_| {}).await;
        for engine in &site.prefills {
            engine.set_fault(EngineFault::LoseReads);
        }
        stall_prefills(&site);
        let caller = start_call(&site, call("POST", "stream", "r1"));
        wait_until(|| reads(&site, "r1") == 1).await;
        tokio::time::sleep(OBJECTIVE).await;
        release_prefills(&site);
        let reply = reply_of(caller).await;
        assert_eq!((reply.status.as_u16(), reply.events().len()), (200, 8));
        assert_eq!(decode_runs(&site, "r1").len(), 1);
    });
}

/// Guards against refusals while callers have time: a decode server rejected the run after the objective had passed, and
/// runs it when it is sent again.
#[test]
fn runs_rejected_after_the_objective_sent_again() {
    runtime().block_on(async {
        let site = site_with(SitePlan::default(), |_| {}).await;
        for engine in &site.decodes {
            engine.set_fault(EngineFault::Shed { tenths: 2 });
        }
        for number in 0..12 {
            let id = format!("r{number}");
            stall_prefills(&site);
            let caller = start_call(&site, call("POST", "stream", &id));
            wait_until(|| reads(&site, &id) == 1).await;
            tokio::time::sleep(OBJECTIVE).await;
            release_prefills(&site);
            let reply = reply_of(caller).await;
            assert_eq!((reply.status.as_u16(), reply.events().len()), (200, 8), "{id}");
        }
        let rejected: u64 = site.decodes.iter().map(|engine| engine.rejected_count()).sum();
        assert!(rejected > 0);
    });
}

/// Guards against the same where the retry budget does not allow the decode server to read the prompt: the read that is in
/// flight is waited for.
#[test]
fn silent_read_kept_without_retry_budget() {
    runtime().block_on(async {
        let site = site_with(SitePlan::default(), deny_repeats).await;
        assert_silent_read_is_used(&site).await;
    });
}

/// Guards against a refusal that is none: a request is refused while its silent read is kept, and then runs.
#[test]
fn kept_read_without_answer_never_runs() {
    runtime().block_on(async {
        let site = site_with(SitePlan::default(), deny_repeats).await;
        stall_prefills(&site);
        let mut short = call("POST", "stream", "r1");
        short.headers[0].1 = (READ_SILENCE + OBJECTIVE).as_millis().to_string();
        let reply = reply_of(start_call(&site, short)).await;
        assert_eq!(reply.status.as_u16(), 503);
        release_prefills(&site);
        tokio::time::sleep(OBJECTIVE).await;
        assert!(decode_runs(&site, "r1").is_empty());
    });
}

/// Guards against a stream that is refused for the retry budget while its objective has time left, because its silent read
/// was given up.
#[test]
fn silent_read_in_time_kept_without_retry_budget() {
    runtime().block_on(async {
        let site = site_of(READ_SILENCE * 2, SitePlan::default(), deny_repeats).await;
        assert_silent_read_is_used(&site).await;
    });
}

/// Guards against reports that call a server lost because a request with little time left had no answer in that time.
#[test]
fn read_out_of_time_is_no_evidence_against_its_server() {
    runtime().block_on(async {
        let share = |settings: &mut GatewaySettings| settings.features.shared_health = true;
        let site = site_with(SitePlan::default(), share).await;
        stall_prefills(&site);
        let mut short = call("POST", "stream", "r1");
        short.headers[0].1 = OBJECTIVE.as_millis().to_string();
        reply_of(start_call(&site, short)).await;
        assert_eq!(reads(&site, "r1"), 1);
        let host = &site.hosts[0].host;
        let now = host.now();
        let state = host.state();
        for engine in &site.prefills {
            assert!(!state.shared_health.is_doubtful(now, ServerKey::of(&engine.id)));
        }
    });
}
