//! Which servers receive memory requests when a deployment of hundreds of servers is nearly full.
//!
//! Servers are simulated by their free memory. Hosts know nothing about the loads, which is the
//! worst case of stale load updates.

use rstest::rstest;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tealcleat::fleet::{ServerEntry, ServerStage, ServerState, StageChanges};
use tealcleat::keys::{NameKey, ServerKey, TimePoint};
use tealcleat::placement::{
    DomainBreakers, LoadTable, MemorySearch, RankingContext, RankingCriterion, SearchStep,
    memory_wait, rank_servers,
};

const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];
const MEMORY_TOKENS: u32 = 28_650;
const ANSWER_TOKENS: u32 = 4000;
/// How long a search waits until a run ends.
const LONGEST_WAIT: Duration = Duration::from_millis(60);
/// Round trip of a hold request.
const ROUND_TRIP: Duration = Duration::from_millis(2);

/// Decode servers and the free memory of each.
struct Fleet {
    servers: Vec<ServerEntry>,
    free: HashMap<ServerKey, u32>,
}

impl Fleet {
    fn new(count: usize, free: impl Fn(usize) -> u32) -> Self {
        let servers: Vec<ServerEntry> = (0..count).map(server).collect();
        let free = servers.iter().enumerate().map(|(index, s)| (s.key(), free(index))).collect();
        Self { servers, free }
    }

    /// Searches for a request of domain `a` with `host` as its salt. Returns the number of servers
    /// tried and whether one of them had enough memory.
    fn search(&self, host: u64) -> (usize, bool) {
        let local_domain = NameKey::of(DOMAINS[0]);
        let mut now = TimePoint::from_millis(1000);
        let mut search = MemorySearch::new(local_domain);
        loop {
            let ranked = self.ranked(now, local_domain, search.remote_penalty(), host);
            match search.next(LONGEST_WAIT, ranked.iter().map(|server| server.key())) {
                SearchStep::Request(key) if self.free[&key] >= ANSWER_TOKENS => {
                    return (search.request_count(), true);
                }
                SearchStep::Request(key) => {
                    now = now + ROUND_TRIP;
                    let server = ranked.iter().find(|entry| entry.key() == key).expect("ranked");
                    search.record_refusal(server.domain);
                }
                SearchStep::Pause(pause) => now = now + pause,
                SearchStep::Refuse => return (search.request_count(), false),
            }
        }
    }

    fn ranked(
        &self,
        now: TimePoint,
        local_domain: NameKey,
        remote_penalty: f64,
        salt: u64,
    ) -> Vec<&ServerEntry> {
        let (loads, health) = (LoadTable::default(), HashMap::new());
        let (domains, stage_changes) = (DomainBreakers::default(), StageChanges::default());
        let context = RankingContext {
            loads: &loads,
            health: &health,
            domains: &domains,
            stage_changes: &stage_changes,
            relative_paces: None,
            connected: &HashSet::new(),
            local_domain,
            remote_penalty,
            weights: None,
            salt,
        };
        rank_servers(
            now,
            &context,
            RankingCriterion::DecodeMemory(MEMORY_TOKENS),
            self.servers.iter(),
        )
    }
}

