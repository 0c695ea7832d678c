use super::{
    CircuitBreaker, DecodeQuote, LinkSchedule, PrefillQueue, PrefillQuote, PrefillRequest,
    PrefixIndex, RefusalReason, SlotClaim, SlotTable,
};
use crate::intents::{ServerRole, ServerSpec};
use crate::keys::{AttemptId, TimePoint};
use crate::orders::ServerView;
use std::time::Duration;

const FIRST_STEP_GUESS: Duration = Duration::from_millis(40);
const CACHE_BLOCKS: usize = 65_536;
/// Unanswered polls after which the server counts as frozen.
const SILENT_POLLS: u32 = 2;
/// When to ask again if nothing better is known.
const ASK_AGAIN: Duration = Duration::from_millis(500);

/// What a load report says of the server.
#[derive(Debug, Clone)]
pub struct ServerReport {
    /// The moment that the report speaks of.
    pub as_of: TimePoint,
    /// Role, models and drain state.
    pub view: ServerView,
    /// Attempts that the engine holds.
    pub held: Vec<AttemptId>,
    /// Requests that it runs at once.
    pub capacity: u32,
    /// Work before a new request could start.
    pub backlog: Duration,
    /// Present time of a decode step, if it decodes.
    pub step: Option<Duration>,
}

/// The book of one backend server, kept by its owner among the hosts of its failure domain.
#[derive(Debug)]
pub struct ServerLedger {
    spec: ServerSpec,
    has_claims: bool,
    has_report: bool,
    silent_polls: u32,
    view: Option<ServerView>,
    /// Circuit breaker.
    pub breaker: CircuitBreaker,
    /// Queue of a prefill server.
    pub queue: PrefillQueue,
    /// Slots of a decode server.
    pub slots: SlotTable,
    /// The link into a decode server.
    pub link: LinkSchedule,
    /// Believed prefix cache of a prefill server.
    pub prefix: PrefixIndex,
}

impl ServerLedger {
    /// A book that knows nothing of what an earlier owner granted; it refuses until it does.
    pub fn rebuilding(spec: ServerSpec) -> Self {
        Self {
            has_claims: false,
            has_report: false,
            silent_polls: 0,
            view: None,
            breaker: CircuitBreaker::default(),
            queue: PrefillQueue::new(f64::from(spec.prefill_tokens_per_second)),
            slots: SlotTable::new(spec.slots as usize, FIRST_STEP_GUESS),
            link: LinkSchedule::new(spec.link_bytes_per_second),
            prefix: PrefixIndex::new(CACHE_BLOCKS),
            spec,
        }
    }

    /// The server as configured.
    pub fn spec(&self) -> &ServerSpec {
        &self.spec
    }

    /// Takes over a changed configuration of the server.
    pub fn set_spec(&mut self, spec: ServerSpec) {
        self.slots.set_capacity(spec.slots as usize);
        self.spec = spec;
    }

    /// The last report of itself.
    pub fn view(&self) -> Option<&ServerView> {
        self.view.as_ref()
    }

    /// Whether living hosts' claims and the engine's report are both in.
    pub fn is_ready(&self) -> bool {
        self.has_claims && self.has_report
    }

    /// Living hosts told what they claim.
    pub fn apply_claims(&mut self, now: TimePoint, claims: &[SlotClaim]) {
        self.has_claims = true;
        if self.spec.role == ServerRole::Decode {
            for claim in claims {
                self.slots.start(now, claim.attempt, claim.max_tokens);
            }
        }
    }

    /// The engine reported; returns the attempts that the book does not know.
    pub fn record_report(&mut self, now: TimePoint, facts: ServerReport) -> Vec<AttemptId> {
        self.silent_polls = 0;
        if !self.has_report && self.spec.role == ServerRole::Prefill {
            self.queue.record_busy(now + facts.backlog);
        }
        self.has_report = true;
        self.view = Some(facts.view);
        if self.spec.role != ServerRole::Decode {
            return Vec::new();
        }
        self.slots.set_capacity(facts.capacity.min(self.spec.slots) as usize);
        if let Some(step) = facts.step {
            self.slots.record_step(step);
        }
        self.link.expire(now);
        self.slots.reconcile(now, facts.as_of, &facts.held)
    }

