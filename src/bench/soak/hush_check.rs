//! Checks that no answer ends early while servers stand still and go on, or streams are long, beside stopped, reloaded and
//! killed hosts and changes of the configuration, one kind after the other and several at once.

use super::host_contacts::HostContacts;
use super::hush_caller::{AnswerEnd, HushAnswer, HushSite, run_hush_caller};
use super::hush_rules::{GRACE, HushRecord, violation};
use super::partition_group::PartitionGroup;
use super::repeat_check::RepeatTally;
use super::server_silence::{ServerSilences, SilencePlan, SilentShare, SilentTime};
use super::soak_caller::CallerResults;
use super::soak_check::SoakViolation;
use super::soak_cluster::SoakCluster;
use super::soak_options::SoakOptions;
use crate::Result;
use crate::host::lock;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time between the events of a stream, so that a stream lasts some 1.5 s.
const EVENT_INTERVAL: Duration = Duration::from_millis(190);
/// Times between the events of long streams, by engine: they last between 0.9 s and 7 s.
const LONG_INTERVALS_MS: [u64; 4] = [120, 450, 700, 1000];
const CALLERS: usize = 24;
/// Longest time before the first step, and the time between two of them, in milliseconds.
const MAX_LEAD_MS: u64 = 800;
const STEP_GAP_MS: Range<u64> = 700..2000;
/// Number of changes of the configuration.
const CHANGES: usize = 3;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after each silence, so that what it held up ends before the next one.
const CALM_TIME: Duration = Duration::from_millis(1500);
const HUSH_SALT: u64 = 0x4a_5b;

/// What happens to hosts beside silent servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HushShock {
    /// Each host receives SIGTERM, one after the other, and is started again.
    Stops,
    /// Each host receives SIGHUP, one after the other.
    Reloads,
    Kill(PartitionGroup),
    /// The configuration changes.
    Changes,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HushStep {
    Stop(usize),
    Reload(usize),
    Kill(usize),
    Change,
}

/// A host whose process is ending.
#[derive(Debug, Clone, Copy)]
struct EndingHost {
    since: Instant,
    is_killed: bool,
}

/// What was found.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HushTally {
    /// Requests of the callers that leave when their patience ends.
    pub asked: usize,
    /// Whole answers with status 200.
    pub whole: usize,
    /// Answers that the daemon gave up with a 502 or 504.
    pub given_up: usize,
    /// Requests whose callers left.
    pub left: usize,
    /// Answers that ended early while their server lived.
    pub lost: usize,
    /// Requests on which a former server went on working.
    pub twice: usize,
    /// Repeats that arrived at servers.
    pub repeats: RepeatTally,
}

