//! What an owner answers about the books it keeps.

use super::host_state::{HostState, lock, micros};
use crate::keys::{AttemptId, ServerKey, TimePoint};
use crate::peers::{HoldRequest, PlaceOffers, PlaceRequest, StartReply, StopReport};
use crate::placement::{PrefillRequest, RefusalReason};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

const SLOT_ASK_AGAIN_MICROS: u64 = 500_000;
const OVERDUE: Duration = Duration::from_millis(500);

impl HostState {
    /// Quotes for the servers of `ask` whose books are kept here.
    pub(super) fn quote_here(&self, ask: &PlaceRequest) -> PlaceOffers {
        let now = self.now();
        let mut offers = PlaceOffers::default();
        let mut owned = lock(&self.owned);
        let prefill = prefill_ask(now, ask);
        for key in &ask.prefills {
            let Some(server) = owned.get_mut(key) else {
                offers.refusals.push((*key, RefusalReason::NotOwner, SLOT_ASK_AGAIN_MICROS));
                continue;
            };
            match server.book.quote_prefill(now, &prefill, &ask.model, &ask.blocks) {
                Ok(quote) => offers.prefills.push(quote),
                Err((reason, again)) => offers.refusals.push((*key, reason, micros(again))),
            }
        }
        for key in &ask.decodes {
            let Some(server) = owned.get_mut(key) else {
                offers.refusals.push((*key, RefusalReason::NotOwner, SLOT_ASK_AGAIN_MICROS));
                continue;
            };
            match server.book.quote_decode(now, &ask.model, ask.kv_bytes) {
                Ok(quote) => offers.decodes.push(quote),
                Err(reason) => offers.refusals.push((*key, reason, SLOT_ASK_AGAIN_MICROS)),
            }
        }
        offers
    }

    /// Holds a slot of a server whose book is kept here; returns microseconds until the handoff.
    pub(super) fn hold_here(&self, ask: &HoldRequest) -> Result<u64, RefusalReason> {
        let now = self.now();
        let window = (
            now + Duration::from_micros(ask.earliest_in_micros),
            now + Duration::from_micros(ask.latest_in_micros),
        );
        let mut owned = lock(&self.owned);
        let server = owned.get_mut(&ask.server).ok_or(RefusalReason::NotOwner)?;
        let book = &mut server.book;
        let handoff = book.hold_slot(now, ask.attempt, window, ask.kv_bytes, ask.max_tokens)?;
        Ok(micros(handoff.since(now)))
    }

    /// Queues a prefill and waits for its start; dropping the future takes it out again.
    pub(super) async fn enqueue_here(
        self: &Arc<Self>,
        key: ServerKey,
        ask: &PlaceRequest,
    ) -> StartReply {
        let (sender, receiver) = oneshot::channel();
        let admitted = {
            let now = self.now();
            let mut owned = lock(&self.owned);
            let Some(server) = owned.get_mut(&key) else {
                return StartReply::Refused(RefusalReason::NotOwner);
            };
            let prefill = prefill_ask(now, ask);
            let admitted = server.book.admit_prefill(now, &prefill, &ask.model, &ask.blocks);
            if admitted.is_ok() {
                server.waiters.insert(ask.attempt, sender);
            }
            admitted
        };
        if let Err(reason) = admitted {
            return StartReply::Refused(reason);
        }
        let mut guard =
            QueueGuard { host: Arc::clone(self), key, attempt: ask.attempt, armed: true };
        self.pump(key);
        let reply = receiver.await.unwrap_or(StartReply::Refused(RefusalReason::NotOwner));
        guard.armed = false;
        reply
    }

    /// Notes how an attempt's stay on an owned server changed.
    pub(super) fn report_here(
        self: &Arc<Self>,
        key: ServerKey,
        attempt: AttemptId,
        report: StopReport,
    ) {
        let now = self.now();
        {
            let mut owned = lock(&self.owned);
            let Some(server) = owned.get_mut(&key) else {
                return;
            };
            let book = &mut server.book;
            match report {
                StopReport::Prefilled { tokens, took_micros } => {
                    book.queue.finish(attempt, tokens, Duration::from_micros(took_micros));
                    book.breaker.record_success();
                }
                StopReport::Decoding { max_tokens } => {
                    book.slots.start(now, attempt, max_tokens);
                    book.breaker.record_success();
                }
                StopReport::Ended { produced } => book.release(attempt, Some(produced)),
                StopReport::GivenUp => {
                    book.release(attempt, None);
                    book.breaker.record_abandoned();
                }
                StopReport::Failed => {
                    book.release(attempt, None);
                    book.breaker.record_failure(now);
                }
            }
        }
        self.pump(key);
    }

    /// Starts what is due on an owned prefill server, and wakes up again when more will be.
    pub(super) fn pump(self: &Arc<Self>, key: ServerKey) {
        let now = self.now();
        let mut owned = lock(&self.owned);
        let Some(server) = owned.get_mut(&key) else {
            return;
        };
        for late in server.book.queue.expire(now, OVERDUE) {
            if let Some(waiter) = server.waiters.remove(&late) {
                let _ = waiter.send(StartReply::Refused(RefusalReason::TooLate));
            }
        }
        while let Some(entry) = server.book.queue.start_next(now) {
            let work_micros = micros(server.book.queue.work(entry.request.tokens));
            let waiter = server.waiters.remove(&entry.request.attempt);
            let sent = waiter.is_some_and(|w| w.send(StartReply::Start { work_micros }).is_ok());
            if !sent {
                server.book.queue.remove(entry.request.attempt);
            }
        }
        if let Some(wait) = server.book.queue.next_wake(now)
            && !server.wake_due
        {
            server.wake_due = true;
            let host = Arc::clone(self);
            tokio::spawn(async move {
                tokio::time::sleep(wait).await;
                if let Some(server) = lock(&host.owned).get_mut(&key) {
                    server.wake_due = false;
                }
                host.pump(key);
            });
        }
    }
}

fn prefill_ask(now: TimePoint, ask: &PlaceRequest) -> PrefillRequest {
    PrefillRequest {
        attempt: ask.attempt,
        org: ask.org,
        tokens: ask.tokens,
        not_before: now + Duration::from_micros(ask.not_before_in_micros),
        finish_by: now + Duration::from_micros(ask.finish_in_micros),
        target_micros: ask.target_micros,
    }
}

/// Takes a queued prefill out again when its caller gives up.
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
            server.book.queue.remove(self.attempt);
            server.waiters.remove(&self.attempt);
        }
        self.host.pump(self.key);
    }
}
