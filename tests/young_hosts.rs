//! Hosts that have run for less time than what others state is old.
//!
//! The tests guard against a host that takes what another host states to be as new as its own start, because times before
//! the start of its clock stopped there. A configuration that was too old for callers' keys counted as new at a host that
//! restarted behind a cut, which told the others so; crashes, clearances, failures and paces of long ago counted as recent.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tealcleat::bench::site::{
    SiteCall, SitePlan, StoreFault, TestSite, call_site, config, keyed_config,
};
use tealcleat::bench::{DEFAULT_GRACE, GatewayProcess, ProcessPlan};
use tealcleat::keys::{IncarnationId, NameKey, RequestKey, TimePoint};
use tealcleat::memory_forecast::{PaceTable, PaceUpdate, ServerPace};
use tealcleat::organisations::{AgeReply, ConfigAge};
use tealcleat::quarantine::{
    ClearanceUpdate, ConnectionLoss, CrashReport, CrashTracker, PartClearance, PartReport,
    PartTracker, RequestVerdict,
};
use tealcleat::settings::LoadFeatures;
use tealcleat::shared_health::{HealthEntry, HealthReport, ServerObservation, SharedHealth};

mod health_common;
mod machine_common;
mod site_common;

use health_common::{at, fleet_of, key, server};
use machine_common::{daemon, test_folder};
use site_common::{call, runtime};

/// How long ago it was that others state.
const LONG_AGO_MS: u32 = 120_000;
const REQUEST: RequestKey = RequestKey(7);
const PART: NameKey = NameKey(666);

#[test]
fn times_before_the_start_keep_their_age() {
    let point = at(1000) - Duration::from_secs(5);
    assert_eq!(at(1000).since(point), Duration::from_secs(5));
    assert!(point < TimePoint::CLOCK_START);
    assert_eq!(point + Duration::from_secs(5), at(1000));
    assert_eq!(point.since(at(1000)), Duration::ZERO);
}

/// A host that restarted behind a cut served callers whose key had been taken away, and so did the hosts that asked it.
#[test]
fn stated_age_of_configuration_kept_by_young_host() {
    let mut young = ConfigAge::default();
    let request = young.next_request(at(10));
    young.apply_reply(AgeReply { sequence: request.sequence, version: 7, age_ms: 2700 }, 7);
    assert_eq!(young.age(at(10)), Duration::from_millis(2700));
    let reply = young.reply(at(500), request, 7).expect("the age is known");
    assert!(reply.age_ms >= 3190, "{reply:?}");
}

/// A crash was taken to be cleared by an answer of long before it.
#[test]
fn old_clearance_clears_no_later_crash() {
    let mut young = CrashTracker::default();
    let clearance = ClearanceUpdate { request: REQUEST, age_ms: LONG_AGO_MS };
    young.merge(at(10), &CrashReport { crashes: Vec::new(), clearances: vec![clearance] });
    for number in 0..3 {
        young.record_crash(at(1000 + number), NameKey(number), REQUEST);
    }
    assert!(young.is_held(REQUEST));
}

/// The same for parts of prompts.
#[test]
fn old_clearance_clears_no_part_of_later_crashes() {
    let mut young = PartTracker::default();
    let clearance = PartClearance { part: PART, age_ms: LONG_AGO_MS };
    young.merge(at(10), &PartReport { crashes: Vec::new(), clearances: vec![clearance] });
    for number in 0..3 {
        let millis = 1000 + 100 * number;
        let loss = ConnectionLoss {
            request: RequestKey(number),
            sent_at: at(millis - 30),
            lost_at: at(millis),
            unwritten_parts: Arc::from([PART]),
        };
        young.record_loss(at(millis), NameKey(number), &loss);
    }
    for millis in (1300..3000).step_by(100) {
        young.unsent(at(millis));
    }
    assert_eq!(young.verdict(&[PART]), RequestVerdict::Held);
}

