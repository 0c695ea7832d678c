//! Accounts for each time a request is sent to a server, against the retries that were taken for it.

use super::call_context::CallContext;
use super::server_call::CallPurpose;
use crate::host::lock;
use crate::retries::SendKind;

impl CallContext {
    /// Makes sure that the request may be sent once for each of `kinds`. What earlier sends have used up is taken from the
    /// retry budget, all of it or nothing.
    ///
    /// Everything that leads to a send asks this first, so that no loop around it can send without being counted.
    pub async fn cover_sends(&self, kinds: &[SendKind]) -> bool {
        let credit = *lock(&self.credit);
        let missing: Vec<SendKind> =
            kinds.iter().copied().filter(|kind| !credit.covers(*kind)).collect();
        if missing.is_empty() {
            return true;
        }
        let count = u32::try_from(missing.len()).unwrap_or(u32::MAX);
        if !self.host.take_retries(self.service, count).await {
            return false;
        }
        for kind in missing {
            lock(&self.credit).add(kind);
        }
        true
    }

    /// Records that the request is sent to a server.
    pub(super) fn spend_send(&self, purpose: CallPurpose, server: &str) {
        let Some(kind) = purpose.send_kind() else { return };
        if lock(&self.credit).spend(kind) {
            return;
        }
        let (id, purpose) = (self.id(), purpose.name());
        log::warn!("event=send_uncounted request={id} server={server} call={purpose}");
        self.host.metrics().add("sends_uncounted", 1);
    }

    /// Takes back the last [`Self::spend_send`]: nothing of the request reached the server.
    pub(super) fn return_send(&self, purpose: CallPurpose) {
        if let Some(kind) = purpose.send_kind() {
            lock(&self.credit).return_send(kind);
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
