//! Who gets decode memory while it is short, decided by many hosts that exchange their figures with delay and loss.
//!
//! Servers are simulated by their free memory. A run uses all of its memory from the start.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tealcleat::admission::{
    AdmissionControl, AdmissionDecision, AdmissionRequest, DecodePool, MemoryUse, PressureScope,
    PressureUpdate, RankPressure, SearchOutcome, ServicePressure, fair_share, reserve_order,
};
use tealcleat::keys::{IncarnationId, NameKey, ServerKey, TimePoint};

const HOSTS: usize = 71;
const SERVERS: usize = 39;
const DOMAINS: [NameKey; 3] = [NameKey(1), NameKey(2), NameKey(3)];
const MEMORY: u32 = 28_798;
const URGENT: u8 = 0;
const LESS_URGENT: u8 = 2;
const SERVICE: NameKey = NameKey(7);
const STEP: Duration = Duration::from_millis(5);
/// How often each host sends its figures, in steps.
const SEND_STEPS: usize = 40;
/// Most servers that one search asks.
const MAX_ASKED: usize = 18;
/// How often an urgent request that found no memory searches again, each after 20 ms.
const URGENT_SEARCHES: u32 = 5;

/// What callers send, and what goes wrong.
#[derive(Debug, Clone)]
struct Load {
    with_admission: bool,
    /// Factor of the urgent and of the less urgent load from second 6 to second 11.
    burst: (f64, f64),
    /// Factor of the load of the first organisation in that time.
    org_burst: f64,
    /// Fraction of the messages between hosts that are lost.
    loss: f64,
    seed: u64,
}

impl Load {
    const fn burst(urgent: f64, less_urgent: f64) -> Self {
        Self {
            with_admission: true,
            burst: (urgent, less_urgent),
            org_burst: 1.0,
            loss: 0.02,
            seed: 1,
        }
    }
}

/// Requests of the burst by rank, organisation and tokens, and whether each was served.
#[derive(Debug, Default)]
struct Served(Vec<(u8, NameKey, u32, bool)>);

impl Served {
    fn fraction(&self, is_counted: impl Fn(u8, NameKey, u32) -> bool) -> f64 {
        let counted =
            self.0.iter().filter(|(rank, org, tokens, _)| is_counted(*rank, *org, *tokens));
        let (served, all) =
            counted.fold((0_u32, 0_u32), |(served, all), row| (served + u32::from(row.3), all + 1));
        f64::from(served) / f64::from(all.max(1))
    }

    fn rank(&self, rank: u8) -> f64 {
        self.fraction(|of, _, _| of == rank)
    }

    /// The fraction served of the less urgent requests between two quantiles of size.
    fn size(&self, from: f64, to: f64) -> f64 {
        let mut sizes: Vec<u32> =
            self.0.iter().filter(|row| row.0 == LESS_URGENT).map(|row| row.2).collect();
        sizes.sort_unstable();
        let at = |quantile: f64| sizes[((sizes.len() - 1) as f64 * quantile) as usize];
        let range = at(from)..=at(to);
        self.fraction(|rank, _, tokens| rank == LESS_URGENT && range.contains(&tokens))
    }
}

struct Run {
    ends_at: TimePoint,
    host: usize,
    server: usize,
    request: AdmissionRequest,
    memory: MemoryUse,
}

struct Cluster {
    load: Load,
    /// Draws what callers send, which is the same with and without admission.
    callers: StdRng,
    random: StdRng,
    hosts: Vec<AdmissionControl>,
    pool: DecodePool,
    used: Vec<u32>,
    announced: Vec<u32>,
    runs: Vec<Run>,
    messages: Vec<(TimePoint, usize, PressureUpdate)>,
    waiting: Vec<(TimePoint, usize, (AdmissionRequest, u32), u32)>,
    served: Served,
    stats: [[u32; 3]; 120],
}

fn decode_pool() -> DecodePool {
    let server = |index: usize| (ServerKey::of(&format!("decode-{index}")), DOMAINS[index % 3]);
    DecodePool {
        service: SERVICE,
        servers: (0..SERVERS).map(server).collect(),
        memory_tokens: MEMORY,
        ranks: vec![URGENT, LESS_URGENT],
        has_orgs: true,
        host_count: HOSTS / 3,
    }
}

impl Cluster {
    fn new(load: Load) -> Self {
        Self {
            callers: StdRng::seed_from_u64(load.seed + 1000),
            random: StdRng::seed_from_u64(load.seed),
            load,
            hosts: vec![AdmissionControl::default(); HOSTS],
            pool: decode_pool(),
            used: vec![0; SERVERS],
            announced: vec![0; SERVERS],
            runs: Vec::new(),
            messages: Vec::new(),
            waiting: Vec::new(),
            stats: [[0; 3]; 120],
            served: Served::default(),
        }
    }

