//! Which engines a real daemon selects while decode memory is short, and the priority that it tells them.

use rstest::rstest;
use std::collections::HashSet;
use std::time::Duration;
use tealcleat::admission::{
    PressureLevel, PressureScope, PressureUpdate, RankPressure, ServicePressure, reserve_order,
};
use tealcleat::bench::site::{EngineFault, SitePlan, SiteRun, TestSite, config};
use tealcleat::keys::{IncarnationId, NameKey, ServerKey, TimePoint};
use tealcleat::settings::LoadFeatures;

mod site_common;

use site_common::{call, call_first_host, engine_runs, runtime, wait_released};

const ADMISSION: LoadFeatures = LoadFeatures {
    shared_health: false,
    admission: true,
    urgent_preempts: false,
    return_times: false,
    memory_forecast: false,
    server_slots: false,
    steady_pools: false,
};
const DECODES: usize = 4;

/// A site with one host whose route `resume` has the given priority; that of `stream` is 1.
async fn site(features: LoadFeatures, priority: u8) -> TestSite {
    let plan = SitePlan { hosts: 0, decodes: DECODES, ..SitePlan::default() };
    let mut site = TestSite::start(plan).await.expect("a site");
    let mut config = config(2);
    config["routes"][1]["priority"] = priority.into();
    site.set_config(2, &config);
    site.add_host_with(|settings| settings.features = features).await.expect("a host");
    site.wait_ready().await;
    while site.hosts[0].host.routes().version() < 2 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    site
}

/// The decode runs of a request, which names a priority of its own.
async fn decode_runs(site: &TestSite, route: &'static str, id: &str) -> (u16, Vec<SiteRun>) {
    let mut call = call("POST", route, id);
    call.headers.push(("Priority", "0".to_owned()));
    let status = call_first_host(site, &call).await.status.as_u16();
    let runs = engine_runs(site, id);
    let read = runs.iter().find(|run| run.stage == "prefill");
    assert!(read.is_none_or(|read| read.priority.is_none()), "{read:?}");
    (status, runs.into_iter().filter(|run| run.stage == "decode").collect())
}

/// The decode servers in the order in which they are reserved.
fn decode_order() -> Vec<ServerKey> {
    let server = |index| (ServerKey::of(&format!("i-decode-{index}")), NameKey::of("a"));
    reserve_order(&(0..DECODES).map(server).collect::<Vec<_>>())
}

/// Tells the host that searches find no memory, and that urgent requests use about a third of it.
fn report_shortage(site: &TestSite, version: u64) {
    let rank = |rank, running| RankPressure {
        rank,
        granted: 10,
        refused: 10,
        running,
        tokens: running * 4000,
        unmet_tokens: 40_000,
        ..RankPressure::default()
    };
    let ranks = vec![rank(0, 30), rank(1, 60)];
    let update = PressureUpdate {
        from: IncarnationId(1),
        version,
        scope: PressureScope::Host,
        services: vec![ServicePressure { service: NameKey::of("engines"), ranks }],
    };
    let host = &site.hosts[0].host;
    host.state().admission.apply(host.now(), update);
}

#[rstest]
#[case::priorities_differ(ADMISSION, 0, Some("0"), Some("1"))]
#[case::beyond_the_range(ADMISSION, 12, Some("9"), Some("1"))]
#[case::priorities_equal(ADMISSION, 1, None, None)]
#[case::switched_off(LoadFeatures::default(), 0, None, None)]
fn runs_carry_the_priority_of_their_route(
    #[case] features: LoadFeatures,
    #[case] priority: u8,
    #[case] resume: Option<&str>,
    #[case] stream: Option<&str>,
) {
    runtime().block_on(async {
        let site = site(features, priority).await;
        for (route, expected) in [("resume", resume), ("stream", stream)] {
            let (status, runs) = decode_runs(&site, route, route).await;
            assert_eq!((status, runs.len()), (200, 1));
            assert_eq!(runs[0].priority.as_deref(), expected, "{route}");
        }
        wait_released(&site).await;
    });
}