impl SoakCluster {
    /// Lets servers stand still beside each kind of disruption, and beside several at once.
    pub async fn check_hushing(
        &mut self,
        options: &SoakOptions,
        results: &Arc<CallerResults>,
        tally: &mut HushTally,
    ) -> Result<Vec<SoakViolation>> {
        let mut random = StdRng::seed_from_u64(options.seed ^ HUSH_SALT);
        let addresses = self.caller_addresses();
        let site = Arc::new(HushSite {
            contacts: HostContacts::new(&addresses, Instant::now()),
            results: Arc::clone(results),
            answers: Mutex::default(),
            is_stopped: AtomicBool::new(false),
        });
        let silences = Arc::new(ServerSilences::new(&self.site));
        let former_intervals: Vec<Duration> =
            self.site.decodes.iter().map(|engine| engine.event_interval()).collect();
        for (engine, index) in self.site.decodes.iter().zip(0..) {
            engine.set_event_interval(event_interval(options, index));
        }
        let callers: Vec<_> = (0..CALLERS)
            .map(|index| {
                let name = format!("s{}-hush{index}", options.seed);
                let seed = (options.seed ^ HUSH_SALT).wrapping_mul(1000) + index as u64;
                tokio::spawn(run_hush_caller(name, seed, Arc::clone(&site)))
            })
            .collect();
        let mut stops = Vec::new();
        let rounds = if options.restarts_hosts {
            draw_restarts(&mut random)
        } else {
            draw_rounds(&mut random)
        };
        for (shocks, share) in rounds {
            let plan = share.map(|share| SilencePlan::draw(share, &mut random));
            self.fault_log.record_disruption(&format!("hush: {shocks:?} {plan:?}"))?;
            let steps = self.draw_steps(&shocks, &mut random);
            let played = Arc::clone(&silences);
            let played = tokio::spawn(async move {
                if let Some(plan) = plan {
                    played.play(plan).await;
                }
            });
            self.run_steps(steps, &site.contacts, &mut stops).await?;
            played.await.map_err(|error| crate::Error::Protocol(error.to_string()))?;
            if let Some(plan) = plan {
                self.record_silences(&silences.times(), plan)?;
            }
            self.wait_ready().await?;
            sleep(CALM_TIME).await;
        }
        site.is_stopped.store(true, Ordering::Relaxed);
        for caller in callers {
            caller.await.map_err(|error| crate::Error::Protocol(error.to_string()))?;
        }
        for (engine, interval) in self.site.decodes.iter().zip(former_intervals) {
            engine.set_event_interval(interval);
        }
        let answers = lock(&site.answers).clone();
        let record = HushRecord::new(&self.site, silences.times(), stops);
        let mut violations = tally.add(&answers, &record);
        let records = lock(&results.records).clone();
        violations.extend(self.sum_repeats(&records, &mut tally.repeats));
        Ok(violations)
    }

    /// Records the silences of a round, the newest of `times`.
    fn record_silences(&mut self, times: &[SilentTime], plan: SilencePlan) -> Result<()> {
        for time in times.iter().rev().take(plan.count as usize) {
            let (from, to) = (time.from.elapsed().as_secs_f64(), time.to.elapsed().as_secs_f64());
            let what = format!("hush: silent {from:.3} to {to:.3} s ago: {:?}", time.servers);
            self.fault_log.record_disruption(&what)?;
        }
        Ok(())
    }

    /// Draws the times of the steps, in order.
    fn draw_steps(
        &self,
        shocks: &[HushShock],
        random: &mut StdRng,
    ) -> VecDeque<(Duration, HushStep)> {
        let mut all = Vec::new();
        for shock in shocks {
            let hosts = 0..self.hosts.len();
            let steps: Vec<HushStep> = match *shock {
                HushShock::Stops => hosts.map(HushStep::Stop).collect(),
                HushShock::Reloads => hosts.map(HushStep::Reload).collect(),
                HushShock::Kill(group) => hosts
                    .filter(|index| group.contains(*index, self.domains))
                    .map(HushStep::Kill)
                    .collect(),
                HushShock::Changes => vec![HushStep::Change; CHANGES],
            };
            let is_kill = matches!(shock, HushShock::Kill(_));
            let gap = Duration::from_millis(random.random_range(STEP_GAP_MS));
            let gap = if is_kill { Duration::ZERO } else { gap };
            let lead = Duration::from_millis(random.random_range(0..MAX_LEAD_MS));
            all.extend(steps.into_iter().zip(0..).map(|(step, index)| (lead + gap * index, step)));
        }
        all.sort_by_key(|(offset, _)| *offset);
        all.into()
    }