    /// A poll went unanswered.
    pub fn record_unresponsive(&mut self, now: TimePoint) {
        self.silent_polls += 1;
        if self.silent_polls >= SILENT_POLLS {
            self.breaker.trip(now);
        }
    }

    /// Offers a prefill.
    ///
    /// # Errors
    /// Why not, and when to ask again.
    pub fn quote_prefill(
        &mut self,
        now: TimePoint,
        ask: &PrefillRequest,
        model: &str,
        blocks: &[u64],
    ) -> Result<PrefillQuote, (RefusalReason, Duration)> {
        self.check_serving(now, ServerRole::Prefill, model).map_err(|r| (r, ASK_AGAIN))?;
        let ask = self.with_cache(ask, blocks);
        let finish = self.queue.quote(now, &ask);
        let finish = finish.map_err(|reason| (reason, self.queue.backlog(now).max(ASK_AGAIN)))?;
        Ok(PrefillQuote {
            server: self.spec.key(),
            finish_in_micros: finish.since(now).as_micros() as u64,
            work_micros: self.queue.work(ask.tokens).as_micros() as u64,
        })
    }

    /// Admits a prefill into the queue.
    ///
    /// # Errors
    /// Why not.
    pub fn admit_prefill(
        &mut self,
        now: TimePoint,
        ask: &PrefillRequest,
        model: &str,
        blocks: &[u64],
    ) -> Result<(), RefusalReason> {
        self.check_serving(now, ServerRole::Prefill, model)?;
        let ask = self.with_cache(ask, blocks);
        self.queue.admit(now, ask)?;
        self.prefix.record_stored(blocks);
        self.breaker.record_sent(now);
        Ok(())
    }

    /// Offers a decode slot.
    ///
    /// # Errors
    /// Why not.
    pub fn quote_decode(
        &mut self,
        now: TimePoint,
        model: &str,
        kv_bytes: u64,
    ) -> Result<DecodeQuote, RefusalReason> {
        self.check_serving(now, ServerRole::Decode, model)?;
        self.slots.expire(now);
        let free = self.slots.earliest_free(now, now);
        Ok(DecodeQuote {
            server: self.spec.key(),
            free_in_micros: free.since(now).as_micros() as u64,
            transfer_micros: self.link.transfer_time(kv_bytes).as_micros() as u64,
            used: u32::try_from(self.slots.used()).unwrap_or(u32::MAX),
        })
    }

    /// Holds a decode slot and the link's share for a handoff from `earliest` to `latest`; returns
    /// the moment of the handoff.
    ///
    /// # Errors
    /// Why not.
    pub fn hold_slot(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        (earliest, latest): (TimePoint, TimePoint),
        kv_bytes: u64,
        max_tokens: u32,
    ) -> Result<TimePoint, RefusalReason> {
        if !self.is_ready() {
            return Err(RefusalReason::Rebuilding);
        }
        if self.spec.leaving || self.spec.role != ServerRole::Decode || !self.breaker.admits(now) {
            return Err(RefusalReason::NotServing);
        }
        let held = self.slots.hold(now, attempt, earliest, latest, max_tokens);
        let handoff_at = held.ok_or(RefusalReason::NoSlot)?;
        self.link.book(attempt, handoff_at, kv_bytes);
        self.breaker.record_sent(now);
        Ok(handoff_at)
    }

    /// Forgets an attempt wherever it stands.
    pub fn release(&mut self, attempt: AttemptId, produced: Option<u32>) {
        self.queue.remove(attempt);
        self.slots.release(attempt, produced);
        self.link.release(attempt);
    }

    fn with_cache(&self, ask: &PrefillRequest, blocks: &[u64]) -> PrefillRequest {
        let cached = self.prefix.cached_tokens(blocks);
        PrefillRequest { tokens: ask.tokens.saturating_sub(cached).max(1), ..*ask }
    }

    fn check_serving(
        &self,
        now: TimePoint,
        role: ServerRole,
        model: &str,
    ) -> Result<(), RefusalReason> {
        if !self.is_ready() {
            return Err(RefusalReason::Rebuilding);
        }
        let view = self.view.as_ref().ok_or(RefusalReason::Rebuilding)?;
        let serves = self.spec.role == role
            && !self.spec.leaving
            && view.role == role
            && !view.draining
            && view.models.iter().any(|held| held == model)
            && self.breaker.admits(now);
        if serves { Ok(()) } else { Err(RefusalReason::NotServing) }
    }
}
