//! An overloaded backend server states in its answers how many requests a second it accepts from all hosts together.
//!
//! Guards against ignored limits: servers of a plain service stated 3 to 5 requests a second and still received some
//! 20 a second from hosts that had received those answers. No host read a limit on the sum over all hosts, and what
//! they sent to a server was not counted in one place. The hosts' logs state when each host learned of a limit and what it
//! had sent; these tests use the server's own count of arrivals.

use rstest::rstest;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tealcleat::bench::site::{LimitAnnouncement, LimitExcess, SitePlan, TestSite, call_site};
use tealcleat::bench::{DEFAULT_GRACE, GatewayProcess, ProcessPlan};
use tealcleat::settings::LoadFeatures;

mod machine_common;
mod site_common;

use machine_common::{daemon, held_clock, test_folder};
use site_common::{call, runtime};

const DOMAINS: &[&str] = &["a", "b", "c"];
const HOSTS: usize = 6;
/// Requests a second to each host, half of them plain.
const HOST_RATE: u64 = 20;
/// Duration of traffic before limits are stated: a whole window.
const UNLIMITED_DURATION: Duration = Duration::from_secs(4);
/// Duration of each step of a test case.
const STEP_DURATION: Duration = Duration::from_secs(4);
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Real daemons in three failure domains, and servers that count the requests that arrive.
struct LimitRig {
    site: TestSite,
    hosts: Vec<GatewayProcess>,
    is_ended: Arc<AtomicBool>,
}

impl LimitRig {
    async fn start(name: &str) -> Self {
        let plan = SitePlan { prefills: 3, decodes: 6, services: 6, hosts: 0 };
        let mut site = TestSite::start(plan).await.expect("a site");
        site.spread_over_domains(DOMAINS);
        let folder = test_folder(name);
        let environment = held_clock(name);
        let mut hosts: Vec<GatewayProcess> = Vec::new();
        for place in 0..HOSTS {
            let seeds: Vec<SocketAddr> = hosts.iter().map(|host| host.peers).collect();
            let host = start_host(&site, &folder, place, &seeds, &environment);
            hosts.push(host);
        }
        let mut rig = Self { site, hosts, is_ended: Arc::default() };
        rig.wait_ready().await;
        rig
    }

    /// Waits until all hosts accept callers. A host whose port is briefly in use by another socket exits at once and is
    /// restarted.
    async fn wait_ready(&mut self) {
        let mut probe = call("GET", "ready", "ready");
        probe.path = "/tealcleat/ready".to_owned();
        for host in &mut self.hosts {
            while !call_site(host.ready, &probe).await.is_ok_and(|r| r.status.is_success()) {
                if host.has_ended() {
                    host.restart().expect("a restart");
                }
                tokio::time::sleep(POLL_PERIOD).await;
            }
        }
    }

    /// Sends requests to all hosts until the rig ends.
    fn send_requests(&self) {
        for (place, host) in self.hosts.iter().enumerate() {
            tokio::spawn(send_to(host.callers, place, Arc::clone(&self.is_ended)));
        }
    }

    /// The servers that received more requests than their limit allows, with the excess.
    fn excesses(&self) -> Vec<(String, LimitExcess)> {
        let services =
            self.site.services.iter().map(|server| (&server.id, server.arrivals.worst_excess()));
        let engines = self.site.prefills.iter().chain(&self.site.decodes);
        let engines = engines.map(|server| (&server.id, server.arrivals.worst_excess()));
        let all = services.chain(engines);
        all.filter_map(|(id, excess)| Some((id.clone(), excess?))).collect()
    }

    fn limit_service(&self, place: usize, limit: f64) {
        self.site.services[place].arrivals.set(LimitAnnouncement::of(limit));
    }
}

fn start_host(
    site: &TestSite,
    folder: &Path,
    place: usize,
    seeds: &[SocketAddr],
    environment: &[(String, String)],
) -> GatewayProcess {
    let plan = ProcessPlan {
        program: daemon(),
        folder,
        name: &format!("host-{place}"),
        domain: DOMAINS[place % DOMAINS.len()],
        machine: Ipv4Addr::LOCALHOST.into(),
        store: site.store_address,
        seeds,
        advertised: None,
        revocation: None,
        grace: DEFAULT_GRACE,
        retries: None,
        features: LoadFeatures::default(),
        limits: None,
        environment,
    };
    GatewayProcess::start(&plan).expect("a daemon")
}

