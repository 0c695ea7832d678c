//! Short soak tests of real daemons, which run as separate processes and are subjected to faults from outside.
//!
//! A seed that failed once stays here as a case, with the cause of the failure.

use machine_common::{held_clock, source_address};
use rstest::rstest;
use std::path::Path;
use std::time::Duration;
use tealcleat::bench::soak::{SoakOptions, run_soak};
use tealcleat::settings::LoadFeatures;

mod machine_common;

#[rstest]
#[case::first(1)]
// The first run of a request stalled and a second one was refused for lack of room. The caller was told "not run",
// although the first one may have run.
#[case::refused_after_a_run(406)]
// The answer to a hold request arrived twice, and the copy was taken for the answer to the next request. A second
// answer that followed one without a length became part of a stream.
#[case::answers_given_twice(5205)]
fn run_soak_keeps_guarantees(#[case] seed: u64) {
    run(options(seed));
}

/// In addition to all other faults, some requests crash the servers that run them, and hosts are suspended.
#[rstest]
#[case::first(1)]
#[case::second(2)]
fn run_soak_with_crashing_requests_and_suspended_hosts(#[case] seed: u64) {
    let environment = held_clock(&format!("soak-{seed}"));
    let defaults = options(seed);
    run(SoakOptions {
        hosts: 4,
        domains: 2,
        sends_crashing_requests: true,
        suspends_hosts: true,
        environment,
        ..defaults
    });
}

/// In addition to all other faults, crowds of clients that do not behave come to the hosts, at all their addresses. No host
/// passes the memory of its machine, and all guarantees are kept.
#[test]
fn run_soak_with_rogue_clients() {
    let duration = Duration::from_secs(6);
    run(SoakOptions { hosts: 4, domains: 2, sends_rogues: true, duration, ..options(1) });
}

/// In addition to all other faults, servers announce limits. After the faults, no server receives more requests than
/// it announced, although one host is killed and another one is suspended.
#[test]
fn run_soak_with_limited_servers() {
    let defaults = options(1);
    let environment = held_clock("soak-limits");
    run(SoakOptions { hosts: 6, domains: 3, limits_servers: true, environment, ..defaults });
}

/// In addition to all other faults, open connections stall. After the faults, each host is probed for the
/// configuration in effect, while a large configuration changes during stalls, kills and an outage of the store.
#[rstest]
#[case::first(1)]
#[case::second(2)]
fn run_soak_with_stalled_connections(#[case] seed: u64) {
    let defaults = options(seed);
    let duration = Duration::from_secs(3);
    run(SoakOptions {
        hosts: 5,
        stalls_connections: true,
        unused_routes: 1400,
        duration,
        ..defaults
    });
}

/// Hosts are probed in the same way during network partitions, which separate machines from everything or only from
/// other hosts, overlap, and coincide with kills.
///
/// The test guards against hosts that reach the store and still answer 404 on routes that were confirmed 3 s before.
/// Such a host received no update, because no host sent one or because its watcher was partitioned, and concluded that
/// nothing had changed. It did not query the store until its view was too old.
#[test]
fn run_soak_with_network_partitions() {
    let defaults = options(1);
    let environment = source_address("soak-cuts");
    let duration = Duration::from_secs(3);
    run(SoakOptions {
        hosts: 12,
        partitions_network: true,
        unused_routes: 1400,
        duration,
        environment,
        ..defaults
    });
}

/// Hosts lose their paths to all servers while callers, the store and the other hosts reach them: one host, a failure
/// domain, all hosts but one.
///
/// The test guards against hosts that refuse every request as long as they reach no server, although other hosts do.
#[test]
fn run_soak_with_hosts_without_servers() {
    let defaults = options(1);
    let environment = source_address("soak-servers");
    let duration = Duration::from_secs(3);
    run(SoakOptions {
        hosts: 6,
        domains: 3,
        cuts_servers: true,
        features: LoadFeatures::ALL,
        duration,
        environment,
        ..defaults
    });
}

/// Engines of several software versions serve side by side, crash and are replaced, while hosts are killed, paused and
/// cut off, and callers take their streams up at other hosts.
///
/// The test guards against streams that go on at another version than the one that began them.
#[test]
fn run_soak_with_several_software_versions() {
    let defaults = options(1);
    let environment = source_address("soak-versions");
    let duration = Duration::from_secs(3);
    run(SoakOptions {
        hosts: 6,
        domains: 3,
        mixes_versions: true,
        duration,
        environment,
        ..defaults
    });
}

/// The only version comes, leaves or returns beside a kill of all hosts, and callers take their streams up.
///
/// The test guards against streams that go on at another version because the store did not know of the former one.
#[rstest]
#[case::first(1)]
#[case::second(2)]
fn run_soak_with_versions_that_move(#[case] seed: u64) {
    let environment = source_address(&format!("soak-moves-{seed}"));
    let duration = Duration::from_secs(2);
    let defaults = options(seed);
    run(SoakOptions {
        hosts: 6,
        domains: 3,
        moves_versions: true,
        duration,
        environment,
        ..defaults
    });
}