/// Failures of long ago excluded a server at hosts that had just started.
#[test]
fn old_failures_exclude_no_server() {
    let fleet = fleet_of((0..6).map(|index| server(index, None)).collect());
    let mut young = SharedHealth::new(IncarnationId(1), NameKey::of("a"));
    for reporter in [2, 3] {
        let entry = HealthEntry {
            server: key(0),
            observation: ServerObservation::BrokeOff,
            age_ms: 10_000,
        };
        let report =
            HealthReport { from: IncarnationId(reporter), version: 1, entries: vec![entry] };
        let changes = young.apply(at(10), NameKey::of("a"), &report, &fleet);
        assert!(changes.is_empty(), "{changes:?}");
    }
}

/// A pace of long ago took the place of a newer one that another host had measured.
#[test]
fn newer_pace_of_two_old_ones_counts() {
    let mut young = PaceTable::default();
    for (tokens_per_second, age_tenths) in [(200, 100), (400, 900)] {
        let pace =
            ServerPace { server: NameKey(1), tokens_per_second, age_tenths, read_tokens_per_ms: 0 };
        let update = PaceUpdate { from: IncarnationId(2), paces: vec![pace] };
        young.apply(at(10), &update, |_| Some(NameKey(2)));
    }
    assert_eq!(young.pace(NameKey(1)), Some(200.0));
    let pace = ServerPace {
        server: NameKey(1),
        tokens_per_second: 300,
        age_tenths: 50,
        read_tokens_per_ms: 0,
    };
    let update = PaceUpdate { from: IncarnationId(2), paces: vec![pace] };
    young.apply(at(10), &update, |_| Some(NameKey(2)));
    assert_eq!(young.pace(NameKey(1)), Some(300.0));
}

/// The bound on the time for which a key that was taken away still works.
const REVOCATION: Duration = Duration::from_millis(2000);
/// How long after the loss of the store the second host starts.
const START_DELAY: Duration = Duration::from_millis(1200);

fn keyed_call(id: &str) -> SiteCall {
    let mut call = call("POST", "once", id);
    call.headers.push(("authorization", "Token key-of-hanbit".to_owned()));
    call
}

fn start_daemon(
    folder: &Path,
    name: &str,
    store: SocketAddr,
    seeds: &[SocketAddr],
) -> GatewayProcess {
    GatewayProcess::start(&ProcessPlan {
        program: daemon(),
        folder,
        name,
        domain: "a",
        machine: Ipv4Addr::LOCALHOST.into(),
        store,
        seeds,
        advertised: None,
        revocation: Some(REVOCATION),
        grace: DEFAULT_GRACE,
        retries: None,
        features: LoadFeatures::default(),
        limits: None,
        environment: &[],
    })
    .expect("a host")
}

/// Calls a host until it answers with `status`, or with any status.
async fn wait_answered(host: &GatewayProcess, status: Option<u16>) {
    for index in 0.. {
        let reply = call_site(host.callers, &keyed_call(&format!("before-{index}"))).await;
        if reply.is_ok_and(|reply| status.is_none_or(|status| reply.status == status)) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Two daemons behind a cut from the store, the second of which starts within the cut: a key that was taken away meanwhile
/// works at neither of them after the bound.
#[test]
fn revoked_key_refused_where_a_host_starts_behind_a_cut() {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan { hosts: 0, ..SitePlan::default() }).await;
        let site = site.expect("a site");
        site.set_config(2, &keyed_config(2));
        let folder = test_folder("young");
        let old = start_daemon(&folder, "old", site.store_address, &[]);
        wait_answered(&old, Some(200)).await;
        site.store.set_fault(StoreFault::Silent);
        site.set_config(3, &config(3));
        let revoked_at = Instant::now();
        tokio::time::sleep(START_DELAY).await;
        let young = start_daemon(&folder, "young", site.store_address, &[old.peers]);
        wait_answered(&young, None).await;
        tokio::time::sleep(REVOCATION.saturating_sub(revoked_at.elapsed())).await;
        for (name, host) in [("old", &old), ("young", &young)] {
            let reply = call_site(host.callers, &keyed_call(name)).await.expect("an answer");
            assert_eq!(reply.status, 503, "{name}");
        }
        std::fs::remove_dir_all(&folder).expect("an empty place");
    });
}