    /// Runs the steps and starts hosts again that have ended, until none of them is ending any more.
    async fn run_steps(
        &mut self,
        mut steps: VecDeque<(Duration, HushStep)>,
        contacts: &HostContacts,
        stops: &mut Vec<Instant>,
    ) -> Result<()> {
        let start = Instant::now();
        let mut ending: BTreeMap<usize, EndingHost> = BTreeMap::new();
        while !steps.is_empty() || !ending.is_empty() {
            while let Some((_, step)) = steps.pop_front_if(|(offset, _)| start.elapsed() >= *offset)
            {
                let since = Instant::now();
                match step {
                    HushStep::Stop(index) => {
                        self.hosts[index].signal("-TERM")?;
                        stops.push(since);
                        ending.entry(index).or_insert(EndingHost { since, is_killed: false });
                    }
                    HushStep::Kill(index) => {
                        contacts.set_disturbed(index, true);
                        self.hosts[index].signal("-KILL")?;
                        ending.insert(index, EndingHost { since, is_killed: true });
                    }
                    HushStep::Reload(index) => self.hosts[index].signal("-HUP")?,
                    HushStep::Change => self.confirm_version(),
                }
            }
            sleep(POLL_INTERVAL).await;
            for (index, host) in std::mem::take(&mut ending) {
                if self.hosts[index].has_ended() {
                    self.hosts[index].restart()?;
                    if host.is_killed {
                        contacts.set_disturbed(index, false);
                    }
                    continue;
                }
                if host.since.elapsed() >= GRACE {
                    self.hosts[index].signal("-KILL")?;
                }
                ending.insert(index, host);
            }
        }
        Ok(())
    }
}

/// The time between the events of a stream at the decode engine with this index.
fn event_interval(options: &SoakOptions, index: usize) -> Duration {
    if !options.restarts_hosts {
        return EVENT_INTERVAL;
    }
    Duration::from_millis(LONG_INTERVALS_MS[index % LONG_INTERVALS_MS.len()])
}

/// Disruptions that overlap, and the share of the servers that are silent beside them, if any.
type HushRound = (Vec<HushShock>, Option<SilentShare>);

/// Restarts in turn, alone, beside others and twice at a time, beginning with any of them.
fn draw_restarts(random: &mut StdRng) -> Vec<HushRound> {
    let mut rounds = vec![
        (vec![HushShock::Stops], None),
        (vec![HushShock::Stops, HushShock::Reloads, HushShock::Changes], None),
        (vec![HushShock::Stops, HushShock::Stops], None),
        (vec![HushShock::Stops], Some(SilentShare::All)),
    ];
    let first = random.random_range(0..rounds.len());
    rounds.rotate_left(first);
    rounds
}

/// Every kind of disruption and two pairs of them, each beside silent servers, beginning with any of them.
fn draw_rounds(random: &mut StdRng) -> Vec<HushRound> {
    let third = HushShock::Kill(PartitionGroup::Third(random.random_range(0..2)));
    let mut rounds = vec![
        (vec![], SilentShare::All),
        (vec![HushShock::Stops], SilentShare::Most),
        (vec![HushShock::Reloads], SilentShare::One),
        (vec![third], SilentShare::Most),
        (vec![HushShock::Changes], SilentShare::All),
        (vec![HushShock::Stops, HushShock::Changes], SilentShare::All),
        (vec![HushShock::Reloads, third], SilentShare::All),
    ];
    let first = random.random_range(0..rounds.len());
    rounds.rotate_left(first);
    rounds.into_iter().map(|(shocks, share)| (shocks, Some(share))).collect()
}

impl HushTally {
    /// Counts answers; returns what broke the rules.
    fn add(&mut self, answers: &[HushAnswer], record: &HushRecord) -> Vec<SoakViolation> {
        let ended =
            |ends: &[AnswerEnd]| answers.iter().filter(|answer| ends.contains(&answer.end)).count();
        let lost: Vec<_> = answers.iter().filter(|answer| record.is_lost(answer)).collect();
        let twice: Vec<_> =
            answers.iter().filter(|answer| record.is_worked_on_twice(answer)).collect();
        self.asked = answers.len();
        self.whole = ended(&[AnswerEnd::Whole(200)]);
        self.given_up = ended(&[AnswerEnd::Whole(502), AnswerEnd::Whole(504)]);
        self.left = ended(&[AnswerEnd::CallerLeft]);
        self.lost = lost.len();
        self.twice = twice.len();
        let lost = violation("no answer ends early while its server lives", &lost, answers.len());
        let guarantee = "a request that continues elsewhere is released";
        lost.into_iter().chain(violation(guarantee, &twice, answers.len())).collect()
    }
}