    fn play(mut self) -> Served {
        for step in 0..11_000 / STEP.as_millis() as usize {
            let now = TimePoint::default() + STEP * step as u32;
            self.end_runs(now);
            self.deliver(now);
            for host in (0..HOSTS).filter(|host| (step + host * 7) % SEND_STEPS == 0) {
                self.send_figures(now, host);
            }
            if step % 100 == 0 {
                self.announced.clone_from(&self.used);
            }
            self.arrive(now);
            let ready: Vec<_> = self.waiting.extract_if(.., |waiting| waiting.0 <= now).collect();
            for (_, host, request, searches) in ready {
                self.serve(now, host, request, searches);
            }
            if std::env::var("TRACE").is_ok() && step % 100 == 99 {
                let s = self.stats[step / 100];
                let o = reserve_order(&self.pool.servers);
                let c = self.hosts[0].clone().reserved_count(&self.pool);
                let idx = |k: &ServerKey| self.pool.servers.iter().position(|s| s.0 == *k).unwrap();
                let ru: f64 = o.iter().take(c).map(|k| self.used[idx(k)] as f64 / 28798.0).sum();
                let lu: Vec<String> = o
                    .iter()
                    .rev()
                    .take(8)
                    .map(|k| format!("{:.2}", self.used[idx(k)] as f64 / 28798.0))
                    .collect();
                let c = format!(
                    "{c} resused {ru:.2} last8 {lu:?} level {:?}",
                    self.hosts[0].level(SERVICE)
                );
                println!(
                    "  t {:.1} used {:.3} granted {} refused {} withheld {} reserved {c} urgent {}",
                    now.0 as f64 / 1e6,
                    self.used.iter().sum::<u32>() as f64 / (MEMORY as f64 * 39.0),
                    s[0],
                    s[1],
                    s[2],
                    self.runs
                        .iter()
                        .filter(|r| r.request.rank == 0)
                        .map(|r| r.request.tokens)
                        .sum::<u32>()
                        / 28798
                );
            }
        }
        self.served
    }

    fn end_runs(&mut self, now: TimePoint) {
        for run in self.runs.extract_if(.., |run| run.ends_at <= now) {
            self.used[run.server] -= run.request.tokens;
            self.hosts[run.host].record_end(run.memory);
        }
    }

    fn deliver(&mut self, now: TimePoint) {
        for (_, to, update) in self.messages.extract_if(.., |message| message.0 <= now) {
            self.hosts[to].apply(now, update);
        }
    }

    fn send(&mut self, now: TimePoint, to: usize, update: &PressureUpdate) {
        if self.random.random::<f64>() >= self.load.loss {
            let delay = Duration::from_millis(self.random.random_range(1..20));
            self.messages.push((now + delay, to, update.clone()));
        }
    }

    fn send_figures(&mut self, now: TimePoint, host: usize) {
        let id = IncarnationId(host as u64);
        let update = self.hosts[host].own_update(now, id);
        for _ in 0..8 {
            let to = self.random.random_range(0..HOSTS / 3) * 3 + host % 3;
            if to != host {
                self.send(now, to, &update);
            }
        }
        let pools = [self.pool.clone()];
        let update = self.hosts[host].domain_update(now, id, DOMAINS[host % 3], &pools);
        let to = self.random.random_range(0..HOSTS);
        if to % 3 != host % 3 {
            self.send(now, to, &update);
        }
    }

    fn arrive(&mut self, now: TimePoint) {
        let is_burst = now >= TimePoint::from_millis(6000);
        let factor = |factor: f64| if is_burst { factor } else { 1.0 };
        let base = [(URGENT, 4.45, self.load.burst.0), (LESS_URGENT, 63.2, self.load.burst.1)];
        for (rank, rate, burst) in base {
            for org in 0..16 {
                let org_factor = if org == 0 { factor(self.load.org_burst) } else { 1.0 };
                let rate = rate / 16.0 * factor(burst) * org_factor * STEP.as_secs_f64();
                if self.callers.random::<f64>() < rate {
                    self.request(now, rank, NameKey(org));
                }
            }
        }
    }

    fn request(&mut self, now: TimePoint, rank: u8, org: NameKey) {
        let tokens = (3200.0 * self.spread()) as u32;
        let events = (69.0 * self.spread()).min(170.0) as u32;
        let draw = self.callers.random();
        let tokens = tokens + 13 * events;
        let request = AdmissionRequest { rank, org: Some(org), tokens, is_return: false, draw };
        let host = self.callers.random_range(0..HOSTS);
        self.serve(now, host, (request, events), 0);
    }

