//! Accounts for each time a request is sent to a server, against the retries that were taken for it.

use super::call_context::CallContext;
use super::server_call::CallPurpose;
use crate::host::lock;
use crate::retries::SendKind;

impl CallContext {
    /// Takes a retry for each of `kinds`, all or none of them, if the retry budget allows it.
    pub async fn take_sends(&self, kinds: &[SendKind]) -> bool {
        let count = u32::try_from(kinds.len()).unwrap_or(u32::MAX);
        if !self.host.take_retries(self.service, count).await {
            return false;
        }
        for kind in kinds {
            lock(&self.credit).add(*kind);
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
            lock(&self.credit).add(kind);
        }
    }
}
