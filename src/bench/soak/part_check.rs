//! Checks that a part of a prompt that crashes servers is held back at all hosts, and that sound requests with the same
//! first part go on, while hosts are killed, paused and cut off.

use super::host_contacts::HostContacts;
use super::host_shock::HostShock;
use super::part_caller::{PartSite, SoundTry, bad_part_of, run_bad_caller, run_sound_caller};
use super::soak_caller::CallerResults;
use super::soak_check::SoakViolation;
use super::soak_cluster::SoakCluster;
use super::soak_options::SoakOptions;
use super::stream_taker::StreamTries;
use crate::Result;
use crate::host::lock;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Number of callers that send sound requests.
const SOUND_CALLERS: usize = 20;
/// How long sound requests are sent before the first bad part.
const CALM_TIME: Duration = Duration::from_millis(4000);
/// How long a bad part is sent before hosts are disturbed, and how long after that before the next one comes.
const LEAD_TIME: Duration = Duration::from_millis(3500);
const PHASE_TIME: Duration = Duration::from_millis(6500);
/// How often crashed servers are looked for.
const RESTART_PERIOD: Duration = Duration::from_millis(200);
/// The users' bounds: sends that are allowed later than the contact time after the fifth crash, and the number of tries
/// from which on sound requests count, from twice the contact time after it.
const CONTACT_TIME: Duration = Duration::from_millis(3000);
const LAST_CRASH: usize = 5;
const LATE_SENDS: usize = 3;
const MIN_TRIES: u64 = 20;
const PART_SALT: u64 = 0x9a_875;

/// What the check of parts of prompts found.
#[derive(Debug, Clone, Default)]
pub struct PartTally {
    /// Servers that crashed on bad parts.
    pub crashes: usize,
    /// For each bad part, how often it was sent to servers too late.
    pub late_sends: Vec<usize>,
    /// Sound first tries before the first bad part.
    pub sound_before: StreamTries,
    /// Sound first tries from twice the contact time after the last crash that counts.
    pub sound_after: StreamTries,
}

impl PartTally {
    pub(super) fn violations(&self) -> Vec<SoakViolation> {
        let mut violations = Vec::new();
        if self.late_sends.iter().any(|sends| *sends > LATE_SENDS) {
            let guarantee = "a part that crashed five servers is held back";
            let detail = format!("late sends of each part: {:?}", self.late_sends);
            violations.push(SoakViolation { guarantee, detail });
        }
        let (before, after) = (self.sound_before, self.sound_after);
        let is_rare = 2 * after.begun * before.sent < before.begun * after.sent;
        if before.sent >= MIN_TRIES && after.sent >= MIN_TRIES && is_rare {
            let guarantee = "sound requests begin beside a part that crashes servers";
            let detail = format!(
                "{} of {} begin, {} of {} before",
                after.begun, after.sent, before.begun, before.sent
            );
            violations.push(SoakViolation { guarantee, detail });
        }
        violations
    }
}

impl SoakCluster {
    /// Sends prompts with bad parts, a new one before each disruption of hosts.
    pub async fn check_parts(
        &mut self,
        options: &SoakOptions,
        results: &Arc<CallerResults>,
    ) -> Result<PartTally> {
        let mut random = StdRng::seed_from_u64(options.seed ^ PART_SALT);
        let addresses = self.caller_addresses();
        let began_at = Instant::now();
        let site = Arc::new(PartSite {
            contacts: HostContacts::new(&addresses, began_at),
            results: Arc::clone(results),
            bad_parts: AtomicUsize::new(0),
            sound_tries: Default::default(),
            bad_in_touch: Default::default(),
            is_stopped: AtomicBool::new(false),
        });
        let seed = (options.seed ^ PART_SALT).wrapping_mul(1000);
        let mut callers = Vec::new();
        for index in 0..SOUND_CALLERS {
            let name = format!("s{}-sound{index}", options.seed);
            callers.push(tokio::spawn(run_sound_caller(
                name,
                seed + index as u64,
                Arc::clone(&site),
            )));
        }
        let name = format!("s{}-bad", options.seed);
        callers.push(tokio::spawn(run_bad_caller(name, !seed, Arc::clone(&site))));
        self.keep_servers_up(CALM_TIME, &mut random).await?;
        let mut phases = Vec::new();
        for shock in self.draw_shocks(&mut random) {
            self.fault_log.record_disruption(&format!("parts: {shock:?}"))?;
            phases.push(Instant::now());
            site.bad_parts.fetch_add(1, Ordering::Relaxed);
            self.run_phase(shock, &site.contacts, &mut random).await?;
        }
        phases.push(Instant::now());
        site.is_stopped.store(true, Ordering::Relaxed);
        for caller in callers {
            caller.await.map_err(|error| crate::Error::Protocol(error.to_string()))?;
        }
        Ok(self.tally_parts(&site, &phases))
    }

