//! Measures the cost of the control plane at several fleet sizes.

use std::fmt::Write;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tealcleat::Result;
use tealcleat::bench::{BenchCaller, Deployment, Fleet, FleetOptions};
use tealcleat::membership::MemberState;
use tealcleat::placement::PlacementPolicy;

/// Number of domains; hosts, prefill servers and decode servers in each.
const SIZES: [(u32, u32, u32, u32); 7] = [
    (2, 2, 2, 3),
    (2, 4, 2, 3),
    (2, 4, 5, 5),
    (4, 4, 5, 5),
    (4, 4, 20, 20),
    (4, 8, 5, 5),
    (4, 8, 20, 20),
];
/// After the start, gossip is repeated for a while; that takes longer in larger fleets.
const SETTLE_TIME: Duration = Duration::from_secs(4);
const SETTLE_TIME_PER_HOST: Duration = Duration::from_millis(900);
const IDLE_TIME: Duration = Duration::from_secs(6);
const LOAD_TIME: Duration = Duration::from_secs(6);
const LOAD_INTERVAL: Duration = Duration::from_millis(25);
const SUSPEND_TIME: Duration = Duration::from_secs(5);
const RECOVERY_LIMIT: Duration = Duration::from_secs(40);
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Sums of the counters of all hosts.
#[derive(Debug, Clone, Copy, Default)]
struct FleetCounters {
    gossip_bytes: f64,
    gossip_messages: f64,
    peer_bytes: f64,
    peer_calls: f64,
    report_bytes: f64,
    cpu_seconds: f64,
    resident_mb: f64,
    store_calls: f64,
}

/// Measures each fleet size, prints a row for each and writes all rows to the file `rows`.
pub fn measure(programs: &Path, rows: &Path) -> Result<bool> {
    let mut text = String::from(
        "nodes\tworkers\tidle_gossip_B_s\tidle_gossip_msg_s\tidle_peer_B_s\tidle_report_B_s\tidle_cpu_pct\tresident_MB\tstore_reads_s\trequests\tpeer_B_per_request\tpeer_calls_per_request\tcpu_ms_per_request\tchange_in_force_ms\tdeath_noticed_ms\tcut_healed_ms\n",
    );
    print!("{text}");
    for size in SIZES {
        let row = measure_size(programs, size)?;
        println!("{row}");
        let _ = writeln!(text, "{row}");
        std::fs::write(rows, &text)?;
    }
    Ok(true)
}

fn measure_size(programs: &Path, size: (u32, u32, u32, u32)) -> Result<String> {
    let deployment = Deployment::sized(size.0, size.1, size.2, size.3);
    let servers = size.0 * (size.2 + size.3);
    let mut fleet = Fleet::start_configured(FleetOptions {
        deployment: deployment.clone(),
        policy: PlacementPolicy::Reserve,
        programs: programs.to_path_buf(),
        log_level: "info".to_owned(),
    })?;
    let hosts = fleet.hosts.len() as f64;
    let configured_at = Instant::now();
    let store_before = read_counters(&fleet)?.store_calls;
    std::thread::sleep(SETTLE_TIME + SETTLE_TIME_PER_HOST * fleet.hosts.len() as u32);
    let idle = count_during(&fleet, IDLE_TIME, || {})?;
    let requests = std::cell::Cell::new(0.0);
    let loaded = count_during(&fleet, LOAD_TIME, || requests.set(send_load(&fleet, &deployment)))?;
    let store_calls = read_counters(&fleet)?.store_calls - store_before;
    let store_rate = store_calls / configured_at.elapsed().as_secs_f64();
    let change_ms = measure_config_change(&fleet)?;
    let recovery_ms = measure_recovery(&fleet)?;
    let detection_ms = measure_detection(&mut fleet)?;
    let idle_seconds = IDLE_TIME.as_secs_f64();
    let per_host = |value: f64| value / idle_seconds / hosts;
    let sent = requests.get().max(1.0);
    let idle_cpu = idle.cpu_seconds / IDLE_TIME.as_secs_f64() * LOAD_TIME.as_secs_f64();
    Ok(format!(
        "{hosts}\t{servers}\t{:.0}\t{:.1}\t{:.0}\t{:.0}\t{:.2}\t{:.1}\t{:.2}\t{sent}\t{:.0}\t{:.2}\t{:.2}\t{change_ms:.0}\t{detection_ms:.0}\t{recovery_ms:.0}",
        per_host(idle.gossip_bytes),
        per_host(idle.gossip_messages),
        per_host(idle.peer_bytes),
        per_host(idle.report_bytes),
        per_host(idle.cpu_seconds) * 100.0,
        idle.resident_mb / hosts,
        store_rate,
        (loaded.peer_bytes - idle.peer_bytes) / sent,
        (loaded.peer_calls - idle.peer_calls) / sent,
        (loaded.cpu_seconds - idle_cpu) * 1e3 / sent,
    ))
}