    /// Serves a request that has searched `searches` times before.
    fn serve(
        &mut self,
        now: TimePoint,
        host: usize,
        (request, events): (AdmissionRequest, u32),
        searches: u32,
    ) {
        let decision = match self.load.with_admission {
            true => self.hosts[host].decide(now, &self.pool, &request),
            false => AdmissionDecision::Everywhere,
        };
        let server = self.search(host, &request, &decision);
        let may_wait = matches!(&decision, AdmissionDecision::Search(parts) if parts.is_urgent);
        if server.is_none() && may_wait && searches < URGENT_SEARCHES {
            let at = now + Duration::from_millis(20);
            return self.waiting.push((at, host, (request, events), searches + 1));
        }
        let outcome = match (server, decision) {
            (Some(_), _) => SearchOutcome::Granted,
            (None, AdmissionDecision::Refuse(_)) => SearchOutcome::Withheld,
            (None, _) => SearchOutcome::Refused,
        };
        self.stats[(now.0 / 500_000) as usize][match outcome {
            SearchOutcome::Granted => 0,
            SearchOutcome::Refused => 1,
            _ => 2,
        }] += 1;
        self.hosts[host].record_search(now, SERVICE, &request, outcome);
        if let Some(server) = server {
            let ends_at = now + Duration::from_millis(u64::from(events) * 43);
            self.used[server] += request.tokens;
            let memory = self.hosts[host].record_begin(SERVICE, &request);
            self.runs.push(Run { ends_at, host, server, request, memory });
        }
        if now >= TimePoint::from_millis(6000) {
            let org = request.org.unwrap_or_default();
            self.served.0.push((request.rank, org, request.tokens, server.is_some()));
        }
    }

    /// A random factor with a mean of 1 and a spread of half.
    fn spread(&mut self) -> f64 {
        let normal: f64 = (0..12).map(|_| self.callers.random::<f64>()).sum::<f64>() - 6.0;
        (normal * 0.5 - 0.125).exp()
    }

    /// The first server with memory among those that a search asks, best by announced loads first.
    fn search(
        &mut self,
        host: usize,
        request: &AdmissionRequest,
        decision: &AdmissionDecision,
    ) -> Option<usize> {
        let none = HashSet::new();
        let (first, excluded) = match decision {
            AdmissionDecision::Everywhere => (&none, &none),
            AdmissionDecision::Search(parts) => (&parts.first, &parts.without),
            AdmissionDecision::Refuse(_) => return None,
        };
        let mut ranked: Vec<(bool, f64, usize)> = (0..SERVERS)
            .filter(|index| !excluded.contains(&self.pool.servers[*index].0))
            .map(|index| {
                let (key, domain) = self.pool.servers[index];
                let remote = if domain == DOMAINS[host % 3] { 0.0 } else { 0.3 };
                let fullness = f64::from(self.announced[index]) / f64::from(MEMORY);
                let jitter = self.random.random::<f64>() * 0.06;
                (!first.contains(&key), fullness + remote + jitter, index)
            })
            .collect();
        ranked.sort_by(|left, right| left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)));
        let mut asked = ranked.into_iter().take(MAX_ASKED).map(|(_, _, index)| index);
        asked.find(|index| self.used[*index] + request.tokens <= MEMORY)
    }
}

fn mean(load: &Load, figure: impl Fn(&Served) -> f64) -> f64 {
    let seeds = 1..=4;
    let figures = seeds.map(|seed| figure(&Cluster::new(Load { seed, ..load.clone() }).play()));
    figures.sum::<f64>() / 4.0
}

#[test]
fn explore() {
    for (name, load) in [
        ("orgT", Load { org_burst: 7.5, ..Load::burst(1.0, 1.0) }),
        ("base", Load::burst(1.0, 1.0)),
        ("2.3", Load::burst(2.3, 2.3)),
        ("1.6", Load::burst(1.6, 1.6)),
        ("urgent 2", Load::burst(2.0, 1.0)),
        ("less 2", Load::burst(1.0, 2.0)),
        ("less 3", Load::burst(1.0, 3.0)),
        ("org", Load { org_burst: 7.5, ..Load::burst(1.0, 1.0) }),
        ("org 1.6", Load { org_burst: 7.5, ..Load::burst(1.6, 1.6) }),
    ] {
        for with_admission in [false, true] {
            let load = Load { with_admission, ..load.clone() };
            let served: Vec<Served> =
                (1..=8).map(|seed| Cluster::new(Load { seed, ..load.clone() }).play()).collect();
            let all = Served(served.into_iter().flat_map(|served| served.0).collect());
            let others = all.fraction(|rank, org, _| rank == LESS_URGENT && org != NameKey(0));
            let first = all.fraction(|rank, org, _| rank == LESS_URGENT && org == NameKey(0));
            let tokens: f64 = all.0.iter().filter(|row| row.3).map(|row| f64::from(row.2)).sum();
            println!(
                "{name:9} {with_admission:5} urgent {:.3} less {:.3} org0 {first:.3} others {others:.3} top {:.3} next {:.3} n {} tokens {:.0}k value {:.3}",
                all.rank(URGENT),
                all.rank(LESS_URGENT),
                all.size(0.9, 1.0),
                all.size(0.7, 0.9),
                all.0.len(),
                tokens / 1000.0,
                (74.0 * all.0.iter().filter(|r| r.3 && r.0 == 0).count() as f64
                    + 19.0 * all.0.iter().filter(|r| r.3 && r.0 == 2).count() as f64)
                    / (74.0 * 4.45 + 19.0 * 63.2)
                    / 40.0
            );
        }
    }
}
