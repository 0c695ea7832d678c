//! Begins and ends a soak's faults.

use super::soak_burst::{BurstStep, draw_burst};
use super::soak_cut::CutGroup;
use super::soak_fault::{FaultPlaces, SoakFault, draw_fault};
use super::soak_run::{SoakOptions, SoakStage};
use crate::Result;
use crate::bench::links::{PartitionScope, ProxyMode};
use crate::bench::site::{EngineFault, RestartAddress, ServiceFault, SiteEngine, StoreFault};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Pause between two draws; most faults last longer, so that they overlap.
const LONGEST_GAP_MS: u64 = 400;
/// Part of the draws that are a series instead of a single fault.
const BURST_PART: f64 = 0.2;
/// Part of the draws that come with the restart of a server, and what sets their draws apart from others.
const RESTART_PART: f64 = 0.15;
const RESTART_SALT: u64 = 0x7e57_a127;

/// Part of the draws that come with the suspension of a host, what sets their draws apart from others, and how long
/// it lasts.
const SUSPEND_PART: f64 = 0.15;
const SUSPEND_SALT: u64 = 0x5059_e4d0;
const SHORTEST_SUSPEND_MS: u64 = 200;
const LONGEST_SUSPEND_MS: u64 = 3000;
/// Part of the draws that come with a change of a server's limit, and what sets their draws apart from others.
const LIMIT_PART: f64 = 0.5;
const LIMIT_SALT: u64 = 0x11a1_7ed5;
/// Part of the draws that come with a silence of open connections, what sets their draws apart from others, and the
/// part of the links that it strikes if not all.
const SILENCE_PART: f64 = 0.12;
const SILENCE_SALT: u64 = 0x51_1e9c;
const SILENT_LINKS: f64 = 0.3;
/// Part of the draws that come with a cut of machines, what sets their draws apart from others, and how long it lasts.
const CUT_PART: f64 = 0.25;
const CUT_SALT: u64 = 0xc0_7ab1e;
const CUT_MS: Range<u64> = 300..5500;
/// How long a server is down that crashed under a request.
const CRASHED_MS: Range<u64> = 300..2500;

/// A fault that has begun, and when it ends.
type OpenFault = (SoakFault, Instant);

impl SoakStage {
    /// Injects faults for the soak's length and counts them.
    pub async fn inject(&mut self, options: &SoakOptions) -> Result<u64> {
        let mut random = StdRng::seed_from_u64(options.seed);
        let mut restarts = StdRng::seed_from_u64(options.seed ^ RESTART_SALT);
        let mut suspends = StdRng::seed_from_u64(options.seed ^ SUSPEND_SALT);
        let mut limits = StdRng::seed_from_u64(options.seed ^ LIMIT_SALT);
        let mut silences = StdRng::seed_from_u64(options.seed ^ SILENCE_SALT);
        let mut cuts = StdRng::seed_from_u64(options.seed ^ CUT_SALT);
        let mut crashed = BTreeMap::new();
        let places = self.places();
        let ends = Instant::now() + options.duration;
        let mut open: Vec<OpenFault> = Vec::new();
        let mut count = 0;
        while Instant::now() < ends {
            for step in draw_steps(&mut random, places) {
                self.begin(step.fault)?;
                count += 1;
                open.push((step.fault, Instant::now() + step.lasts));
                sleep(step.pause).await;
            }
            if restarts.random_bool(RESTART_PART) {
                self.restart_server(restarts.random_range(0..self.links.len())).await?;
                count += 1;
            }
            if options.suspends_hosts && suspends.random_bool(SUSPEND_PART) {
                let fault = SoakFault::Suspend(suspends.random_range(0..places.hosts));
                self.begin(fault)?;
                count += 1;
                let lasts = suspends.random_range(SHORTEST_SUSPEND_MS..LONGEST_SUSPEND_MS);
                open.push((fault, Instant::now() + Duration::from_millis(lasts)));
            }
            if options.limits_servers && limits.random_bool(LIMIT_PART) {
                self.change_limit(&mut limits);
                count += 1;
            }
            if options.silences_connections && silences.random_bool(SILENCE_PART) {
                let part = if silences.random_bool(0.5) { 1.0 } else { SILENT_LINKS };
                self.trace.note_shock(&format!("silence of {part}"))?;
                self.silence_connections(part, &mut silences);
                count += 1;
            }
            if options.cuts_machines && cuts.random_bool(CUT_PART) {
                let fault = draw_cut(&mut cuts, places.hosts, self.domains);
                self.begin(fault)?;
                count += 1;
                let lasts = Duration::from_millis(cuts.random_range(CUT_MS));
                open.push((fault, Instant::now() + lasts));
            }
            count += self.restart_due(&mut crashed, &mut restarts).await?;
            let gap = random.random_range(0..LONGEST_GAP_MS);
            sleep(Duration::from_millis(gap)).await;
            self.end_due(&mut open)?;
        }
        Ok(count)
    }

    /// A server crashes and starts again under its id, behind the same link.
    async fn restart_server(&mut self, place: usize) -> Result<()> {
        self.trace.note_restart(place)?;
        let id = &self.site.servers[place].id;
        self.site.begin_incarnation(id, RestartAddress::Same).await?;
        self.site.write_incarnation_entry(id, self.answer_links[place].address)
    }

    /// Starts crashed servers again that have been down for their time, which is drawn as they are found;
    /// returns how many were found.
    async fn restart_due(
        &mut self,
        crashed: &mut BTreeMap<usize, Instant>,
        random: &mut StdRng,
    ) -> Result<u64> {
        let now = Instant::now();
        let mut found = 0;
        for place in self.crashed_servers()? {
            let back_at = *crashed.entry(place).or_insert_with(|| {
                found += 1;
                now + Duration::from_millis(random.random_range(CRASHED_MS))
            });
            if back_at <= now {
                crashed.remove(&place);
                self.restart_server(place).await?;
            }
        }
        Ok(found)
    }

