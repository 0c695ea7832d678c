use super::gateway_host::GatewayHost;
use super::peer_messages::GatewayDatagram;
use crate::membership::MemberUpdate;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::oneshot;

/// An owner in the same failure domain answers within a millisecond; after this time the question is
/// sent once more, since datagrams are lost now and then.
const FIRST_WAIT: Duration = Duration::from_millis(25);
/// Then the owner counts as silent.
const SECOND_WAIT: Duration = Duration::from_millis(40);

/// Requests that wait for an owner's reply, by the sequence of their question.
#[derive(Debug)]
pub(super) struct PendingReplies<T>(Mutex<HashMap<u32, oneshot::Sender<T>>>);

impl<T> Default for PendingReplies<T> {
    fn default() -> Self {
        Self(Mutex::default())
    }
}

impl<T> PendingReplies<T> {
    /// Waits for the reply to the question `sequence`; dropping the receiver ends the wait.
    fn register(&self, sequence: u32) -> oneshot::Receiver<T> {
        let (sender, receiver) = oneshot::channel();
        let mut waits = crate::host::lock(&self.0);
        waits.retain(|_, sender| !sender.is_closed());
        waits.insert(sequence, sender);
        receiver
    }

    /// The owner replied; a reply for which nobody waits comes late.
    pub fn complete(&self, sequence: u32, reply: T) {
        if let Some(sender) = crate::host::lock(&self.0).remove(&sequence) {
            // Whoever waited may have given up.
            drop(sender.send(reply));
        }
    }
}

impl GatewayHost {
    /// Asks an owner, twice if it does not reply at once.
    pub(super) async fn request_reply<T>(
        &self,
        waits: &PendingReplies<T>,
        sequence: u32,
        owner: MemberUpdate,
        question: &GatewayDatagram,
    ) -> Option<T> {
        let mut reply = waits.register(sequence);
        for wait in [FIRST_WAIT, SECOND_WAIT] {
            self.send(owner.address, question);
            if let Ok(Ok(reply)) = tokio::time::timeout(wait, &mut reply).await {
                return Some(reply);
            }
        }
        let now = self.now();
        self.state().silent_owners.record(now, owner.incarnation);
        None
    }
}
