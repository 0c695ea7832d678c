use super::crash_record::UPDATE_SENDS;
use super::crash_tracker::CRASH_RETENTION;
use super::part_record::{ClearedPart, PartCrashRecord};
use super::part_verdict::{HeldParts, SuspectCrash, SuspectRun, find_held_parts};
use super::receipt_clock::ReceiptClock;
use super::recent_keys::RecentKeys;
use super::resend_schedule::ResendSchedule;
use super::{ConnectionLoss, RequestVerdict};
use crate::keys::{PartKey, ServerKey, TimePoint};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// A part on which a server wrote up to this long before a crash did not cause it: a part that crashes servers crashes
/// each that begins to write on it. While servers crash one after the other, few runs write at all, so this is longer
/// than the crashes of one part take.
const WRITTEN_LIFETIME: Duration = Duration::from_secs(30);
/// Maximum number of crashes kept: an estimated 60 KB with two requests each.
const MAX_CRASHES: usize = 256;
/// Maximum number of requests kept per crash, and of parts per request. Of most crashes one or two requests had not
/// begun to write.
const MAX_REQUESTS: usize = 16;
const MAX_PARTS: usize = 32;
/// Maximum number of clearances kept.
const MAX_CLEARANCES: usize = 1024;
/// How long after the last crash one request with the held parts is sent as a trial. Each crash of a trial doubles the time
/// over which they have crashed servers, and so the time until the next one.
pub const PART_TRIAL_DELAY: Duration = Duration::from_secs(60);

/// Crashes of servers, the parts of the prompts on which their runs had not begun to write, and the parts on which
/// servers have written.
#[derive(Debug, Clone)]
pub struct PartTracker {
    pub(super) crashes: HashMap<ServerKey, PartCrashRecord>,
    written: RecentKeys<PartKey>,
    pub(super) cleared: BTreeMap<PartKey, ClearedPart>,
    /// The parts that are at any crash.
    suspects: HashSet<PartKey>,
    /// The parts that are held back, from all crashes and from those that are settled.
    held: Vec<HeldParts>,
    held_settled: Vec<HeldParts>,
    /// When a request with held parts was last sent as a trial.
    trials: BTreeMap<Vec<PartKey>, TimePoint>,
    pub(super) resends: ResendSchedule,
    clock: ReceiptClock,
}

impl Default for PartTracker {
    fn default() -> Self {
        Self {
            crashes: HashMap::new(),
            written: RecentKeys::new(WRITTEN_LIFETIME),
            cleared: BTreeMap::new(),
            suspects: HashSet::new(),
            held: Vec::new(),
            held_settled: Vec::new(),
            trials: BTreeMap::new(),
            resends: ResendSchedule::default(),
            clock: ReceiptClock::default(),
        }
    }
}

impl PartTracker {
    /// Records that a server wrote on a prompt with these shared parts, which shows that they do not crash servers.
    pub fn record_written(&mut self, now: TimePoint, shared_parts: &[PartKey]) {
        let mut is_changed = false;
        for part in shared_parts {
            self.written.record(now, *part);
            if self.suspects.contains(part) {
                is_changed |= self.clear(now, *part);
            }
        }
        if is_changed {
            self.weigh();
        }
    }

    /// Records that a server had crashed when it broke off a run. Returns true if the run had not begun to write on parts
    /// that are not cleared, and this is new.
    pub fn record_loss(
        &mut self,
        now: TimePoint,
        server: ServerKey,
        loss: &ConnectionLoss,
    ) -> bool {
        let run = SuspectRun {
            request: loss.request,
            started_at: loss.sent_at,
            parts: loss.unwritten_parts.to_vec(),
        };
        let is_new = self.add(now, loss.lost_at, server, run);
        if is_new {
            self.schedule_sends(server);
            self.weigh();
        }
        is_new
    }

    /// Decides what to do with a request whose prompt has these shared parts.
    pub fn verdict(&self, shared_parts: &[PartKey]) -> RequestVerdict {
        let holds = |held: &[HeldParts]| held.iter().any(|held| held.are_in(shared_parts));
        if !holds(&self.held) {
            return RequestVerdict::Free;
        }
        if holds(&self.held_settled) {
            return RequestVerdict::Held;
        }
        let waits = self.crashes.values().map(|record| self.clock.settle_wait(record.learned_at));
        let wait = waits.filter(|wait| !wait.is_zero()).min().unwrap_or_default();
        RequestVerdict::Unsettled { wait }
    }

    /// Number of crashes that the held parts of a prompt explain; zero if it has none.
    pub fn explained_crashes(&self, shared_parts: &[PartKey]) -> usize {
        let held = self.held.iter().filter(|held| held.are_in(shared_parts));
        held.map(|held| held.crashes).max().unwrap_or_default()
    }

    /// Whether a server incarnation crashed while a request with held parts began to write there.
    pub fn was_crashed_by_part(&self, server: ServerKey) -> bool {
        let runs = self.crashes.get(&server).map(|record| &record.runs);
        runs.into_iter().flatten().any(|run| self.held.iter().any(|held| held.are_in(&run.parts)))
    }

    /// Whether a request with held parts may be sent once, to find out whether they still crash servers: nobody writes on
    /// them while all hosts hold them back.
    ///
    /// Exactly one host must decide this for all hosts.
    pub fn take_trial(&mut self, now: TimePoint, shared_parts: &[PartKey]) -> bool {
        let mut held = self.held.iter().filter(|held| held.are_in(shared_parts));
        let Some(parts) = held.next() else { return false };
        let is_only = held.next().is_none();
        let span = parts.last_crash_at.since(parts.first_crash_at);
        let delay = PART_TRIAL_DELAY.max(span * 2);
        let tried_at = self.trials.get(&parts.parts).copied();
        let last = tried_at.map_or(parts.last_crash_at, |at| at.max(parts.last_crash_at));
        let is_due = is_only && now.since(last) >= delay;
        if is_due {
            self.trials.insert(parts.parts.clone(), now);
        }
        is_due
    }

