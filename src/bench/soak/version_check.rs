//! Checks that streams go on at the software version that began them, while servers of several versions serve side by
//! side and are replaced, and hosts are killed, paused and cut off.

use super::host_contacts::HostContacts;
use super::host_shock::HostShock;
use super::soak_caller::CallerResults;
use super::soak_cluster::SoakCluster;
use super::soak_options::SoakOptions;
use super::stream_taker::{TakerSite, VersionTally, run_taker};
use crate::Result;
use crate::host::lock;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The versions that engines run, oldest first.
const VERSIONS: [&str; 3] = ["v1", "v1.1", "v1.2"];
/// Time between the events of a stream, so that a stream lasts some 1.5 s.
const EVENT_INTERVAL: Duration = Duration::from_millis(190);
/// Number of callers that take streams up.
const TAKERS: usize = 28;
/// Time after each disruption, so that most hosts are in touch again before the next one.
const CALM_TIME: Duration = Duration::from_millis(3500);
/// Time between two crashes or replacements of engines.
const REPLACE_PERIOD: Duration = Duration::from_millis(1500);
/// Probability that an engine comes back at another version.
const CHANGE_PROBABILITY: f64 = 0.5;
const VERSION_SALT: u64 = 0x7e_5105;

impl SoakCluster {
    /// Gives the engines versions in turn, so that they serve side by side.
    pub async fn mix_versions(&self) -> Result<()> {
        for (index, server) in self.site.servers.iter().enumerate() {
            if server.stage.is_some() {
                self.replace_engine(index, VERSIONS[index % 2]).await?;
            }
        }
        Ok(())
    }

    /// Replaces an engine by the version after its own, or the oldest one after the newest.
    pub async fn advance_version(&self, index: usize) -> Result<()> {
        let version = self.version_of(index);
        let known = VERSIONS.iter().position(|known| *known == version).unwrap_or_default();
        self.replace_engine(index, VERSIONS[(known + 1) % VERSIONS.len()]).await
    }

    /// Replaces an engine; its streams break off.
    pub async fn replace_engine(&self, index: usize, version: &str) -> Result<()> {
        let id = &self.site.servers[index].id;
        self.site.replace_software(id, version).await?;
        self.site.write_incarnation_entry(id, self.answer_links[index].address)
    }

    /// Lets callers take streams up while hosts and engines are disturbed.
    pub async fn check_versions(
        &mut self,
        options: &SoakOptions,
        results: &Arc<CallerResults>,
    ) -> Result<VersionTally> {
        let mut random = StdRng::seed_from_u64(options.seed ^ VERSION_SALT);
        let addresses = self.caller_addresses();
        let site = Arc::new(TakerSite {
            contacts: HostContacts::new(&addresses, Instant::now()),
            engines: self.site.decodes.clone(),
            results: Arc::clone(results),
            tally: Mutex::default(),
            is_stopped: AtomicBool::new(false),
        });
        let former_intervals: Vec<Duration> =
            site.engines.iter().map(|engine| engine.event_interval()).collect();
        for engine in &site.engines {
            engine.set_event_interval(EVENT_INTERVAL);
        }
        let takers: Vec<_> = (0..TAKERS)
            .map(|index| {
                let name = format!("s{}-taker{index}", options.seed);
                let seed = (options.seed ^ VERSION_SALT).wrapping_mul(1000) + index as u64;
                tokio::spawn(run_taker(name, seed, Arc::clone(&site)))
            })
            .collect();
        if options.moves_versions {
            self.run_version_move(&site.contacts, &mut random).await?;
        } else {
            for shock in self.draw_shocks(&mut random) {
                self.fault_log.record_disruption(&format!("versions: {shock:?}"))?;
                self.run_shock(shock, &site.contacts, &mut random).await?;
            }
        }
        site.is_stopped.store(true, Ordering::Relaxed);
        for taker in takers {
            taker.await.map_err(|error| crate::Error::Protocol(error.to_string()))?;
        }
        for (engine, interval) in site.engines.iter().zip(former_intervals) {
            engine.set_event_interval(interval);
        }
        let tally = lock(&site.tally).clone();
        Ok(tally)
    }

    async fn run_shock(
        &mut self,
        shock: HostShock,
        contacts: &HostContacts,
        random: &mut StdRng,
    ) -> Result<()> {
        let time = self.begin_shock(shock, contacts)?;
        self.replace_engines_for(time, random).await?;
        self.end_shock(shock, contacts).await?;
        self.replace_engines_for(CALM_TIME, random).await
    }

    /// Lets engines crash one after the other; some come back at another version.
    async fn replace_engines_for(&self, time: Duration, random: &mut StdRng) -> Result<()> {
        let deadline = Instant::now() + time;
        while Instant::now() + REPLACE_PERIOD <= deadline {
            sleep(REPLACE_PERIOD).await;
            let engines = self.site.prefills.len() + self.site.decodes.len();
            let index = random.random_range(0..engines);
            let drawn = VERSIONS[random.random_range(0..VERSIONS.len())];
            let version = if random.random_bool(CHANGE_PROBABILITY) {
                drawn.to_owned()
            } else {
                self.version_of(index)
            };
            self.replace_engine(index, &version).await?;
        }
        sleep(deadline.saturating_duration_since(Instant::now())).await;
        Ok(())
    }

    fn version_of(&self, index: usize) -> String {
        let engines = self.site.prefills.iter().chain(&self.site.decodes);
        engines.map(|engine| engine.software().version).nth(index).unwrap_or_default()
    }
}
