//! The hosts, their servers and the updates between them.

use super::{
    DOMAINS, HOSTS, LESS_URGENT, Load, MAX_ASKED, MEMORY, SERVERS, SERVICE, STEP, Served,
    UPDATE_STEPS, URGENT, URGENT_SEARCHES,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tealcleat::admission::{
    AdmissionControl, AdmissionDecision, AdmissionRequest, DecodePool, MemoryUse, PressureLevel,
    PressureUpdate, SearchOutcome, reserve_order,
};
use tealcleat::keys::{IncarnationId, NameKey, ServerKey, TimePoint};

pub struct Run {
    ends_at: TimePoint,
    host: usize,
    server: usize,
    request: AdmissionRequest,
    memory: MemoryUse,
}

pub struct Cluster {
    load: Load,
    /// Draws what callers send, which is the same with and without admission.
    callers: StdRng,
    random: StdRng,
    hosts: Vec<AdmissionControl>,
    /// When each host last sent its figures.
    sent_at: Vec<TimePoint>,
    pool: DecodePool,
    used: Vec<u32>,
    announced: Vec<u32>,
    runs: Vec<Run>,
    messages: Vec<(TimePoint, usize, PressureUpdate)>,
    waiting: Vec<(TimePoint, usize, (AdmissionRequest, u32), u32)>,
    served: Served,
}

pub fn decode_pool() -> DecodePool {
    let server = |index: usize| (ServerKey::of(&format!("decode-{index}")), DOMAINS[index % 3]);
    DecodePool {
        service: SERVICE,
        servers: (0..SERVERS).map(server).collect(),
        memory_tokens: MEMORY,
        ranks: vec![URGENT, LESS_URGENT],
        org_weights: HashMap::from([(0, 1.0)]),
        host_count: HOSTS / 3,
        longest_run: Duration::from_secs(14),
    }
}

impl Cluster {
    pub fn new(load: Load) -> Self {
        Self {
            callers: StdRng::seed_from_u64(load.seed + 1000),
            random: StdRng::seed_from_u64(load.seed),
            load,
            hosts: vec![AdmissionControl::default(); HOSTS],
            sent_at: vec![TimePoint::default(); HOSTS],
            pool: decode_pool(),
            used: vec![0; SERVERS],
            announced: vec![0; SERVERS],
            runs: Vec::new(),
            messages: Vec::new(),
            waiting: Vec::new(),
            served: Served::default(),
        }
    }

    pub fn play(mut self) -> Served {
        for step in 0..11_000 / STEP.as_millis() as usize {
            self.advance(step);
        }
        self.served
    }

    pub fn advance(&mut self, step: usize) -> TimePoint {
        let now = TimePoint::default() + STEP * step as u32;
        self.end_runs(now);
        self.deliver(now);
        for host in (0..HOSTS).filter(|host| (step + host * 7).is_multiple_of(UPDATE_STEPS)) {
            self.send_figures(now, host);
        }
        if step.is_multiple_of(100) {
            self.announced.clone_from(&self.used);
        }
        self.arrive(now);
        let ready: Vec<_> = self.waiting.extract_if(.., |waiting| waiting.0 <= now).collect();
        for (_, host, request, searches) in ready {
            self.serve(now, host, request, searches);
        }
        now
    }

    /// Time from the first host that knows of a shortage to the one by which nine in ten do.
    pub fn shortage_spread(mut self) -> Duration {
        let mut first = None;
        for step in 0.. {
            let now = self.advance(step);
            let is_short = |host: &&AdmissionControl| host.level(SERVICE) == PressureLevel::Short;
            let short = self.hosts.iter().filter(is_short).count();
            if short > 0 {
                first.get_or_insert(now);
            }
            if short * 10 >= HOSTS * 9 {
                return now.since(first.unwrap_or(now));
            }
        }
        Duration::MAX
    }

    pub fn end_runs(&mut self, now: TimePoint) {
        for run in self.runs.extract_if(.., |run| run.ends_at <= now) {
            self.used[run.server] -= run.request.tokens;
            self.hosts[run.host].record_end(run.memory);
        }
    }

    pub fn deliver(&mut self, now: TimePoint) {
        for (_, to, update) in self.messages.extract_if(.., |message| message.0 <= now) {
            self.hosts[to].apply(now, update);
        }
    }

    pub fn send(&mut self, now: TimePoint, to: usize, update: &PressureUpdate) {
        if self.random.random::<f64>() >= self.load.loss {
            let delay = Duration::from_millis(self.random.random_range(1..20));
            self.messages.push((now + delay, to, update.clone()));
        }
    }

    pub fn send_figures(&mut self, now: TimePoint, host: usize) {
        let id = IncarnationId(host as u64);
        let change = self.hosts[host].update_level(now, &self.pool);
        let is_new = matches!(change, Some((PressureLevel::Short, _)));
        if is_new {
            self.announce(now, host);
        }
        let period = self.hosts[host].send_period(SERVICE);
        if !is_new && now.since(self.sent_at[host]) < period {
            return;
        }
        self.sent_at[host] = now;
        let update = self.hosts[host].own_update(now, id);
        for _ in 0..8 {
            let to = self.random.random_range(0..HOSTS / 3) * 3 + host % 3;
            if to != host {
                self.send(now, to, &update);
            }
        }
        let pools = [self.pool.clone()];
        let update = self.hosts[host].domain_update(now, id, DOMAINS[host % 3], &pools);
        for _ in 0..if is_new { 4 } else { 1 } {
            let domain = (host + self.random.random_range(1..3)) % 3;
            let to = self.random.random_range(0..HOSTS / 3) * 3 + domain;
            self.send(now, to, &update);
        }
    }

    pub fn announce(&mut self, now: TimePoint, host: usize) {
        let update = self.hosts[host].own_update(now, IncarnationId(host as u64));
        for to in (0..HOSTS).filter(|to| *to != host && to % 3 == host % 3) {
            self.send(now, to, &update);
        }
    }

    pub fn arrive(&mut self, now: TimePoint) {
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

    pub fn request(&mut self, now: TimePoint, rank: u8, org: NameKey) {
        let tokens = (3200.0 * self.spread()) as u32;
        let events = (69.0 * self.spread()).min(170.0) as u32;
        let draw = self.callers.random();
        let tokens = tokens + 13 * events;
        let request = AdmissionRequest { rank, org: Some(org), tokens, draw };
        let host = self.callers.random_range(0..HOSTS);
        self.serve(now, host, (request, events), 0);
    }

    /// Serves a request that has searched `searches` times before.
    pub fn serve(
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
        if server.is_none() && self.is_withheld(host, &request, &decision) {
            self.served.1 += 1;
        }
        let outcome = match (server, decision) {
            (Some(_), _) => SearchOutcome::Granted,
            (None, AdmissionDecision::Refuse(_)) => SearchOutcome::Withheld,
            (None, _) => SearchOutcome::Refused,
        };
        self.hosts[host].record_search(now, SERVICE, &request, outcome);
        if outcome == SearchOutcome::Refused && self.hosts[host].begin_announcement(now) {
            self.announce(now, host);
        }
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

    /// Whether a server has memory for the request, and is kept from it although it is not reserved for a more urgent rank.
    pub fn is_withheld(
        &self,
        host: usize,
        request: &AdmissionRequest,
        decision: &AdmissionDecision,
    ) -> bool {
        let AdmissionDecision::Search(parts) = decision else { return false };
        let count = self.hosts[host].reserved_count(&self.pool);
        let order = reserve_order(&self.pool.servers);
        let kept = parts.without.iter().filter(|server| !order[..count].contains(server));
        let has_memory = |server: &ServerKey| {
            let known = self.pool.servers.iter().position(|(key, _)| key == server);
            known.is_some_and(|index| self.used[index] + request.tokens <= MEMORY)
        };
        kept.into_iter().any(has_memory)
    }

    /// A random factor with a mean of 1 and a spread of half.
    pub fn spread(&mut self) -> f64 {
        let normal: f64 = (0..12).map(|_| self.callers.random::<f64>()).sum::<f64>() - 6.0;
        (normal * 0.5 - 0.125).exp()
    }

    /// The first server with memory among those that a search asks, best by announced loads first.
    pub fn search(
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
