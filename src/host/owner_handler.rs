//! Handles requests about the servers whose ledgers this host owns.

use super::host_state::{HostState, lock, micros};
use crate::keys::{AttemptId, ServerKey, TimePoint};
use crate::peers::{AttemptReport, HoldRequest, PlaceOffers, PlaceRequest, StartReply};
use crate::placement::{PrefillRequest, RefusalReason};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

const SLOT_RETRY_MICROS: u64 = 500_000;
const QUEUE_GRACE: Duration = Duration::from_millis(500);

impl HostState {
    /// Quotes for the servers of `request` that this host owns.
    pub(super) fn quote_locally(&self, request: &PlaceRequest) -> PlaceOffers {
        let now = self.now();
        let mut offers = PlaceOffers::default();
        let mut owned = lock(&self.owned);
        let prefill = prefill_request(now, request);
        for key in &request.prefills {
            let Some(server) = owned.get_mut(key) else {
                offers.refusals.push((*key, RefusalReason::NotOwner, SLOT_RETRY_MICROS));
                continue;
            };
            match server.ledger.quote_prefill(now, &prefill, &request.model, &request.blocks) {
                Ok(quote) => offers.prefills.push(quote),
                Err((reason, retry_in)) => offers.refusals.push((*key, reason, micros(retry_in))),
            }
        }
        for key in &request.decodes {
            let Some(server) = owned.get_mut(key) else {
                offers.refusals.push((*key, RefusalReason::NotOwner, SLOT_RETRY_MICROS));
                continue;
            };
            match server.ledger.quote_decode(now, &request.model, request.kv_bytes) {
                Ok(quote) => offers.decodes.push(quote),
                Err(reason) => offers.refusals.push((*key, reason, SLOT_RETRY_MICROS)),
            }
        }
        offers
    }

    /// Holds a slot of a server that this host owns; returns the microseconds until the handoff.
    pub(super) fn hold_locally(&self, request: &HoldRequest) -> Result<u64, RefusalReason> {
        let now = self.now();
        let window = (
            now + Duration::from_micros(request.earliest_in_micros),
            now + Duration::from_micros(request.latest_in_micros),
        );
        let mut owned = lock(&self.owned);
        let server = owned.get_mut(&request.server).ok_or(RefusalReason::NotOwner)?;
        let ledger = &mut server.ledger;
        let handoff =
            ledger.hold_slot(now, request.attempt, window, request.kv_bytes, request.max_tokens)?;
        Ok(micros(handoff.since(now)))
    }

    /// Queues a prefill and waits until it may start; dropping the future removes it from the
    /// queue.
    pub(super) async fn enqueue_locally(
        self: &Arc<Self>,
        key: ServerKey,
        request: &PlaceRequest,
    ) -> StartReply {
        let (sender, receiver) = oneshot::channel();
        let admitted = {
            let now = self.now();
            let mut owned = lock(&self.owned);
            let Some(server) = owned.get_mut(&key) else {
                return StartReply::Refused(RefusalReason::NotOwner);
            };
            let prefill = prefill_request(now, request);
            let admitted =
                server.ledger.admit_prefill(now, &prefill, &request.model, &request.blocks);
            if admitted.is_ok() {
                server.start_waiters.insert(request.attempt, sender);
            }
            admitted
        };
        if let Err(reason) = admitted {
            return StartReply::Refused(reason);
        }
        let mut guard =
            QueueGuard { host: Arc::clone(self), key, attempt: request.attempt, armed: true };
        self.start_due_prefills(key);
        let reply = receiver.await.unwrap_or(StartReply::Refused(RefusalReason::NotOwner));
        guard.armed = false;
        reply
    }

    /// Records how an attempt progressed on an owned server.
    pub(super) fn report_locally(
        self: &Arc<Self>,
        key: ServerKey,
        attempt: AttemptId,
        report: AttemptReport,
    ) {
        let now = self.now();
        {
            let mut owned = lock(&self.owned);
            let Some(server) = owned.get_mut(&key) else {
                return;
            };
            let ledger = &mut server.ledger;
            match report {
                AttemptReport::Prefilled { tokens, took_micros } => {
                    ledger.queue.finish(attempt, tokens, Duration::from_micros(took_micros));
                    ledger.breaker.record_success();
                }
                AttemptReport::Decoding { max_tokens } => {
                    ledger.slots.start(now, attempt, max_tokens);
                    ledger.breaker.record_success();
                }
                AttemptReport::Ended { produced } => ledger.release(attempt, Some(produced)),
                AttemptReport::GivenUp => {
                    ledger.release(attempt, None);
                    ledger.breaker.record_abandoned();
                }
                AttemptReport::Failed => {
                    ledger.release(attempt, None);
                    ledger.breaker.record_failure(now);
                }
            }
        }
        self.start_due_prefills(key);
    }

    /// Starts the due prefills of an owned server and schedules a wake-up for the next one.
    pub(super) fn start_due_prefills(self: &Arc<Self>, key: ServerKey) {
        let now = self.now();
        let mut owned = lock(&self.owned);
        let Some(server) = owned.get_mut(&key) else {
            return;
        };
        for late in server.ledger.queue.expire(now, QUEUE_GRACE) {
            if let Some(waiter) = server.start_waiters.remove(&late) {
                let _ = waiter.send(StartReply::Refused(RefusalReason::TooLate));
            }
        }
        while let Some(entry) = server.ledger.queue.start_next(now) {
            let work_micros = micros(server.ledger.queue.work(entry.request.tokens));
            let waiter = server.start_waiters.remove(&entry.request.attempt);
            let sent =
                waiter.is_some_and(|waiter| waiter.send(StartReply::Start { work_micros }).is_ok());
            if !sent {
                server.ledger.queue.remove(entry.request.attempt);
            }
        }
        if let Some(wait) = server.ledger.queue.next_wake(now)
            && !server.wake_scheduled
        {
            server.wake_scheduled = true;
            let host = Arc::clone(self);
            tokio::spawn(async move {
                tokio::time::sleep(wait).await;
                if let Some(server) = lock(&host.owned).get_mut(&key) {
                    server.wake_scheduled = false;
                }
                host.start_due_prefills(key);
            });
        }
    }
}

fn prefill_request(now: TimePoint, request: &PlaceRequest) -> PrefillRequest {
    PrefillRequest {
        attempt: request.attempt,
        org: request.org,
        tokens: request.tokens,
        not_before: now + Duration::from_micros(request.not_before_in_micros),
        finish_by: now + Duration::from_micros(request.finish_in_micros),
    }
}

/// Removes a queued prefill when the request waiting for it is dropped.
struct QueueGuard {
    host: Arc<HostState>,
    key: ServerKey,
    attempt: AttemptId,
    armed: bool,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        if let Some(server) = lock(&self.host.owned).get_mut(&self.key) {
            server.ledger.queue.remove(self.attempt);
            server.start_waiters.remove(&self.attempt);
        }
        self.host.start_due_prefills(self.key);
    }
}
