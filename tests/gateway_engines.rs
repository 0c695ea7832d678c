//! Which engines a real daemon on simulated platform servers selects while engines drain, change their
//! stage or have long queues.

use rstest::rstest;
use std::time::Duration;
use tealcleat::bench::site::{EngineFault, SitePlan, TestSite};
use tealcleat::keys::{NameKey, ServerKey, TimePoint};
use tealcleat::placement::ServerLoad;

mod site_common;

use site_common::{call, call_first_host, engine_runs, runtime, wait_released};

/// Guards against sending a prompt to a draining server: a prefill server did not answer for 1.2 s, and
/// the next one had started draining meanwhile but received the prompt all the same.
#[rstest]
#[case::prefill_servers("prefill", 200)]
#[case::decode_servers("decode", 503)]
fn server_draining_since_a_slow_read_gets_nothing(#[case] draining: &str, #[case] status: u16) {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("a site");
        for engine in &site.prefills {
            engine.set_fault(EngineFault::Silent);
        }
        let slow = call("POST", "stream", "slow");
        let answer = call_first_host(&site, &slow);
        let drain = async {
            tokio::time::sleep(Duration::from_millis(150)).await;
            for server in site.servers.iter().filter(|server| server.stage == Some(draining)) {
                let (id, service, address) = (&server.id, server.service, server.address);
                site.write_entry(id, service, address, server.stage, "draining");
            }
            for engine in &site.prefills {
                engine.set_fault(EngineFault::None);
            }
        };
        let (reply, ()) = tokio::join!(answer, drain);
        assert_eq!((reply.status.as_u16(), reply.complete), (status, true));
        let reached = engine_runs(&site, "slow").into_iter().filter(|run| run.stage == draining);
        assert_eq!(reached.count(), 0);
        wait_released(&site).await;
    });
}

/// All hosts were restarted while an engine was changing its stage. Because of its empty queue it was the
/// first choice for 28 prompts, which it rejected. Such an engine still grants holds.
#[test]
fn changing_engines_detected_by_one_request() {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("a site");
        site.prefills[0].set_fault(EngineFault::Changing);
        site.decodes[0].set_fault(EngineFault::Changing);
        {
            // The other engines are loaded, so that an error or two do not change the ranking.
            let mut state = site.hosts[0].host.state();
            let queue = ServerLoad { prompt_tokens: 24_000, ..ServerLoad::default() };
            state.server_loads.add(ServerKey::of("i-prefill-1"), queue);
            let memory = ServerLoad { memory_tokens: 200_000, ..ServerLoad::default() };
            state.server_loads.add(ServerKey::of("i-decode-1"), memory);
        }
        for number in 0..12 {
            call_first_host(&site, &call("POST", "stream", &format!("n{number}"))).await;
        }
        // A rejected run is sent to its server twice, since the first rejection may be due to the prefill result.
        assert!(site.prefills[0].rejected_count() <= 1, "{}", site.prefills[0].rejected_count());
        assert!(site.decodes[0].rejected_count() <= 2, "{}", site.decodes[0].rejected_count());
        wait_released(&site).await;
    });
}

/// The decode server already holds memory for the request: if the answer of a prefill server is lost, it reads
/// the prompt itself, and no other prefill server reads it in vain.
#[test]
fn prompt_with_a_lost_answer_read_by_its_decode_server() {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("a site");
        for engine in &site.prefills {
            engine.set_fault(EngineFault::LoseReads);
        }
        let reply = call_first_host(&site, &call("POST", "stream", "r1")).await;
        assert_eq!((reply.status.as_u16(), reply.complete), (200, true));
        let runs = engine_runs(&site, "r1");
        let stages: Vec<&str> = runs.iter().map(|run| run.stage.as_str()).collect();
        assert_eq!(stages, ["prefill", "decode"]);
        wait_released(&site).await;
    });
}

/// Guards against a false refusal: the first run fell silent, no server had memory for a second one, and
/// the caller was told that its request had not run. The run is kept until the deadline.
#[test]
fn silent_run_never_refused_as_not_run() {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("a site");
        for engine in &site.decodes {
            engine.set_fault(EngineFault::StallAfter(0));
        }
        let mut silent = call("POST", "resume", "silent");
        silent.headers.retain(|(name, _)| *name != "x-deadline-ms");
        silent.headers.push(("x-deadline-ms", "4000".to_owned()));
        let fill = async {
            while !engine_runs(&site, "silent").iter().any(|run| run.stage == "decode") {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            for engine in &site.decodes {
                engine.set_fault(EngineFault::Full);
            }
        };
        let (reply, ()) = tokio::join!(call_first_host(&site, &silent), fill);
        assert_eq!(reply.status, 504);
        let kept = site.hosts[0].host.metrics().counter("silent_runs_kept");
        assert!(kept > 0, "no server had memory");
        wait_released(&site).await;
    });
}

/// The queue of every prefill server is longer than the objective.
#[test]
fn late_prompt_read_by_its_decode_server() {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("a site");
        {
            let mut state = site.hosts[0].host.state();
            let queue = ServerLoad { prompt_tokens: 100_000, ..ServerLoad::default() };
            for place in 0..site.prefills.len() {
                state.server_loads.add(ServerKey::of(&format!("i-prefill-{place}")), queue);
            }
            let meter = state.work_meters.entry(NameKey::of("engines")).or_default();
            for read in 0..100_u32 {
                let tokens = 1000 + read * 20;
                let took = Duration::from_micros(u64::from(tokens) * 30);
                meter.record_read(TimePoint::default(), tokens, took);
            }
        }
        let reply = call_first_host(&site, &call("POST", "stream", "late")).await;
        assert_eq!(reply.status, 200);
        let runs = engine_runs(&site, "late");
        assert_eq!(runs.len(), 1, "{runs:?}");
        assert_eq!(runs[0].stage, "decode");
        assert!(runs[0].held && !runs[0].fetched, "{runs:?}");
        wait_released(&site).await;
    });
}
