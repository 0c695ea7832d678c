//! Retries over a whole fleet: hosts whose even share of the slack is less than they need, and the bound on all hosts
//! together, whichever hosts own the pools.

use rstest::rstest;
use std::collections::HashSet;
use std::time::Duration;
use tealcleat::keys::{NameKey, TimePoint, mix_hash};
use tealcleat::retries::{
    OwnShare, RetryBounds, RetryPools, RetryRequest, RetryShare, RetryWindow,
};

const SERVICE: NameKey = NameKey(1);
const WINDOW: Duration = Duration::from_secs(10);
const STEP_MS: u64 = 20;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

/// How the hosts of each failure domain see each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FleetFault {
    /// All hosts agree on one owner.
    Stable,
    /// Another host becomes the owner every second.
    OwnersChange,
    /// Each of two hosts is considered the owner by half of the hosts, for three seconds in every six.
    TwoOwners,
    /// Each domain is partitioned into three parts, each with an owner that sees only its part.
    Partition,
}

/// A fleet that requests retries: hosts with their own shares, and pools at the hosts that own them.
struct RetryFleet {
    bounds: RetryBounds,
    hosts: Vec<RetryWindow>,
    pools: Vec<RetryPools>,
    fault: FleetFault,
    granted: Vec<u64>,
    denied: usize,
}

impl RetryFleet {
    fn new(hosts: usize, domains: usize, slack: f64, fault: FleetFault) -> Self {
        Self {
            bounds: RetryBounds { ratio: 0.2, slack, window: WINDOW, domains },
            hosts: vec![RetryWindow::default(); hosts],
            pools: (0..hosts).map(|_| RetryPools::default()).collect(),
            fault,
            granted: Vec::new(),
            denied: 0,
        }
    }

    fn request(&mut self, millis: u64, host: usize) {
        self.hosts[host].record_request(at(millis), &self.bounds);
    }

    fn retry(&mut self, millis: u64, host: usize) {
        let share = OwnShare::new(&self.bounds, WINDOW, Some(self.hosts.len()));
        let own = self.hosts[host].try_take(at(millis), &self.bounds, share, 1);
        if own || self.request_from_owner(millis, host) {
            self.granted.push(millis);
        } else {
            self.denied += 1;
        }
    }

    /// Requests a retry from the owner of the host's pool. Hosts are assigned to the domains in round-robin order.
    fn request_from_owner(&mut self, millis: u64, host: usize) -> bool {
        let domains = self.bounds.domains;
        let (domain, index) = (host % domains, host / domains);
        let known = self.hosts.len() / domains;
        let (owner, seen) = match self.fault {
            FleetFault::Stable => (0, known),
            FleetFault::OwnersChange => ((millis / 1000) as usize % known, known),
            FleetFault::TwoOwners if millis % 6000 < 3000 => (index % 2, known),
            FleetFault::TwoOwners => (0, known),
            FleetFault::Partition => (index % 3, known.div_ceil(3)),
        };
        let share = RetryShare::for_domain(&self.bounds, seen, known);
        let is_settled = matches!(self.fault, FleetFault::Stable | FleetFault::Partition);
        let request = RetryRequest { sequence: 0, service: SERVICE, count: 1 };
        self.pools[owner * domains + domain].receive(at(millis), &request, &share, is_settled)
    }

    /// The largest number of retries in any window.
    fn most_in_window(&self) -> f64 {
        let end = self.granted.last().copied().unwrap_or_default();
        let length = WINDOW.as_millis() as u64;
        let counts = (0..=end).step_by(100).map(|from| {
            let first = self.granted.partition_point(|time| *time < from);
            (self.granted.partition_point(|time| *time < from + length) - first) as f64
        });
        counts.fold(0.0, f64::max)
    }
}

/// Guards against denied retries when a service fails a part of its requests and there are so many hosts that each
/// gets one request in several seconds. With even shares alone, a host had one retry and then none for ten seconds.
#[rstest]
#[case::thousand_hosts(1_000, 370)]
#[case::twice_the_size(2_000, 370)]
#[case::twice_the_traffic(2_000, 740)]
fn sparse_traffic_retries_granted(#[case] hosts: usize, #[case] requests_per_s: u64) {
    let mut fleet = RetryFleet::new(hosts, 5, 1_000.0, FleetFault::Stable);
    let mut random = 7_u64;
    for request in 0..requests_per_s * 30 {
        let millis = 20_000 + request * 1000 / requests_per_s;
        random = mix_hash(random, request);
        // Callers keep their connections, so a tenth of the hosts gets half of the requests.
        let host_count = if random.is_multiple_of(2) { hosts / 10 } else { hosts };
        let host = (random >> 8) as usize % host_count;
        fleet.request(millis, host);
        if (random >> 40) % 100 < 4 {
            fleet.retry(millis, host);
        }
    }
    assert!(fleet.granted.len() > 400, "{} retries", fleet.granted.len());
    assert_eq!(fleet.denied, 0, "of {}", fleet.granted.len() + fleet.denied);
}

/// Whichever hosts act as owners of a pool, all hosts together stay within the slack. There are no requests, so the ratio
/// allows nothing in addition.
#[rstest]
fn retry_storm_bounded(
    #[values(10, 300, 1_000, 2_000)] hosts: usize,
    #[values(
        FleetFault::Stable,
        FleetFault::OwnersChange,
        FleetFault::TwoOwners,
        FleetFault::Partition
    )]
    fault: FleetFault,
) {
    let slack = 1_000.0;
    let mut fleet = RetryFleet::new(hosts, 5, slack, fault);
    let mut random = 3_u64;
    for millis in (20_000..60_000).step_by(STEP_MS as usize) {
        // All servers fail for five seconds, and again five seconds later.
        if (millis / 5000_u64).is_multiple_of(2) {
            for draw in 0..24 {
                random = mix_hash(random, draw);
                let host = random as usize % hosts;
                fleet.retry(millis, host);
            }
        }
    }
    let most = fleet.most_in_window();
    assert!(most <= slack, "{most} retries");
    // A lasting owner grants much of the slack; one of a series of short-lived owners cannot.
    let least = if fault == FleetFault::OwnersChange { 0.05 } else { 0.3 };
    assert!(most > slack * least, "only {most} of the slack used");
}

/// A host that is cut off from all others of its domain grants only its own part of the pool.
#[test]
fn lone_hosts_of_a_domain_share_its_pool() {
    let bounds = RetryBounds { ratio: 0.2, slack: 1_000.0, window: WINDOW, domains: 5 };
    let share = RetryShare::for_domain(&bounds, 1, 200);
    let mut granted = 0;
    for _host in 0..200 {
        let mut pools = RetryPools::default();
        let requests =
            (0..20).map(|sequence| RetryRequest { sequence, service: SERVICE, count: 1 });
        granted += requests.filter(|request| pools.receive(at(0), request, &share, true)).count();
    }
    assert!(granted <= 150, "{granted} retries of the domain's 150");
}

#[test]
fn services_have_separate_pools() {
    let bounds = RetryBounds { ratio: 0.2, slack: 100.0, window: WINDOW, domains: 1 };
    let share = RetryShare::for_domain(&bounds, 4, 4);
    let mut pools = RetryPools::default();
    let mut granted = HashSet::new();
    for service in 1..=3 {
        for sequence in 0..100 {
            let request = RetryRequest { sequence, service: NameKey(service), count: 1 };
            if pools.receive(at(0), &request, &share, true) {
                granted.insert((service, sequence));
            }
        }
    }
    assert_eq!(granted.len(), 3 * 25);
}
