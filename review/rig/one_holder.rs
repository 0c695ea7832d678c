//! Two hosts give orders to one worker within `lease_ms`.
//!
//! Each round is a small deployment of its own. The platform stops the host that has just given the first orders. With
//! trouble, one of its three orders is left unanswered and is to be carried out 12 s later, and the answer to the first
//! lease that another host writes over the first one's is lost.

use crate::clients::Clients;
use crate::engine::{Engine, Floor, Order};
use crate::platform::{Deployment, Host};
use crate::store::Store;
use crate::util::{free_port, since};
use std::fmt::Write as _;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The bound of ndiaye-hive.
const LEASE_MS: u64 = 3_000;
const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const SERVICES: [&str; 3] = ["dele69a", "gora15b", "zicu36c"];
/// New streams a second, over all services and hosts.
const STREAMS_PER_S: u64 = 54;
const ROUNDS: usize = 6;
/// Machines start within 0.3 s of each other.
const START_GAP: Duration = Duration::from_millis(100);
/// The first orders come some nine seconds after the start.
const FIRST_ORDER_LIMIT: Duration = Duration::from_secs(14);
/// How long a round goes on after the stop.
const AFTER_STOP: Duration = Duration::from_millis(6_500);

pub fn play(record: &Path, is_troubled: bool) -> Result<bool, String> {
    let root = std::env::current_dir().map_err(|error| error.to_string())?;
    let folder = std::env::temp_dir().join(format!("review-one-holder-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
    let mut text = format!("with trouble: {is_troubled}\n");
    let (mut orders, mut broken) = (0, 0);
    for round in 0..ROUNDS {
        let (lines, given, found) = play_round(&root, &folder, round, is_troubled)?;
        let _ = write!(text, "\nround {}\n{lines}", round + 1);
        orders += given;
        broken += found;
    }
    let _ = writeln!(text, "\norders in all: {orders}; broken: {broken}");
    std::fs::write(record, text).map_err(|error| error.to_string())?;
    let _ = std::fs::remove_dir_all(&folder);
    if orders == 0 {
        return Err("no order was given".to_owned());
    }
    Ok(broken == 0)
}

/// Plays one round; returns its lines, the number of orders, and how many broke the rule.
fn play_round(
    root: &Path,
    folder: &Path,
    round: usize,
    is_troubled: bool,
) -> Result<(String, usize, usize), String> {
    let begun = Instant::now();
    let (store, store_address) = Store::start();
    let floor = Floor::new(begun, Arc::clone(&store));
    for (index, service) in SERVICES.iter().enumerate() {
        for number in 0..8 {
            let stage = if number < 6 { "prefill" } else { "decode" };
            let zone = ZONES[number % 3];
            Engine::start(&floor, &format!("i-{index}{number}{round}a7c1"), service, zone, stage);
        }
    }
    store.put("config", "main", &config());
    let net = std::process::id() % 200 + 20;
    let control: Vec<(String, u16)> = (0..3)
        .map(|number| {
            let ip = format!("127.{net}.{}.{}", round + 1, number + 11);
            let port = free_port(&ip);
            (ip, port)
        })
        .collect();
    let folder = folder.join(format!("round-{}", round + 1));
    std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
    let deployment = Deployment {
        root,
        folder: &folder,
        zones: &ZONES,
        control: &control,
        store: store_address,
    };
    let mut hosts: Vec<Host> = (0..3).map(|index| Host::new(&deployment, index)).collect();
    for host in &mut hosts {
        host.start();
        std::thread::sleep(START_GAP);
    }
    if let Some(host) = hosts.iter().find(|host| !host.wait_ready(Duration::from_secs(8))) {
        return Err(format!("{} is not ready", host.name));
    }
    let addresses = hosts.iter().map(|host| host.callers).collect();
    let clients = Clients::start(addresses, SERVICES.len(), STREAMS_PER_S);

    let notes: Arc<Mutex<Vec<(u64, String)>>> = Arc::default();
    let is_stopping = Arc::new(AtomicBool::new(false));
    lose_first_lease(&store, begun, &notes, &is_stopping, is_troubled);
    floor.applies_late.store(is_troubled, Ordering::Relaxed);
    let mut stopped_at = None;
    loop {
        std::thread::sleep(Duration::from_millis(2));
        match stopped_at {
            None if begun.elapsed() > FIRST_ORDER_LIMIT => break,
            None => {
                let giver = floor.orders.lock().unwrap().first().map(|order| order.holder.clone());
                let index = hosts.iter().position(|host| Some(&host.name) == giver.as_ref());
                let Some(index) = index else { continue };
                is_stopping.store(true, Ordering::Relaxed);
                hosts[index].terminate();
                clients.leave(hosts[index].callers);
                stopped_at = Some((Instant::now(), index));
                let note = format!("SIGTERM to {}", hosts[index].name);
                notes.lock().unwrap().push((since(begun), note));
            }
            Some((at, index)) => {
                if at.elapsed() > AFTER_STOP {
                    break;
                }
                if hosts[index].has_ended() {
                    hosts[index].start();
                    let note = format!("{} starts again", hosts[index].name);
                    notes.lock().unwrap().push((since(begun), note));
                }
            }
        }
    }
    let (served, other) = clients.stop();
    let orders = floor.orders.lock().unwrap().clone();
    let mut notes = notes.lock().unwrap().clone();
    for Order { at_ms, worker, holder, fence, outcome } in &orders {
        notes.push((*at_ms, format!("order to {worker} by {holder}, fence {fence}, {outcome}")));
    }
    notes.sort();
    let mut lines = format!("streams that were whole: {served}; others: {other}\n");
    for (at_ms, note) in notes {
        let _ = writeln!(lines, "{at_ms:>6} ms  {note}");
    }
    let broken = find_turns(&orders);
    for line in &broken {
        let _ = writeln!(lines, "{line}");
    }
    Ok((lines, orders.len(), broken.len()))
}

/// Notes each write of the lease. With trouble, loses the answer to the first one by another host than the stopped one.
fn lose_first_lease(
    store: &Store,
    begun: Instant,
    notes: &Arc<Mutex<Vec<(u64, String)>>>,
    is_stopping: &Arc<AtomicBool>,
    is_troubled: bool,
) {
    let (notes, is_stopping) = (Arc::clone(notes), Arc::clone(is_stopping));
    let lost = AtomicU64::new(0);
    *store.on_write.lock().unwrap() = Some(Box::new(move |kind, spec, before| {
        let (holder, former) = (spec.get("holder").text(), before.get("holder").text());
        if kind != "tealcleat-leases" {
            return false;
        }
        let is_takeover = !former.is_empty() && holder != former;
        let is_lost = is_troubled
            && is_takeover
            && is_stopping.load(Ordering::Relaxed)
            && lost.fetch_add(1, Ordering::Relaxed) == 0;
        let fence = spec.get("fence").number().unwrap_or(0);
        let answer = if is_lost { "the answer is lost" } else { "answered" };
        let note = format!("lease written by {holder} over {former:?}, fence {fence}, {answer}");
        notes.lock().unwrap().push((since(begun), note));
        is_lost
    }));
}

/// The orders at which one worker is ordered by another holder within the lease, or with a lower fence than before.
fn find_turns(orders: &[Order]) -> Vec<String> {
    let mut broken = Vec::new();
    for (index, order) in orders.iter().enumerate() {
        let former = orders[..index].iter().rev().find(|other| other.worker == order.worker);
        let Some(former) = former else { continue };
        let gap = order.at_ms - former.at_ms;
        if former.holder != order.holder && gap < LEASE_MS {
            broken.push(format!(
                "BROKEN: {} was ordered by {} and {gap} ms later by {}; lease_ms is {LEASE_MS}",
                order.worker, former.holder, order.holder
            ));
        }
        if order.fence < former.fence {
            broken.push(format!(
                "BROKEN: {} got the fence {} after {}",
                order.worker, order.fence, former.fence
            ));
        }
    }
    broken
}

fn config() -> String {
    let routes: Vec<String> = SERVICES
        .iter()
        .enumerate()
        .map(|(index, service)| {
            format!(
                "{{\"name\":\"r-{index}\",\"host\":\"wuny96.example\",\"path_prefix\":\"/rapu{index}/\",\
                 \"kind\":\"streaming\",\"timeout_ms\":14000,\"slo_ms\":900,\"priority\":1,\
                 \"service\":\"{service}\",\"attempts\":2,\"sticky\":true,\"can_resume\":true,\
                 \"gap_aim_ms\":300}}"
            )
        })
        .collect();
    let services: Vec<String> = SERVICES
        .iter()
        .map(|service| {
            format!(
                "{{\"name\":\"{service}\",\"health_path\":\"/healthz\",\"max_conns\":360,\
                 \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv_tokens\":41191,\
                 \"token_kv_bytes\":163840,\"link_mbps\":1600000.0,\"moves\":true,\"backups\":true,\
                 \"stride\":12,\"most\":12,\"handle_ttl_s\":0.5,\"role_switch_s\":6.0,\"pin_ms\":4000.0,\
                 \"hold_ms\":2000.0,\"models\":[{{\"name\":\"m\"}}]}}}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}