    /// Drops everything past its retention.
    pub fn expire(&mut self, now: TimePoint) {
        self.written.expire(now);
        self.cleared.retain(|_, cleared| now.since(cleared.written_at) < CRASH_RETENTION);
        self.trials.retain(|_, tried_at| now.since(*tried_at) < CRASH_RETENTION);
        let before = self.crashes.len();
        self.crashes.retain(|_, record| now.since(record.crashed_at) < CRASH_RETENTION);
        if self.crashes.len() < before {
            self.weigh();
        }
    }

    /// Number of crashes kept.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Records that this host has received all updates until `now`.
    pub(super) fn record_received(&mut self, now: TimePoint) {
        let gap_began_at = self.clock.advance(now);
        let was_unsettled = self.held != self.held_settled;
        for record in self.crashes.values_mut() {
            let is_unread = gap_began_at
                .is_some_and(|began_at| began_at.since(record.learned_at) < super::SETTLE_TIME);
            if is_unread {
                record.learned_at = now;
            }
        }
        if was_unsettled {
            self.weigh();
        }
    }

    /// Adds a run to a crash. Returns false if that changes nothing.
    pub(super) fn add(
        &mut self,
        now: TimePoint,
        at: TimePoint,
        server: ServerKey,
        run: SuspectRun,
    ) -> bool {
        let mut run = run;
        run.parts.truncate(MAX_PARTS);
        run.parts.retain(|part| !self.is_cleared_at(at, *part));
        if run.parts.is_empty() {
            return false;
        }
        let record = self.crashes.entry(server).or_insert_with(|| PartCrashRecord {
            crashed_at: at,
            learned_at: now,
            runs: Vec::new(),
            sends_left: 0,
            is_saved: false,
        });
        // The earliest detection is the closest to the actual time of the crash.
        record.crashed_at = record.crashed_at.min(at);
        let is_known = record.runs.iter().any(|known| known.request == run.request);
        if is_known || record.runs.len() >= MAX_REQUESTS {
            return false;
        }
        record.runs.push(run);
        self.trim();
        true
    }

    pub(super) fn schedule_sends(&mut self, server: ServerKey) {
        if let Some(record) = self.crashes.get_mut(&server) {
            record.sends_left = UPDATE_SENDS;
            record.is_saved = false;
        }
    }

    /// Records that a part was written on at `at`, and takes it out of the crashes that it cannot have caused. Returns
    /// false if a clearance at least as recent is known.
    pub(super) fn clear(&mut self, at: TimePoint, part: PartKey) -> bool {
        let known = self.cleared.get(&part);
        if known.is_some_and(|known| known.written_at >= at) {
            return false;
        }
        if known.is_none() && self.cleared.len() >= MAX_CLEARANCES {
            let oldest = self.cleared.iter().min_by_key(|(_, cleared)| cleared.written_at);
            let oldest = oldest.map(|(part, _)| *part);
            oldest.and_then(|oldest| self.cleared.remove(&oldest));
        }
        self.cleared.insert(part, ClearedPart { written_at: at, sends_left: UPDATE_SENDS });
        for record in self.crashes.values_mut() {
            if at + WRITTEN_LIFETIME > record.crashed_at {
                record.runs.iter_mut().for_each(|run| run.parts.retain(|other| *other != part));
                record.runs.retain(|run| !run.parts.is_empty());
            }
        }
        self.crashes.retain(|_, record| !record.runs.is_empty());
        true
    }

    /// Finds the parts that are held back, after a change of the crashes.
    pub(super) fn weigh(&mut self) {
        let clock = self.clock;
        let runs = self.crashes.values().flat_map(|record| &record.runs);
        self.suspects = runs.flat_map(|run| &run.parts).copied().collect();
        self.held = self.held_from(|_| true);
        let is_settled = |record: &PartCrashRecord| clock.settle_wait(record.learned_at).is_zero();
        self.held_settled = self.held_from(is_settled);
    }

    fn held_from(&self, is_counted: impl Fn(&PartCrashRecord) -> bool) -> Vec<HeldParts> {
        let counted = self.crashes.iter().filter(|(_, record)| is_counted(record));
        let mut crashes: Vec<SuspectCrash<'_>> = counted
            .map(|(server, record)| SuspectCrash {
                server: *server,
                crashed_at: record.crashed_at,
                runs: &record.runs,
            })
            .collect();
        crashes.sort_by_key(|crash| (crash.crashed_at, crash.server));
        find_held_parts(&crashes)
    }

    /// Whether a part was written on, so that it did not cause a crash at `at`. If this host alone knows that, the others
    /// are told.
    fn is_cleared_at(&mut self, at: TimePoint, part: PartKey) -> bool {
        let cleared = self.cleared.get(&part);
        if cleared.is_some_and(|cleared| cleared.written_at + WRITTEN_LIFETIME > at) {
            return true;
        }
        let is_written = self.written.contains(part);
        if is_written {
            self.clear(at, part);
        }
        is_written
    }

    /// Drops the oldest crashes beyond [`MAX_CRASHES`].
    fn trim(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(key, record)| (record.crashed_at, **key));
            let Some(oldest) = oldest.map(|(key, _)| *key) else { return };
            self.crashes.remove(&oldest);
        }
    }
}