fn server(index: usize) -> ServerEntry {
    ServerEntry {
        id: format!("decode-{index}"),
        started_at: None,
        version: "v1".to_owned(),
        service: NameKey::of("engines"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: NameKey::of(DOMAINS[index % DOMAINS.len()]),
        state: ServerState::Ready,
        stage: Some(ServerStage::Decode),
        slots: 12,
        cold_ms: 0,
    }
}

/// Guards against a search that stays in a full failure domain while the others have free memory.
/// When hosts kept trying the six best servers of their own domain, 80 of 103 requests refused in
/// one second came from one domain.
#[test]
fn search_leaves_a_full_domain() {
    let fleet = Fleet::new(165, |index| if index % 5 == 0 { 500 } else { 12_000 });
    for host in 0..200 {
        let (tried, found) = fleet.search(host);
        assert!(found, "host {host}");
        assert!(tried <= 8, "{tried} tried");
    }
}

/// A burst fills nine of ten servers in all domains. Guards against a search that tries only the
/// six best servers, each twice, which finds the tenth server in half of the cases.
#[test]
fn search_finds_scattered_memory() {
    let fleet = Fleet::new(165, |index| if index % 10 == 3 { 9000 } else { 1000 });
    let found = (0..1000).filter(|host| fleet.search(*host).1).count();
    assert!(found >= 800, "{found} of 1000");
}

/// All servers are full. The caller is refused soon, and no server is flooded with requests.
#[rstest]
#[case::few_servers(5)]
#[case::hundreds(165)]
fn search_of_a_full_fleet_ends_soon(#[case] servers: usize) {
    let fleet = Fleet::new(servers, |_| 0);
    for host in 0..100 {
        let (tried, found) = fleet.search(host);
        assert!(!found);
        assert!(tried <= 18, "{tried} tried");
    }
}

/// With few servers, a second round finds memory that is freed a moment later.
#[test]
fn search_tries_few_servers_again() {
    let keys = [NameKey(1), NameKey(2)];
    let mut search = MemorySearch::new(NameKey::of("a"));
    let steps: Vec<SearchStep> =
        (0..9).map(|_| search.next(LONGEST_WAIT, keys.iter().copied())).collect();
    let pause = SearchStep::Pause(Duration::from_millis(25));
    let (first, second) = (SearchStep::Request(keys[0]), SearchStep::Request(keys[1]));
    let refuse = SearchStep::Refuse;
    assert_eq!(steps, [first, second, pause, first, second, pause, first, second, refuse]);
}

/// A caller waits until a run is expected to end if it has the time, however long that is, and is refused at once otherwise.
#[rstest]
#[case::many_runs(Some(3000), 20, 4, 14_000, 150)]
#[case::few_runs(Some(3000), 2, 2, 14_000, 1500)]
#[case::long_runs(Some(30_000), 20, 4, 14_000, 1500)]
#[case::many_runs_end_within_a_pause(Some(3000), 600, 100, 14_000, 25)]
#[case::no_known_runs_at_full_servers(Some(3000), 0, 10, 14_000, 300)]
#[case::time_left_just_suffices(Some(3000), 20, 4, 151, 150)]
#[case::no_time_for_it(Some(3000), 20, 4, 150, 0)]
#[case::nothing_measured(None, 20, 4, 14_000, 0)]
#[case::no_server(Some(3000), 0, 0, 14_000, 0)]
fn memory_wait_lasts_until_a_run_ends(
    #[case] run_ms: Option<u64>,
    #[case] runs: u32,
    #[case] servers: usize,
    #[case] left_ms: u64,
    #[case] expected_ms: u64,
) {
    let (run_time, left) = (run_ms.map(Duration::from_millis), Duration::from_millis(left_ms));
    let wait = memory_wait(run_time, runs, servers, left);
    assert_eq!(wait, Duration::from_millis(expected_ms));
}

#[test]
fn search_without_servers_refuses_at_once() {
    let mut search = MemorySearch::new(NameKey::of("a"));
    assert_eq!(search.next(LONGEST_WAIT, std::iter::empty()), SearchStep::Refuse);
}

/// Requests spread evenly over equal servers of the local domain, whichever host receives them.
#[test]
fn ranking_spreads_requests_over_equal_servers() {
    let fleet = Fleet::new(50, |_| MEMORY_TOKENS);
    let local_domain = NameKey::of(DOMAINS[0]);
    let now = TimePoint::from_millis(0);
    let mut chosen: HashMap<ServerKey, usize> = HashMap::new();
    for request in 0..1000 {
        *chosen.entry(fleet.ranked(now, local_domain, 0.3, request)[0].key()).or_default() += 1;
    }
    assert_eq!(chosen.len(), 10, "all servers of the local domain");
    assert!(chosen.values().all(|requests| (60..=140).contains(requests)), "{chosen:?}");
}