fn count_during(fleet: &Fleet, length: Duration, work: impl FnOnce()) -> Result<FleetCounters> {
    let before = read_counters(fleet)?;
    let started_at = Instant::now();
    work();
    std::thread::sleep(length.saturating_sub(started_at.elapsed()));
    let after = read_counters(fleet)?;
    Ok(FleetCounters {
        gossip_bytes: after.gossip_bytes - before.gossip_bytes,
        gossip_messages: after.gossip_messages - before.gossip_messages,
        peer_bytes: after.peer_bytes - before.peer_bytes,
        peer_calls: after.peer_calls - before.peer_calls,
        report_bytes: after.report_bytes - before.report_bytes,
        cpu_seconds: after.cpu_seconds - before.cpu_seconds,
        resident_mb: after.resident_mb,
        store_calls: after.store_calls - before.store_calls,
    })
}

fn read_counters(fleet: &Fleet) -> Result<FleetCounters> {
    let mut sum = FleetCounters::default();
    for host in fleet.running() {
        let text = fleet.operator_text(host, "GET", "/metrics", "")?;
        let value = |name: &str| {
            text.lines()
                .find_map(|line| line.strip_prefix(name)?.trim().parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        sum.gossip_bytes += value("tealcleat_gossip_sent_bytes_total ");
        sum.gossip_bytes += value("tealcleat_gossip_received_bytes_total ");
        sum.gossip_messages += value("tealcleat_gossip_sent_messages_total ");
        sum.peer_bytes += value("tealcleat_peer_bytes_total ");
        sum.peer_calls += value("tealcleat_peer_calls_total ");
        sum.report_bytes += value("tealcleat_report_bytes_total ");
        if let Some(process) = fleet.process_id(host) {
            let (cpu, resident) = process_usage(process)?;
            sum.cpu_seconds += cpu;
            sum.resident_mb += resident;
        }
    }
    let stats = fleet.stats()?;
    sum.store_calls = (stats.platform_reads + stats.platform_writes) as f64;
    Ok(sum)
}

/// Returns the CPU time in seconds and the resident memory in megabytes of a process.
fn process_usage(process: u32) -> Result<(f64, f64)> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let resident = status
        .lines()
        .find_map(|line| {
            line.strip_prefix("VmRSS:")?.split_whitespace().next()?.parse::<f64>().ok()
        })
        .unwrap_or(0.0);
    Ok(((ticks(11) + ticks(12)) / TICKS_PER_SECOND, resident / 1024.0))
}

fn send_load(fleet: &Fleet, deployment: &Deployment) -> f64 {
    let caller = BenchCaller::new(deployment);
    let Ok(runtime) = tokio::runtime::Runtime::new() else { return 0.0 };
    let hosts: Vec<_> = fleet.hosts.iter().map(|host| host.callers).collect();
    let requests = (LOAD_TIME.as_millis() / LOAD_INTERVAL.as_millis()) as usize - 20;
    runtime.block_on(async {
        let mut running = tokio::task::JoinSet::new();
        for index in 0..requests {
            let (caller, host) = (caller.clone(), hosts[index % hosts.len()]);
            running.spawn(async move {
                let prompt = format!("slope {index} with some words in it");
                caller.complete(host, "hanbit", &prompt, LOAD_TIME, None).await
            });
            tokio::time::sleep(LOAD_INTERVAL).await;
        }
        while running.join_next().await.is_some() {}
    });
    requests as f64
}

fn unix_now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

/// Returns the host index and time of each log line that contains `needle`.
fn find_log_lines(fleet: &Fleet, needle: &str) -> Vec<(usize, f64)> {
    let mut found = Vec::new();
    for (index, host) in fleet.hosts.iter().enumerate() {
        let path = fleet.folder().join(format!("{}.log", host.name));
        for line in std::fs::read_to_string(path).unwrap_or_default().lines() {
            let time = line.strip_prefix("time=").and_then(|rest| rest.split(' ').next());
            if let Some(time) = time.and_then(|t| t.parse().ok()).filter(|_| line.contains(needle))
            {
                found.push((index, time));
            }
        }
    }
    found
}

/// Measures the milliseconds between the first and the last host that put a confirmed change in force.
fn measure_config_change(fleet: &Fleet) -> Result<f64> {
    let intent =
        "{\"kind\":\"intent\",\"operator\":\"bench\",\"organisations\":[{\"name\":\"another\"}]}";
    let version = fleet.confirm(0, intent)?;
    let needle = format!("event=config_adopted version={version}");
    fleet.wait_until("the change", || find_log_lines(fleet, &needle).len() == fleet.hosts.len())?;
    let times: Vec<f64> =
        find_log_lines(fleet, &needle).into_iter().map(|(_, time)| time).collect();
    let first_time = times.iter().copied().fold(f64::INFINITY, f64::min);
    Ok((times.iter().copied().fold(0.0, f64::max) - first_time) * 1e3)
}

/// Measures the milliseconds from the kill of a host until the last host of its domain has detected it.
fn measure_detection(fleet: &mut Fleet) -> Result<f64> {
    let victim = fleet.hosts.len() - 1;
    let incarnation = fleet.status(victim)?.incarnation;
    let domain = fleet.hosts[victim].domain.clone();
    fleet.kill(victim);
    let killed_at = unix_now();
    let needle = format!("event=member_died incarnation={incarnation}");
    let peers = fleet.hosts.iter().filter(|host| host.domain == domain).count() - 1;
    let detection_times = |fleet: &Fleet| -> Vec<f64> {
        let lines = find_log_lines(fleet, &needle);
        lines
            .into_iter()
            .filter(|(index, _)| fleet.hosts[*index].domain == domain)
            .map(|(_, t)| t)
            .collect()
    };
    fleet.wait_until("the notice of a death", || detection_times(fleet).len() >= peers)?;
    Ok((detection_times(fleet).into_iter().fold(0.0, f64::max) - killed_at) * 1e3)
}

/// Suspends the daemons of a domain for five seconds. Measures the milliseconds from their resumption until every
/// host considers every other alive.
fn measure_recovery(fleet: &Fleet) -> Result<f64> {
    let domain = &fleet.hosts[0].domain;
    let members: Vec<usize> =
        (0..fleet.hosts.len()).filter(|index| fleet.hosts[*index].domain == *domain).collect();
    signal(fleet, &members, "-STOP")?;
    std::thread::sleep(SUSPEND_TIME);
    signal(fleet, &members, "-CONT")?;
    let started_at = Instant::now();
    let all_alive = || {
        fleet.running().into_iter().all(|host| {
            fleet.status(host).is_ok_and(|status| {
                let alive = status.members.iter().filter(|m| m.state == MemberState::Alive);
                alive.count() + 1 == fleet.hosts.len()
            })
        })
    };
    while !all_alive() && started_at.elapsed() < RECOVERY_LIMIT {
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(started_at.elapsed().as_secs_f64() * 1e3)
}

fn signal(fleet: &Fleet, hosts: &[usize], name: &str) -> Result<()> {
    for host in hosts {
        if let Some(process) = fleet.process_id(*host) {
            Command::new("kill").arg(name).arg(process.to_string()).status()?;
        }
    }
    Ok(())
}
