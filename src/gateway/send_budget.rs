//! Accounts for each time a request is sent to a server, against the retries that were taken for it.

use super::call_context::CallContext;
use super::server_call::CallPurpose;
use crate::host::lock;

/// Sends of an opening whose read is rejected: the read and the run.
const REJECTED_OPENING: u32 = 2;

impl CallContext {
    /// Makes sure that the request may be sent `sends` times more. What earlier sends have used up is taken from the retry
    /// budget, all of it or nothing.
    ///
    /// Everything that leads to a send asks this first, so that no loop around it can send without being counted.
    pub async fn cover_sends(&self, sends: u32) -> bool {
        let missing = lock(&self.credit).missing(sends);
        if missing == 0 {
            return true;
        }
        if !self.host.take_retries(self.service, missing).await {
            return false;
        }
        lock(&self.credit).add(missing);
        true
    }

    /// Makes sure that the prompt may be read once more and the request run after that.
    pub async fn cover_opening(&self) -> bool {
        let sends = lock(&self.credit).opening_sends();
        self.cover_sends(sends).await
    }

    /// Whether the request could probably still run if the next read of its prompt was rejected.
    pub fn may_survive_rejection(&self) -> bool {
        let missing = lock(&self.credit).missing(REJECTED_OPENING);
        missing == 0 || self.host.expects_retry(self.service)
    }

    /// Records that the request is sent to a server.
    pub(super) fn spend_send(&self, purpose: CallPurpose, server: &str) {
        if !purpose.is_counted() || lock(&self.credit).spend() {
            return;
        }
        let (id, purpose) = (self.id(), purpose.name());
        log::warn!("event=send_uncounted request={id} server={server} call={purpose}");
        self.host.metrics().add("sends_uncounted", 1);
    }

    /// Takes back the last [`Self::spend_send`]: nothing of the request reached the server.
    pub(super) fn return_send(&self, purpose: CallPurpose) {
        if purpose.is_counted() {
            lock(&self.credit).return_send();
        }
    }

    /// Records that a server took up the read that was sent last.
    pub(super) fn record_read_taken_up(&self) {
        lock(&self.credit).record_read();
    }
}

impl Drop for CallContext {
    fn drop(&mut self) {
        let repeats = lock(&self.credit).repeats();
        if repeats == 0 {
            return;
        }
        log::info!("event=request_repeated request={} repeats={repeats}", self.id());
        self.host.metrics().add("repeats_sent", repeats.into());
    }
}
