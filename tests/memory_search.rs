//! Who is asked for memory when a deployment of hundreds of servers is nearly full. Servers are plain
//! numbers here; hosts know nothing of their loads, which is the worst that stale news can do.

use rstest::rstest;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tealcleat::fleet::{ServerEntry, ServerStage, ServerState, StageChanges};
use tealcleat::keys::{NameKey, ServerKey, TimePoint};
use tealcleat::placement::{
    DomainBreakers, LoadTable, MemorySearch, RankingContext, RankingCriterion, SearchStep,
    rank_servers,
};

const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];
const MEMORY: u32 = 28_650;
const ANSWER: u32 = 4000;
/// An answer to a hold, and its way.
const EXCHANGE: Duration = Duration::from_millis(2);

/// Decode servers and the memory that each has left.
struct Fleet {
    servers: Vec<ServerEntry>,
    left: HashMap<ServerKey, u32>,
}

impl Fleet {
    fn new(count: usize, left: impl Fn(usize) -> u32) -> Self {
        let servers: Vec<ServerEntry> = (0..count).map(server).collect();
        let left = servers.iter().enumerate().map(|(place, s)| (s.key(), left(place))).collect();
        Self { servers, left }
    }

    /// Searches for a request of domain `a` whose salt is `host`; how many were asked, and whether one
    /// of them had memory.
    fn search(&self, host: u64) -> (usize, bool) {
        let near = NameKey::of(DOMAINS[0]);
        let mut now = TimePoint::from_millis(1000);
        let mut search = MemorySearch::new(now, near);
        loop {
            let ranked = self.ranked(now, near, search.remote_penalty(), host);
            match search.next(now, ranked.iter().map(|server| server.key())) {
                SearchStep::Request(key) if self.left[&key] >= ANSWER => {
                    return (search.request_count(), true);
                }
                SearchStep::Request(key) => {
                    now = now + EXCHANGE;
                    let asked = ranked.iter().find(|server| server.key() == key).expect("ranked");
                    search.record_refusal(asked.domain);
                }
                SearchStep::Pause(pause) => now = now + pause,
                SearchStep::Refuse => return (search.request_count(), false),
            }
        }
    }

    fn ranked(&self, now: TimePoint, near: NameKey, abroad: f64, salt: u64) -> Vec<&ServerEntry> {
        let (board, health) = (LoadTable::default(), HashMap::new());
        let (domains, changes) = (DomainBreakers::default(), StageChanges::default());
        let view = RankingContext {
            loads: &board,
            health: &health,
            domains: &domains,
            stage_changes: &changes,
            connected: &HashSet::new(),
            local_domain: near,
            remote_penalty: abroad,
            salt,
        };
        rank_servers(now, &view, RankingCriterion::DecodeMemory(MEMORY), self.servers.iter())
    }
}

fn server(place: usize) -> ServerEntry {
    ServerEntry {
        id: format!("decode-{place}"),
        started_at: None,
        service: NameKey::of("engines"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: NameKey::of(DOMAINS[place % DOMAINS.len()]),
        state: ServerState::Ready,
        stage: Some(ServerStage::Decode),
        slots: 12,
        cold_ms: 0,
    }
}

/// Pattern: a wave in one failure domain while the others have room. Of 103 requests refused in one
/// second, 80 were those of one domain; the hosts had asked its own six best servers again and again.
#[test]
fn search_leaves_a_full_domain() {
    let fleet = Fleet::new(165, |place| if place % 5 == 0 { 500 } else { 12_000 });
    for host in 0..200 {
        let (asked, found) = fleet.search(host);
        assert!(found, "host {host}");
        assert!(asked <= 8, "{asked} asked");
    }
}

/// Pattern: a burst that fills nine of ten servers everywhere. Six best servers, asked twice, find
/// the tenth one in half of the searches.
#[test]
fn search_finds_scattered_room() {
    let fleet = Fleet::new(165, |place| if place % 10 == 3 { 9000 } else { 1000 });
    let found = (0..1000).filter(|host| fleet.search(*host).1).count();
    assert!(found >= 800, "{found} of 1000");
}

/// Pattern: everything is full. The caller hears so soon, and no server is flooded.
#[rstest]
#[case::few_servers(5)]
#[case::hundreds(165)]
fn search_in_a_full_fleet_ends_soon(#[case] servers: usize) {
    let fleet = Fleet::new(servers, |_| 0);
    for host in 0..100 {
        let (asked, found) = fleet.search(host);
        assert!(!found);
        assert!(asked <= 18, "{asked} asked");
    }
}

/// Pattern: few servers, one of which frees memory a moment later.
#[test]
fn search_asks_few_servers_again() {
    let keys = [NameKey(1), NameKey(2)];
    let start = TimePoint::from_millis(0);
    let mut search = MemorySearch::new(start, NameKey::of("a"));
    let mut steps = Vec::new();
    let mut now = start;
    for _ in 0..7 {
        let step = search.next(now, keys.iter().copied());
        if let SearchStep::Pause(pause) = step {
            now = now + pause;
        }
        steps.push(step);
    }
    let pause = SearchStep::Pause(Duration::from_millis(25));
    let (first, second) = (SearchStep::Request(keys[0]), SearchStep::Request(keys[1]));
    assert_eq!(steps, [first, second, pause, first, second, pause, first]);
}

#[test]
fn search_without_servers_refuses_at_once() {
    let mut search = MemorySearch::new(TimePoint::from_millis(0), NameKey::of("a"));
    assert_eq!(search.next(TimePoint::from_millis(0), std::iter::empty()), SearchStep::Refuse);
}

/// Requests spread evenly over equal servers of the own domain, whatever host they come to.
#[test]
fn equal_servers_shared_out_among_requests() {
    let fleet = Fleet::new(50, |_| MEMORY);
    let near = NameKey::of(DOMAINS[0]);
    let now = TimePoint::from_millis(0);
    let mut chosen: HashMap<ServerKey, usize> = HashMap::new();
    for request in 0..1000 {
        *chosen.entry(fleet.ranked(now, near, 0.3, request)[0].key()).or_default() += 1;
    }
    assert_eq!(chosen.len(), 10, "all servers of the own domain");
    assert!(chosen.values().all(|requests| (60..=140).contains(requests)), "{chosen:?}");
}
