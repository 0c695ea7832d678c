//! Repeats over a whole fleet: hosts whose even share of the slack is less than they need, and the bound on all of them
//! together, whoever hands out the pools.

use rstest::rstest;
use std::collections::HashSet;
use std::time::Duration;
use tealcleat::keys::{NameKey, TimePoint, mix_hash};
use tealcleat::retries::{RetryBounds, RetryPools, RetryRequest, RetryShare, RetryWindow};

const SERVICE: NameKey = NameKey(1);
const WINDOW: Duration = Duration::from_secs(10);
const STEP_MS: u64 = 20;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

/// How the hosts of each failure domain see each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FleetTrouble {
    /// All agree on one owner.
    Calm,
    /// Another host becomes the owner every second.
    OwnersChange,
    /// Two hosts are believed to be the owner, by half of the others each, for three seconds in every six.
    TwoOwners,
    /// Each domain is cut into three parts, each with an owner that sees only its part.
    Cut,
}

/// A fleet that asks for repeats: hosts with their own parts, and pools at whoever owns them.
struct RetryFleet {
    bounds: RetryBounds,
    hosts: Vec<RetryWindow>,
    pools: Vec<RetryPools>,
    trouble: FleetTrouble,
    granted: Vec<u64>,
    denied: usize,
}

impl RetryFleet {
    fn new(hosts: usize, domains: usize, slack: f64, trouble: FleetTrouble) -> Self {
        Self {
            bounds: RetryBounds { ratio: 0.2, slack, window: WINDOW, domains },
            hosts: vec![RetryWindow::default(); hosts],
            pools: (0..hosts).map(|_| RetryPools::default()).collect(),
            trouble,
            granted: Vec::new(),
            denied: 0,
        }
    }

    fn request(&mut self, millis: u64, host: usize) {
        self.hosts[host].record_request(at(millis), &self.bounds);
    }

    fn repeat(&mut self, millis: u64, host: usize) {
        let hosts = self.hosts.len();
        let own = self.hosts[host].try_take(at(millis), &self.bounds, hosts, 1);
        if own || self.ask(millis, host) {
            self.granted.push(millis);
        } else {
            self.denied += 1;
        }
    }

    /// Hosts are numbered by turns over the domains.
    fn ask(&mut self, millis: u64, host: usize) -> bool {
        let domains = self.bounds.domains;
        let (domain, place) = (host % domains, host / domains);
        let known = self.hosts.len() / domains;
        let (owner, seen) = match self.trouble {
            FleetTrouble::Calm => (0, known),
            FleetTrouble::OwnersChange => ((millis / 1000) as usize % known, known),
            FleetTrouble::TwoOwners if millis % 6000 < 3000 => (place % 2, known),
            FleetTrouble::TwoOwners => (0, known),
            FleetTrouble::Cut => (place % 3, known.div_ceil(3)),
        };
        let share = RetryShare::for_domain(&self.bounds, seen, known);
        let is_settled = matches!(self.trouble, FleetTrouble::Calm | FleetTrouble::Cut);
        let ask = RetryRequest { sequence: 0, service: SERVICE, count: 1 };
        self.pools[owner * domains + domain].receive(at(millis), &ask, &share, is_settled)
    }

    /// The most repeats that any window holds.
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

/// Pattern: a service that fails part of its requests by itself, over so many hosts that each sees one request in some
/// seconds. With even shares alone a host had one repeat, and then none for ten seconds.
#[rstest]
#[case::thousand_hosts(1_000, 370)]
#[case::twice_the_size(2_000, 370)]
#[case::twice_the_traffic(2_000, 740)]
fn thin_traffic_repeats_granted(#[case] hosts: usize, #[case] requests_per_s: u64) {
    let mut fleet = RetryFleet::new(hosts, 5, 1_000.0, FleetTrouble::Calm);
    let mut chance = 7_u64;
    for request in 0..requests_per_s * 30 {
        let millis = 20_000 + request * 1000 / requests_per_s;
        chance = mix_hash(chance, request);
        // Callers keep their connections: a tenth of the hosts has half of the requests.
        let crowd = if chance.is_multiple_of(2) { hosts / 10 } else { hosts };
        let host = (chance >> 8) as usize % crowd;
        fleet.request(millis, host);
        if (chance >> 40) % 100 < 4 {
            fleet.repeat(millis, host);
        }
    }
    assert!(fleet.granted.len() > 400, "{} repeats", fleet.granted.len());
    assert_eq!(fleet.denied, 0, "of {}", fleet.granted.len() + fleet.denied);
}

/// Whoever believes to own a pool, all hosts together stay within the slack; what the ratio allows comes on top.
#[rstest]
fn storm_repeats_bounded(
    #[values(10, 300, 1_000, 2_000)] hosts: usize,
    #[values(
        FleetTrouble::Calm,
        FleetTrouble::OwnersChange,
        FleetTrouble::TwoOwners,
        FleetTrouble::Cut
    )]
    trouble: FleetTrouble,
) {
    let slack = 1_000.0;
    let mut fleet = RetryFleet::new(hosts, 5, slack, trouble);
    let mut chance = 3_u64;
    for millis in (20_000..60_000).step_by(STEP_MS as usize) {
        // All servers fail for five seconds, and again five seconds later.
        if (millis / 5000_u64).is_multiple_of(2) {
            for draw in 0..24 {
                chance = mix_hash(chance, draw);
                let host = chance as usize % hosts;
                fleet.repeat(millis, host);
            }
        }
    }
    let most = fleet.most_in_window();
    assert!(most <= slack, "{most} repeats");
    // An owner that lasts hands out what its predecessors cannot have.
    let least = if trouble == FleetTrouble::OwnersChange { 0.05 } else { 0.3 };
    assert!(most > slack * least, "only {most} of the slack used");
}

/// A host that is cut off from all others of its domain hands out its own part and no more.
#[test]
fn lone_hosts_of_a_domain_share_its_pool() {
    let bounds = RetryBounds { ratio: 0.2, slack: 1_000.0, window: WINDOW, domains: 5 };
    let share = RetryShare::for_domain(&bounds, 1, 200);
    let mut granted = 0;
    for _host in 0..200 {
        let mut pools = RetryPools::default();
        let asks = (0..20).map(|sequence| RetryRequest { sequence, service: SERVICE, count: 1 });
        granted += asks.filter(|ask| pools.receive(at(0), ask, &share, true)).count();
    }
    assert!(granted <= 150, "{granted} repeats of the domain's 150");
}

/// Services have a pool each.
#[test]
fn services_have_pools_of_their_own() {
    let bounds = RetryBounds { ratio: 0.2, slack: 100.0, window: WINDOW, domains: 1 };
    let share = RetryShare::for_domain(&bounds, 4, 4);
    let mut pools = RetryPools::default();
    let mut granted = HashSet::new();
    for service in 1..=3 {
        for sequence in 0..100 {
            let ask = RetryRequest { sequence, service: NameKey(service), count: 1 };
            if pools.receive(at(0), &ask, &share, true) {
                granted.insert((service, sequence));
            }
        }
    }
    assert_eq!(granted.len(), 3 * 25);
}
