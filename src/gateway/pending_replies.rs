use super::gateway_host::GatewayHost;
use super::peer_messages::GatewayDatagram;
use crate::membership::MemberUpdate;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::oneshot;

/// Timeout of the first attempt. An owner in the same failure domain replies within a millisecond; after
/// this time the request is sent again, since datagrams may be lost.
const FIRST_TIMEOUT: Duration = Duration::from_millis(25);
/// Timeout of the second attempt, after which the owner counts as silent.
const SECOND_TIMEOUT: Duration = Duration::from_millis(40);

/// Requests that wait for an owner's reply, by sequence number.
#[derive(Debug)]
pub(super) struct PendingReplies<T>(Mutex<HashMap<u32, oneshot::Sender<T>>>);

impl<T> Default for PendingReplies<T> {
    fn default() -> Self {
        Self(Mutex::default())
    }
}

impl<T> PendingReplies<T> {
    /// Registers the request `sequence` and returns the receiver of its reply; dropping the receiver cancels
    /// the wait.
    pub fn register(&self, sequence: u32) -> oneshot::Receiver<T> {
        let (sender, receiver) = oneshot::channel();
        let mut pending = crate::host::lock(&self.0);
        pending.retain(|_, sender| !sender.is_closed());
        pending.insert(sequence, sender);
        receiver
    }

    /// Passes the owner's reply to the waiting request; a late reply, for which no request waits, is dropped.
    pub fn complete(&self, sequence: u32, reply: T) {
        if let Some(sender) = crate::host::lock(&self.0).remove(&sequence) {
            // The waiting request may have given up.
            drop(sender.send(reply));
        }
    }
}

impl GatewayHost {
    /// Sends a request to an owner and waits for its reply. An owner that does not reply gets no request of any kind for
    /// a while.
    pub(super) async fn request_reply<T>(
        &self,
        pending: &PendingReplies<T>,
        sequence: u32,
        owner: MemberUpdate,
        request: &GatewayDatagram,
    ) -> Option<T> {
        let reply = self.exchange_datagrams(pending, sequence, owner, request).await;
        if reply.is_none() {
            let now = self.now();
            self.state().silent_owners.record(now, owner.incarnation);
        }
        reply
    }

    /// Sends a request to another host and waits for its reply; sends it a second time if the first gets no reply.
    pub(super) async fn exchange_datagrams<T>(
        &self,
        pending: &PendingReplies<T>,
        sequence: u32,
        owner: MemberUpdate,
        request: &GatewayDatagram,
    ) -> Option<T> {
        let mut reply = pending.register(sequence);
        for timeout in [FIRST_TIMEOUT, SECOND_TIMEOUT] {
            self.send(owner.address, request);
            if let Ok(Ok(reply)) = tokio::time::timeout(timeout, &mut reply).await {
                return Some(reply);
            }
        }
        None
    }
}
