//! Simulates contents that many callers request at the same time, on few servers, beside requests that crash these
//! servers in quick succession. Every server that crashes has copies of the innocent contents, which cause no crash.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::sync::Arc;
use tealcleat::keys::{NameKey, RequestKey, ServerKey, TimePoint};
use tealcleat::quarantine::{ConnectionLoss, CrashTracker, RequestVerdict, SETTLE_TIME};

pub const STEP_MS: u64 = 5;
pub const LENGTH_MS: u64 = 8_000;
pub const HOSTS: usize = 6;
/// Maximum number of servers to which one request is sent, each after the previous one crashed.
pub const ATTEMPTS: u32 = 2;
pub const UPDATE_PERIOD_MS: u64 = 100;
pub const UPDATE_LOSS: f64 = 0.2;
/// Delay after which a server that broke off is probed; it has crashed if it refuses the connection.
pub const PROBE_DELAY_MS: u64 = 30;
/// As in the bound that hosts keep: sends this long after a third crash are late.
pub const LATE_AFTER_MS: u64 = 3000;
pub const MAX_LATE: usize = 3;
/// Keys of crashing requests are at least this.
pub const CRASHING: u64 = 1 << 60;

#[derive(Debug, Clone, Copy)]
pub struct CrowdPlan {
    pub servers: usize,
    /// Number of contents of innocent requests, their rate per second, and how long one runs.
    pub contents: u64,
    pub innocent_rate: f64,
    pub run_ms: (u64, u64),
    /// Number of crashing requests, their rate per second, and how long one runs before its server crashes.
    pub crashers: u64,
    pub crasher_rate: f64,
    pub crash_ms: (u64, u64),
    /// How long a server is down.
    pub down_ms: (u64, u64),
}

#[derive(Debug, Clone)]
pub struct Run {
    request: RequestKey,
    host: usize,
    server: usize,
    attempts: u32,
    began_ms: u64,
    ends_ms: u64,
}

#[derive(Debug, Default)]
pub struct Server {
    starts: u64,
    up_at_ms: u64,
}

/// A lost connection whose server is still to be probed.
#[derive(Debug)]
pub struct PendingProbe {
    due_ms: u64,
    lost_ms: u64,
    server_key: ServerKey,
    run: Run,
}

/// A request that waits until the other requests in flight at its crashes are known.
#[derive(Debug)]
pub struct WaitingRequest {
    request: RequestKey,
    host: usize,
    attempts: u32,
    began_ms: u64,
}

#[derive(Debug, Default)]
pub struct CrowdReport {
    pub crashes: usize,
    pub innocents: usize,
    pub innocents_held: usize,
    /// Number of late sends of each crashing request.
    pub late: HashMap<RequestKey, usize>,
}

pub struct World {
    plan: CrowdPlan,
    random: StdRng,
    now_ms: u64,
    trackers: Vec<CrashTracker>,
    servers: Vec<Server>,
    runs: Vec<Run>,
    probes: Vec<PendingProbe>,
    waits: Vec<WaitingRequest>,
    /// Number of crashes by each crashing request, and the time of the third one.
    crash_counts: HashMap<RequestKey, (usize, u64)>,
    report: CrowdReport,
}

pub fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(60_000 + millis)
}

impl World {
    pub fn new(plan: CrowdPlan, seed: u64) -> Self {
        Self {
            plan,
            random: StdRng::seed_from_u64(seed),
            now_ms: 0,
            trackers: vec![CrashTracker::default(); HOSTS],
            servers: (0..plan.servers).map(|_| Server::default()).collect(),
            runs: Vec::new(),
            probes: Vec::new(),
            waits: Vec::new(),
            crash_counts: HashMap::new(),
            report: CrowdReport::default(),
        }
    }

    pub fn run(mut self) -> CrowdReport {
        while self.now_ms < LENGTH_MS {
            self.now_ms += STEP_MS;
            self.end_runs();
            self.end_probes();
            self.end_waits();
            self.send_new();
            if self.now_ms.is_multiple_of(UPDATE_PERIOD_MS) {
                self.exchange_updates();
            }
        }
        self.report
    }

    pub fn send_new(&mut self) {
        let step = STEP_MS as f64 / 1000.0;
        let CrowdPlan { contents, innocent_rate, crashers, crasher_rate, .. } = self.plan;
        if self.random.random_bool(innocent_rate * step) {
            let request = RequestKey(self.random.random_range(0..contents));
            self.report.innocents += 1;
            self.send_first(request);
        }
        if self.random.random_bool(crasher_rate * step) {
            let request = RequestKey(CRASHING + self.random.random_range(0..crashers));
            self.send_first(request);
        }
    }

    pub fn send_first(&mut self, request: RequestKey) {
        let host = self.random.random_range(0..HOSTS);
        self.admit(WaitingRequest { request, host, attempts: 0, began_ms: self.now_ms });
    }