    async fn run_phase(
        &mut self,
        shock: HostShock,
        contacts: &HostContacts,
        random: &mut StdRng,
    ) -> Result<()> {
        self.keep_servers_up(LEAD_TIME, random).await?;
        let time = self.begin_shock(shock, contacts)?;
        self.keep_servers_up(time, random).await?;
        self.end_shock(shock, contacts).await?;
        self.keep_servers_up(PHASE_TIME, random).await
    }

    /// Restarts servers that crash, each after a time of its own.
    async fn keep_servers_up(&mut self, time: Duration, random: &mut StdRng) -> Result<()> {
        let mut restart_times = BTreeMap::new();
        let deadline = Instant::now() + time;
        while Instant::now() < deadline {
            self.restart_due(&mut restart_times, random).await?;
            sleep(RESTART_PERIOD).await;
        }
        Ok(())
    }

    /// `phases` are the times at which bad parts began, and the end of the last one.
    fn tally_parts(&self, site: &PartSite, phases: &[Instant]) -> PartTally {
        let engines = self.engines();
        let arrivals: Vec<(String, usize, Instant)> = engines
            .flat_map(|engine| engine.runs())
            .filter_map(|run| {
                let part = bad_part_of(&run.request)?;
                Some((run.request, part, run.arrived_at))
            })
            .collect();
        let crashed = self.site.crashes();
        let in_touch = lock(&site.bad_in_touch).clone();
        let sound = lock(&site.sound_tries).clone();
        let mut tally = PartTally {
            sound_before: count_tries(&sound, |sent_at| sent_at < phases[0]),
            ..PartTally::default()
        };
        for (part, phase) in phases.windows(2).enumerate() {
            let of_part = || arrivals.iter().filter(|(_, of, _)| *of == part);
            let mut crashes: Vec<Instant> = of_part()
                .filter(|(id, ..)| crashed.contains(id))
                .map(|(.., arrived_at)| *arrived_at)
                .collect();
            crashes.sort_unstable();
            tally.crashes += crashes.len();
            let Some(last) = crashes.get(LAST_CRASH - 1).or(crashes.last()).copied() else {
                tally.late_sends.push(0);
                continue;
            };
            let late = of_part().filter(|(id, _, arrived_at)| {
                crashes.len() >= LAST_CRASH
                    && *arrived_at > last + CONTACT_TIME
                    && in_touch.contains(id)
            });
            tally.late_sends.push(late.count());
            let counted = last + CONTACT_TIME * 2..phase[1];
            let after = count_tries(&sound, |sent_at| counted.contains(&sent_at));
            tally.sound_after.sent += after.sent;
            tally.sound_after.begun += after.begun;
        }
        tally
    }
}

fn count_tries(tries: &[SoundTry], is_counted: impl Fn(Instant) -> bool) -> StreamTries {
    let mut counted = StreamTries::default();
    for sound_try in tries.iter().filter(|sound_try| is_counted(sound_try.sent_at)) {
        counted.add(sound_try.has_begun);
    }
    counted
}