async fn send_to(host: SocketAddr, place: usize, is_ended: Arc<AtomicBool>) {
    let mut ticker = tokio::time::interval(Duration::from_millis(1000 / HOST_RATE));
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut serial = 0;
    while !is_ended.load(Ordering::Relaxed) {
        ticker.tick().await;
        serial += 1;
        let route = ["safe", "stream", "once", "resume"][serial % 4];
        let request = call("POST", route, &format!("r-{place}-{serial}"));
        // Other tests check the answers to callers.
        tokio::spawn(async move { drop(call_site(host, &request).await) });
    }
}

/// What happens after limits were stated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LimitCase {
    /// Nothing else.
    Calm,
    /// All servers of the plain service state a limit.
    AllPlain,
    /// Limits are lowered, withdrawn and stated again.
    Changes,
    /// All hosts are killed and started again.
    Killed,
    /// A third of the hosts is suspended, twice.
    Suspended,
    /// One answer in seven does not state the limit.
    OmittedNowAndThen,
}

fn state_limits(rig: &LimitRig, part: f64) {
    for (place, limit) in [3.3, 5.0, 8.0].into_iter().enumerate() {
        rig.limit_service(place, limit * part);
    }
    for (place, limit) in [2.0, 0.8].into_iter().enumerate() {
        rig.site.decodes[place].arrivals.set(LimitAnnouncement::of(limit * part));
    }
    rig.site.prefills[0].arrivals.set(LimitAnnouncement::of(6.0 * part));
}

fn withdraw_limits(rig: &LimitRig) {
    for service in &rig.site.services {
        service.arrivals.set(LimitAnnouncement::default());
    }
    for engine in rig.site.prefills.iter().chain(&rig.site.decodes) {
        engine.arrivals.set(LimitAnnouncement::default());
    }
}

async fn run_case(rig: &mut LimitRig, case: LimitCase) {
    let step = || tokio::time::sleep(STEP_DURATION);
    match case {
        LimitCase::Calm | LimitCase::AllPlain | LimitCase::OmittedNowAndThen => step().await,
        LimitCase::Changes => {
            state_limits(rig, 0.4);
            step().await;
            withdraw_limits(rig);
            step().await;
            state_limits(rig, 1.0);
        }
        LimitCase::Killed => {
            for host in &mut rig.hosts {
                host.signal("-KILL").expect("a signal");
                while !host.has_ended() {
                    tokio::time::sleep(POLL_PERIOD).await;
                }
                host.restart().expect("a restart");
            }
            rig.wait_ready().await;
        }
        LimitCase::Suspended => {
            for _ in 0..2 {
                for host in rig.hosts.iter_mut().step_by(3) {
                    host.suspend().expect("a stop");
                }
                step().await;
                for host in rig.hosts.iter_mut().step_by(3) {
                    host.resume().expect("it goes on");
                }
                step().await;
            }
        }
    }
    step().await;
}

#[rstest]
#[case::calm(LimitCase::Calm)]
#[case::all_plain_servers(LimitCase::AllPlain)]
#[case::limits_change(LimitCase::Changes)]
#[case::hosts_killed(LimitCase::Killed)]
#[case::hosts_suspended(LimitCase::Suspended)]
#[case::omitted_now_and_then(LimitCase::OmittedNowAndThen)]
fn limited_server_receives_no_more_than_its_limit(#[case] case: LimitCase) {
    runtime().block_on(async {
        let mut rig = LimitRig::start(&format!("limited-{case:?}")).await;
        rig.send_requests();
        tokio::time::sleep(UNLIMITED_DURATION).await;
        state_limits(&rig, 1.0);
        if case == LimitCase::AllPlain {
            (0..rig.site.services.len()).for_each(|place| rig.limit_service(place, 3.3));
        }
        if case == LimitCase::OmittedNowAndThen {
            let speech = LimitAnnouncement { omit_every: 7, ..LimitAnnouncement::of(5.0) };
            rig.site.services[0].arrivals.set(speech);
        }
        tokio::time::sleep(STEP_DURATION).await;
        run_case(&mut rig, case).await;
        rig.is_ended.store(true, Ordering::Relaxed);
        assert_eq!(rig.excesses(), Vec::new());
    });
}