    /// Forwards a request, refuses it, or lets it wait.
    pub fn admit(&mut self, wait: WaitingRequest) {
        let WaitingRequest { request, host, attempts, began_ms } = wait;
        if attempts >= ATTEMPTS {
            return;
        }
        match self.trackers[host].verdict(request) {
            RequestVerdict::Free => self.send(request, host, attempts),
            RequestVerdict::Unsettled { .. }
                if at(self.now_ms).since(at(began_ms)) < SETTLE_TIME =>
            {
                self.waits.push(wait);
            }
            RequestVerdict::Unsettled { .. } => self.send(request, host, attempts),
            RequestVerdict::Held => {
                self.trackers[host].record_return(at(self.now_ms), request);
                self.report.innocents_held += usize::from(request.0 < CRASHING && attempts == 0);
            }
        }
    }

    pub fn end_waits(&mut self) {
        for wait in std::mem::take(&mut self.waits) {
            self.admit(wait);
        }
    }

    pub fn send(&mut self, request: RequestKey, host: usize, attempts: u32) {
        let up: Vec<usize> = (0..self.plan.servers)
            .filter(|index| self.servers[*index].up_at_ms <= self.now_ms)
            .collect();
        let Some(server) = up.choose(&mut self.random).copied() else { return };
        let is_crashing = request.0 >= CRASHING;
        let third = self.crash_counts.get(&request).filter(|(count, _)| *count >= 3);
        if third.is_some_and(|(_, at)| self.now_ms > at + LATE_AFTER_MS) {
            *self.report.late.entry(request).or_default() += 1;
        }
        let (least, most) = if is_crashing { self.plan.crash_ms } else { self.plan.run_ms };
        let began_ms = self.now_ms;
        let ends_ms = began_ms + self.random.random_range(least..=most);
        self.runs.push(Run { request, host, server, attempts: attempts + 1, began_ms, ends_ms });
    }

    pub fn end_runs(&mut self) {
        let now_ms = self.now_ms;
        let (due, rest): (Vec<Run>, Vec<Run>) =
            self.runs.drain(..).partition(|run| run.ends_ms <= now_ms);
        self.runs = rest;
        for run in due {
            if run.request.0 >= CRASHING {
                self.crash(run);
            } else if self.servers[run.server].up_at_ms <= now_ms {
                self.trackers[run.host].record_served(at(now_ms), run.request);
            }
        }
    }

    pub fn crash(&mut self, cause: Run) {
        if self.servers[cause.server].up_at_ms > self.now_ms {
            return;
        }
        let index = cause.server;
        let known = self.crash_counts.entry(cause.request).or_default();
        known.0 += 1;
        if known.0 == 3 {
            known.1 = self.now_ms;
        }
        self.report.crashes += 1;
        let server_key = ServerKey::from(NameKey(self.servers[index].starts * 100 + index as u64));
        let (mut lost, rest): (Vec<Run>, Vec<Run>) =
            self.runs.drain(..).partition(|run| run.server == index);
        self.runs = rest;
        lost.push(cause);
        let (least, most) = self.plan.down_ms;
        let down = self.random.random_range(least..most);
        self.servers[index] =
            Server { starts: self.servers[index].starts + 1, up_at_ms: self.now_ms + down };
        let lost_ms = self.now_ms;
        for run in &lost {
            let due_ms = lost_ms + PROBE_DELAY_MS;
            self.probes.push(PendingProbe { due_ms, lost_ms, server_key, run: run.clone() });
        }
        for run in lost {
            let Run { request, host, attempts, .. } = run;
            self.admit(WaitingRequest { request, host, attempts, began_ms: self.now_ms });
        }
    }

    pub fn end_probes(&mut self) {
        let now_ms = self.now_ms;
        let (due, rest): (Vec<PendingProbe>, Vec<PendingProbe>) =
            self.probes.drain(..).partition(|probe| probe.due_ms <= now_ms);
        self.probes = rest;
        for PendingProbe { server_key, run, lost_ms, .. } in due {
            let Run { request, host, began_ms, .. } = run;
            let loss = ConnectionLoss {
                request,
                sent_at: at(began_ms),
                lost_at: at(lost_ms),
                unwritten_parts: Arc::default(),
            };
            self.trackers[host].record_loss(at(now_ms), server_key, &loss);
        }
    }

    pub fn exchange_updates(&mut self) {
        let now = at(self.now_ms);
        for from in 0..HOSTS {
            let report = self.trackers[from].unsent(now);
            if report.is_empty() {
                continue;
            }
            for to in (0..HOSTS).filter(|to| *to != from) {
                if !self.random.random_bool(UPDATE_LOSS) {
                    self.trackers[to].merge(now, &report);
                }
            }
        }
    }
}