/// Parts of prompts crash the servers that begin to write on them, a new one before each disruption of hosts: killed, all
/// killed, paused and cut off.
///
/// The test guards against chains of crashes that no single request explains, and against sound requests that fail for
/// the first part that they share.
#[test]
fn run_soak_with_parts_that_crash_servers() {
    let defaults = options(1);
    let environment = source_address("soak-parts");
    let duration = Duration::from_secs(2);
    run(SoakOptions {
        hosts: 6,
        domains: 3,
        crashes_parts: true,
        duration,
        environment,
        ..defaults
    });
}

/// Most new connections go to one host, more than before, while others are killed, paused and cut off. Guards against a
/// host that reads requests and does not serve them.
#[test]
fn run_soak_with_most_connections_at_one_host() {
    let defaults = options(1);
    let environment = source_address("soak-herds");
    let duration = Duration::from_secs(2);
    run(SoakOptions {
        hosts: 6,
        domains: 3,
        herds_connections: true,
        duration,
        environment,
        ..defaults
    });
}

/// Servers reject most of what arrives, while hosts are killed, all of them several times in a row, paused and cut off, and
/// the store is away. Guards against repeats that no budget pays for, or that several lives of a host are granted anew.
#[test]
fn run_soak_with_repeats_summed_over_all_hosts() {
    let defaults = options(1);
    let environment = source_address("soak-repeats");
    let duration = Duration::from_secs(2);
    run(SoakOptions {
        hosts: 10,
        domains: 3,
        callers: 2,
        sums_repeats: true,
        duration,
        environment,
        ..defaults
    });
}

/// Servers stand still for up to 3.5 s and go on, one, most and all of them, once and several times, while hosts are
/// stopped, reloaded and killed and the configuration changes.
///
/// The test guards against hosts that end the answer of a sound server because it was silent.
#[test]
fn run_soak_with_servers_that_fall_silent() {
    let defaults = options(1);
    let duration = Duration::from_secs(2);
    run(SoakOptions { hosts: 6, domains: 3, hushes_servers: true, duration, ..defaults });
}

/// Hosts are restarted in turn beside streams of up to seven seconds, alone, beside reloads and changes of the configuration,
/// and beside silent servers.
///
/// The test guards against hosts that end an answer before their exit has to, or leave a request without an answer.
#[test]
fn run_soak_with_restarts_beside_long_streams() {
    let defaults = options(1);
    let duration = Duration::from_secs(2);
    run(SoakOptions { hosts: 6, domains: 3, restarts_hosts: true, duration, ..defaults });
}

/// Hosts are stopped while the store loses the answers of the lease, links are cut while calls are given up and hosts are
/// killed or stopped, and servers leave while hosts are cut off.
///
/// The test guards against orders of two hosts within the lease, calls that arrive after they were given up, and servers that
/// hosts in touch use again after they have left.
#[test]
fn run_soak_with_handovers() {
    let defaults = options(1);
    let environment = source_address("soak-handovers");
    let duration = Duration::from_secs(2);
    run(SoakOptions { hosts: 6, domains: 3, hands_over: true, duration, environment, ..defaults });
}

/// All decisions under load are switched on, in addition to the other faults. Guards against decisions that break a
/// guarantee while hosts are killed or suspended, or servers crash.
#[rstest]
#[case::first(1)]
#[case::second(2)]
fn run_soak_with_decisions_under_load(#[case] seed: u64) {
    let environment = held_clock(&format!("soak-load-{seed}"));
    let defaults = options(seed);
    run(SoakOptions {
        hosts: 6,
        domains: 3,
        callers: 24,
        sends_crashing_requests: true,
        suspends_hosts: true,
        limits_servers: true,
        features: LoadFeatures::ALL,
        environment,
        ..defaults
    });
}

fn options(seed: u64) -> SoakOptions {
    let daemon = Path::new(env!("CARGO_BIN_EXE_tealcleatd"));
    SoakOptions {
        seed,
        duration: Duration::from_secs(6),
        hosts: 3,
        domains: 1,
        callers: 12,
        sends_crashing_requests: false,
        suspends_hosts: false,
        limits_servers: false,
        features: LoadFeatures::default(),
        stalls_connections: false,
        partitions_network: false,
        cuts_servers: false,
        mixes_versions: false,
        crashes_parts: false,
        herds_connections: false,
        sums_repeats: false,
        hushes_servers: false,
        restarts_hosts: false,
        moves_versions: false,
        hands_over: false,
        sends_rogues: false,
        unused_routes: 0,
        environment: Vec::new(),
        programs: daemon.parent().expect("the daemon is in a folder").to_path_buf(),
    }
}

fn run(options: SoakOptions) {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.expect("the runtime starts");
    let report = runtime.block_on(run_soak(&options)).expect("the soak test runs");
    runtime.shutdown_background();
    assert!(report.violations.is_empty(), "{:?}", report.violations);
    assert!(report.completed > 0);
}
