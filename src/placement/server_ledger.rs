use super::{
    CircuitBreaker, DecodeQuote, LinkSchedule, PrefillQueue, PrefillQuote, PrefillRequest,
    PrefixIndex, RefusalReason, SlotClaim, SlotTable,
};
use crate::intents::{ServerRole, ServerSpec};
use crate::keys::{AttemptId, TimePoint};
use crate::orders::ServerView;
use std::time::Duration;

/// Assumed time of a decode step until the engine reports one.
const INITIAL_STEP: Duration = Duration::from_millis(40);
/// Capacity of the prefix index, in blocks.
const CACHE_BLOCKS: usize = 65_536;
/// Consecutive unanswered polls after which the server is treated as unresponsive.
const MAX_MISSED_POLLS: u32 = 2;
/// Default delay before a retry of a refused request.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Contents of a load report.
#[derive(Debug, Clone)]
pub struct ServerReport {
    /// The time that the report describes.
    pub as_of: TimePoint,
    /// Role, models and drain state.
    pub view: ServerView,
    /// Attempts that the engine holds.
    pub held: Vec<AttemptId>,
    /// Requests that the engine runs concurrently.
    pub capacity: u32,
    /// Time until a new request could start.
    pub backlog: Duration,
    /// Current duration of a decode step, for a decode server.
    pub step: Option<Duration>,
}

/// Reservations and known state of one backend server, kept by its owner among the hosts of its
/// failure domain.
#[derive(Debug)]
pub struct ServerLedger {
    spec: ServerSpec,
    has_claims: bool,
    has_report: bool,
    missed_polls: u32,
    view: Option<ServerView>,
    /// Circuit breaker.
    pub breaker: CircuitBreaker,
    /// Queue of a prefill server.
    pub queue: PrefillQueue,
    /// Slots of a decode server.
    pub slots: SlotTable,
    /// The link into a decode server.
    pub link: LinkSchedule,
    /// Estimated prefix cache of a prefill server.
    pub prefix: PrefixIndex,
}

impl ServerLedger {
    /// A ledger of a new owner, which refuses requests until it has learned what an earlier owner
    /// granted.
    pub fn rebuilding(spec: ServerSpec) -> Self {
        Self {
            has_claims: false,
            has_report: false,
            missed_polls: 0,
            view: None,
            breaker: CircuitBreaker::default(),
            queue: PrefillQueue::new(f64::from(spec.prefill_tokens_per_second)),
            slots: SlotTable::new(spec.slots as usize, INITIAL_STEP),
            link: LinkSchedule::new(spec.link_bytes_per_second),
            prefix: PrefixIndex::new(CACHE_BLOCKS),
            spec,
        }
    }

    /// The configuration of the server.
    pub fn spec(&self) -> &ServerSpec {
        &self.spec
    }

    /// Applies a changed configuration of the server.
    pub fn set_spec(&mut self, spec: ServerSpec) {
        self.slots.set_capacity(spec.slots as usize);
        self.spec = spec;
    }

    /// The state that the server reported last.
    pub fn view(&self) -> Option<&ServerView> {
        self.view.as_ref()
    }

    /// Whether both the claims of the live hosts and a report of the engine have been received.
    pub fn is_ready(&self) -> bool {
        self.has_claims && self.has_report
    }

    /// Applies the claims received from the live hosts.
    pub fn apply_claims(&mut self, now: TimePoint, claims: &[SlotClaim]) {
        self.has_claims = true;
        if self.spec.role == ServerRole::Decode {
            for claim in claims {
                self.slots.start(now, claim.attempt, claim.max_tokens);
            }
        }
    }

    /// Applies a report of the engine; returns the attempts whose hosts should be queried about
    /// them.
    pub fn record_report(&mut self, now: TimePoint, report: ServerReport) -> Vec<AttemptId> {
        self.missed_polls = 0;
        if !self.has_report && self.spec.role == ServerRole::Prefill {
            self.queue.record_busy(now + report.backlog);
        }
        self.has_report = true;
        self.view = Some(report.view);
        if self.spec.role != ServerRole::Decode {
            return Vec::new();
        }
        self.slots.set_capacity(report.capacity.min(self.spec.slots) as usize);
        if let Some(step) = report.step {
            self.slots.record_step(step);
        }
        self.link.expire(now);
        self.slots.reconcile(now, report.as_of, &report.held)
    }

    /// Records an unanswered poll.
    pub fn record_unresponsive(&mut self, now: TimePoint) {
        self.missed_polls += 1;
        if self.missed_polls >= MAX_MISSED_POLLS {
            self.breaker.trip(now);
        }
    }

    /// Quotes a prefill.
    ///
    /// # Errors
    /// Returns the reason for the refusal and the delay before a retry.
    pub fn quote_prefill(
        &self,
        now: TimePoint,
        request: &PrefillRequest,
        model: &str,
        blocks: &[u64],
    ) -> Result<PrefillQuote, (RefusalReason, Duration)> {
        self.check_serving(now, ServerRole::Prefill, model).map_err(|r| (r, RETRY_DELAY))?;
        let request = self.without_cached(request, blocks);
        let finish = self.queue.quote(now, &request);
        let finish = finish.map_err(|reason| (reason, self.queue.backlog(now).max(RETRY_DELAY)))?;
        Ok(PrefillQuote {
            server: self.spec.key(),
            finish_in_micros: finish.since(now).as_micros() as u64,
            work_micros: self.queue.work(request.tokens).as_micros() as u64,
        })
    }

    /// Admits a prefill into the queue.
    ///
    /// # Errors
    /// Returns the reason for the refusal.
    pub fn admit_prefill(
        &mut self,
        now: TimePoint,
        request: &PrefillRequest,
        model: &str,
        blocks: &[u64],
    ) -> Result<(), RefusalReason> {
        self.check_serving(now, ServerRole::Prefill, model)?;
        let request = self.without_cached(request, blocks);
        self.queue.admit(now, request)?;
        self.prefix.record_stored(blocks);
        self.breaker.record_sent(now);
        Ok(())
    }

    /// Quotes a decode slot.
    ///
    /// # Errors
    /// Returns the reason for the refusal.
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

    /// Reserves a decode slot and the link for a handoff between `earliest` and `latest`; returns
    /// the time of the handoff.
    ///
    /// # Errors
    /// Returns the reason for the refusal.
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
        self.link.reserve(attempt, handoff_at, kv_bytes);
        self.breaker.record_sent(now);
        Ok(handoff_at)
    }

    /// Removes all reservations of an attempt.
    pub fn release(&mut self, attempt: AttemptId, produced: Option<u32>) {
        self.queue.remove(attempt);
        self.slots.release(attempt, produced);
        self.link.release(attempt);
    }

    fn without_cached(&self, request: &PrefillRequest, blocks: &[u64]) -> PrefillRequest {
        let cached = self.prefix.cached_tokens(blocks);
        PrefillRequest { tokens: request.tokens.saturating_sub(cached).max(1), ..*request }
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
            && view.models.iter().any(|served| served == model)
            && self.breaker.admits(now);
        if serves { Ok(()) } else { Err(RefusalReason::NotServing) }
    }
}