    /// Starts all servers again that are down; returns how many these were.
    pub async fn restart_crashed(&mut self) -> Result<usize> {
        let down = self.crashed_servers()?;
        for place in &down {
            self.restart_server(*place).await?;
        }
        Ok(down.len())
    }

    fn crashed_servers(&self) -> Result<Vec<usize>> {
        let mut down = Vec::new();
        for (server, place) in self.site.servers.iter().zip(0..) {
            if self.site.incarnation_switch(&server.id)?.is_down() {
                down.push(place);
            }
        }
        Ok(down)
    }

    fn places(&self) -> FaultPlaces {
        FaultPlaces {
            engines: self.site.decodes.len() + self.site.prefills.len(),
            services: self.site.services.len(),
            links: self.links.len(),
            hosts: self.hosts.len(),
        }
    }

    /// Ends the faults that are over; a host that still stops is looked at again.
    fn end_due(&mut self, open: &mut Vec<OpenFault>) -> Result<()> {
        let now = Instant::now();
        let (due, mut rest): (Vec<_>, Vec<_>) = open.drain(..).partition(|(_, at)| *at <= now);
        for (fault, at) in due {
            if !self.end(fault)? {
                rest.push((fault, at));
            }
        }
        *open = rest;
        Ok(())
    }

    fn begin(&mut self, fault: SoakFault) -> Result<()> {
        self.trace.note_began(fault)?;
        match fault {
            SoakFault::Store(fault) => self.site.store.set_fault(fault),
            SoakFault::StoreForgets => self.site.store.change(|objects| objects.compact()),
            SoakFault::Engine(place, fault) => self.engine(place).set_fault(fault),
            SoakFault::Service(place, fault) => self.site.services[place].set_fault(fault),
            SoakFault::Link(place, mode) => self.links[place].set(mode),
            SoakFault::Answers(place, fault) => self.answer_links[place].set(Some(fault)),
            SoakFault::HostStore(place, mode) => self.store_links[place].set(mode),
            SoakFault::StoreAnswers(place, fault) => self.store_answers[place].set(Some(fault)),
            SoakFault::Kill(place) => self.hosts[place].signal("-KILL")?,
            SoakFault::Stop(place) => self.hosts[place].signal("-TERM")?,
            SoakFault::Pause(place) => self.hosts[place].signal("-STOP")?,
            SoakFault::Suspend(place) => self.hosts[place].suspend()?,
            SoakFault::Cut(group, scope) => self.begin_cut(group, scope),
            SoakFault::Reload(place) => self.hosts[place].signal("-HUP")?,
            SoakFault::Configure => self.confirm_version(),
            SoakFault::DrainServer(place) => self.state_service(place, "draining"),
        }
        Ok(())
    }

    /// Ends a fault; false if that takes longer.
    fn end(&mut self, fault: SoakFault) -> Result<bool> {
        match fault {
            SoakFault::Store(_) => self.site.store.set_fault(StoreFault::None),
            SoakFault::Engine(place, _) => self.engine(place).set_fault(EngineFault::None),
            SoakFault::Service(place, _) => self.site.services[place].set_fault(ServiceFault::None),
            SoakFault::Link(place, _) => self.links[place].set(ProxyMode::Pass),
            SoakFault::Answers(place, _) => self.answer_links[place].set(None),
            SoakFault::HostStore(place, _) => self.store_links[place].set(ProxyMode::Pass),
            SoakFault::StoreAnswers(place, _) => self.store_answers[place].set(None),
            SoakFault::Kill(place) | SoakFault::Stop(place) => {
                if !self.hosts[place].has_ended() {
                    return Ok(false);
                }
                self.hosts[place].restart()?;
            }
            SoakFault::Pause(place) | SoakFault::Suspend(place) => self.hosts[place].resume()?,
            SoakFault::Cut(group, scope) => self.end_cut(group, scope),
            SoakFault::DrainServer(place) => self.state_service(place, "ready"),
            SoakFault::StoreForgets | SoakFault::Reload(_) | SoakFault::Configure => {}
        }
        self.trace.note_ended(fault)?;
        Ok(true)
    }

    /// An engine, decode engines first.
    pub fn engine(&self, place: usize) -> &Arc<SiteEngine> {
        let decodes = self.site.decodes.len();
        self.site.decodes.get(place).unwrap_or_else(|| &self.site.prefills[place - decodes])
    }

    /// Writes the entry of a server of the plain service, whose servers come last.
    pub fn state_service(&self, place: usize, state: &str) {
        let place = self.site.decodes.len() + self.site.prefills.len() + place;
        let server = &self.site.servers[place];
        let address = self.answer_links[place].address;
        self.site.write_entry(&server.id, server.service, address, server.stage, state);
    }
}

fn draw_cut(random: &mut StdRng, hosts: usize, domains: usize) -> SoakFault {
    let scope = if random.random_bool(0.5) { PartitionScope::All } else { PartitionScope::Hosts };
    SoakFault::Cut(CutGroup::draw(random, hosts, domains), scope)
}

/// Draws what begins next: one fault, or a series.
fn draw_steps(random: &mut StdRng, places: FaultPlaces) -> Vec<BurstStep> {
    if random.random_bool(BURST_PART) {
        return draw_burst(random, places);
    }
    let (fault, lasts) = draw_fault(random, places);
    vec![BurstStep { fault, lasts, pause: Duration::ZERO }]
}
