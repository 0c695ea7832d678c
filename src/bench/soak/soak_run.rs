//! Runs a soak test from its faults to its checks.

use super::part_check::PartTally;
use super::soak_caller::{CallerPlan, CallerResults, run_caller};
use super::soak_check::{SoakReport, check_holds, check_orders, check_runs};
use super::soak_cluster::SoakCluster;
use super::soak_options::SoakOptions;
use super::stream_taker::VersionTally;
use crate::host::lock;
use crate::{Error, Result};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

static NEXT_SERIAL: AtomicU64 = AtomicU64::new(0);

/// Runs a soak test and returns its results.
///
/// # Errors
/// If a program or a link cannot be started, or the daemons do not become ready.
pub async fn run_soak(options: &SoakOptions) -> Result<SoakReport> {
    // Several tests of one process may use the same seed at the same time.
    let serial = NEXT_SERIAL.fetch_add(1, Ordering::Relaxed);
    let name = format!("tealcleat-soak-{}-{}-{serial}", std::process::id(), options.seed);
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder)?;
    let mut cluster = SoakCluster::start(options, &folder).await?;
    let results = Arc::new(CallerResults::default());
    let addresses: Arc<Vec<SocketAddr>> = Arc::new(cluster.caller_addresses());
    let callers: Vec<_> = (0..options.callers)
        .map(|index| {
            let seed = options.seed.wrapping_mul(1000) + index as u64;
            let name = format!("s{}-c{index}", options.seed);
            let plan = CallerPlan { seed, name, sends_crashes: options.sends_crashing_requests };
            tokio::spawn(run_caller(plan, Arc::clone(&addresses), Arc::clone(&results)))
        })
        .collect();
    let faults = cluster.inject_faults(options).await?;
    let memory_violation = cluster.rogues.leave().await;
    cluster.end_all_faults().await?;
    let over_limits =
        if options.limits_servers { cluster.check_limits(options.seed).await? } else { Vec::new() };
    let propagation = cluster.check_propagation(options).await?;
    let versions = if options.mixes_versions || options.moves_versions {
        cluster.check_versions(options, &results).await?
    } else {
        VersionTally::default()
    };
    let parts = if options.crashes_parts {
        cluster.check_parts(options, &results).await?
    } else {
        PartTally::default()
    };
    let mut cut_records = Vec::new();
    let mut cut_tries = Default::default();
    let cut_violations = if options.cuts_servers {
        cluster.check_server_cuts(options, &mut cut_records, &mut cut_tries).await?
    } else {
        Vec::new()
    };
    let mut herd_records = Vec::new();
    let mut herd_tries = Default::default();
    let herd_violations = if options.herds_connections {
        cluster.check_herds(options, &mut herd_records, &mut herd_tries).await?
    } else {
        Vec::new()
    };
    let mut repeats = Default::default();
    let mut repeat_records = Vec::new();
    let repeat_violations = if options.sums_repeats {
        cluster.check_repeats(options, &results, &mut repeat_records, &mut repeats).await?
    } else {
        Vec::new()
    };
    let mut handovers = Default::default();
    let mut handover_records = Vec::new();
    let handover_violations = if options.hands_over {
        cluster.check_handovers(options, &mut handover_records, &mut handovers).await?
    } else {
        Vec::new()
    };
    let mut hushed = Default::default();
    let hush_violations = if options.hushes_servers || options.restarts_hosts {
        cluster.check_hushing(options, &results, &mut hushed).await?
    } else {
        Vec::new()
    };
    results.is_stopped.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.map_err(|error| Error::Protocol(error.to_string()))?;
    }
    // The callers' last requests may have crashed servers.
    cluster.restart_crashed().await?;
    let mut report = lock(&results.report).clone();
    report.faults = faults;
    report.store_calls = cluster.site.store.call_counts().0;
    report.cut_tries = cut_tries;
    report.herd_tries = herd_tries;
    report.repeats = repeats;
    report.hushed = hushed;
    report.handovers = handovers;
    report.violations.extend(versions.violations());
    report.versions = versions;
    report.violations.extend(parts.violations());
    report.parts = parts;
    let recovery = cluster.check_recovery(options.seed).await;
    let mut records = lock(&results.records).clone();
    records.extend(recovery.1);
    records.extend(propagation.1);
    records.extend(cut_records);
    records.extend(herd_records);
    records.extend(repeat_records);
    records.extend(handover_records);
    report.violations.extend(recovery.0);
    report.violations.extend(propagation.0);
    report.violations.extend(cut_violations);
    report.violations.extend(herd_violations);
    report.violations.extend(repeat_violations);
    report.violations.extend(hush_violations);
    report.violations.extend(handover_violations);
    let site = &cluster.site;
    report.violations.extend(check_runs(&records, &site.decodes, &site.services));
    let engines: Vec<_> = cluster.engines().cloned().collect();
    report.violations.extend(check_orders(&engines));
    report.violations.extend(check_holds(&site.decodes));
    report.violations.extend(cluster.check_bystanders()?);
    report.violations.extend(over_limits);
    report.violations.extend(memory_violation);
    report.peak_bytes = cluster.rogues.peak_bytes;
    if report.violations.is_empty() {
        std::fs::remove_dir_all(&folder)?;
    }
    Ok(report)
}