/// Guards against less urgent requests that take the memory of a server as soon as it is free.
#[test]
fn reserved_servers_serve_urgent_requests_only() {
    runtime().block_on(async {
        let site = site(ADMISSION, 0).await;
        let reserved: HashSet<ServerKey> = decode_order().into_iter().take(2).collect();
        let runs_at = |id: &str| -> Vec<ServerKey> {
            let engines = site.decodes.iter();
            let used = engines.filter(|engine| engine.runs().iter().any(|run| run.request == id));
            used.map(|engine| ServerKey::of(&engine.id)).collect()
        };
        for round in 0..6 {
            for (route, is_urgent) in [("resume", true), ("stream", false)] {
                report_shortage(&site, round * 2 + u64::from(is_urgent) + 1);
                let id = format!("{route}-{round}");
                // A request may be refused for its share; one that runs does so in its part.
                decode_runs(&site, route, &id).await;
                for server in runs_at(&id) {
                    assert_eq!(reserved.contains(&server), is_urgent, "{id}");
                }
                assert!(!is_urgent || !runs_at(&id).is_empty());
            }
        }
        let service = NameKey::of("engines");
        assert_eq!(site.hosts[0].host.state().admission.level(service), PressureLevel::Short);
        wait_released(&site).await;
    });
}

/// Guards against refusals of less urgent requests although memory is free: the servers that are not reserved for others
/// do not respond, and are avoided for that.
#[test]
fn reserved_servers_serve_all_where_no_other_is_usable() {
    runtime().block_on(async {
        let site = site(ADMISSION, 0).await;
        for server in decode_order().into_iter().skip(2) {
            let mut engines = site.decodes.iter();
            let engine = engines.find(|engine| ServerKey::of(&engine.id) == server);
            engine.expect("known").set_fault(EngineFault::Silent);
        }
        let mut last = 0;
        for round in 0..8 {
            report_shortage(&site, round + 1);
            last = decode_runs(&site, "stream", &format!("stream-{round}")).await.0;
        }
        assert_eq!(last, 200);
        wait_released(&site).await;
    });
}

/// An urgent request waits until a run at the servers that are reserved for its rank is expected to end, as measured, if its
/// caller has the time; otherwise it is refused at once. Its objective does not matter.
#[rstest]
#[case::caller_has_time(15_000, 200)]
#[case::caller_has_no_time(500, 503)]
fn urgent_request_waits_for_the_end_of_a_run(#[case] deadline_ms: u64, #[case] expected: u16) {
    runtime().block_on(async {
        let site = site(ADMISSION, 0).await;
        for engine in &site.decodes {
            engine.set_fault(EngineFault::Full);
        }
        {
            let mut state = site.hosts[0].host.state();
            let meter = state.work_meters.entry(NameKey::of("engines")).or_default();
            meter.record_pace(100, Duration::from_secs(1));
            meter.record_stream(TimePoint::default(), 100, 1000);
        }
        report_shortage(&site, 1);
        let mut call = call("POST", "resume", "urgent");
        call.headers[0].1 = deadline_ms.to_string();
        let freed = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            site.decodes.iter().for_each(|engine| engine.set_fault(EngineFault::None));
        };
        let (reply, ()) = tokio::join!(call_first_host(&site, &call), freed);
        assert_eq!(reply.status.as_u16(), expected);
        wait_released(&site).await;
    });
}

/// All engines refuse holds. Only an urgent request is sent without one, and only if that is switched on.
#[rstest]
#[case::off(ADMISSION, 503)]
#[case::on(LoadFeatures { urgent_preempts: true, ..ADMISSION }, 200)]
fn urgent_request_sent_without_a_hold(#[case] features: LoadFeatures, #[case] urgent: u16) {
    runtime().block_on(async {
        let site = site(features, 0).await;
        for engine in &site.decodes {
            engine.set_fault(EngineFault::Full);
        }
        report_shortage(&site, 1);
        let (status, runs) = decode_runs(&site, "resume", "urgent").await;
        assert_eq!((status, runs.len()), (urgent, usize::from(urgent == 200)));
        assert!(runs.iter().all(|run| run.hold.is_none() && run.priority.as_deref() == Some("0")));
        report_shortage(&site, 2);
        let (status, runs) = decode_runs(&site, "stream", "other").await;
        assert_eq!((status, runs.len()), (503, 0));
        wait_released(&site).await;
    });
}
