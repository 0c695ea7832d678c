use crate::limits::LimitAnswer;
use std::collections::HashMap;
use std::sync::Mutex;
use tokio::sync::oneshot;

/// Requests that wait for an owner's answer, by the sequence of their question.
#[derive(Debug, Default)]
pub(super) struct LimitWaits(Mutex<HashMap<u32, oneshot::Sender<LimitAnswer>>>);

impl LimitWaits {
    /// Waits for the answer to the question `sequence`; dropping the receiver ends the wait.
    pub fn wait(&self, sequence: u32) -> oneshot::Receiver<LimitAnswer> {
        let (sender, receiver) = oneshot::channel();
        let mut waits = crate::host::lock(&self.0);
        waits.retain(|_, sender| !sender.is_closed());
        waits.insert(sequence, sender);
        receiver
    }

    /// An owner answered; true if somebody waits for it.
    pub fn end(&self, answer: LimitAnswer) -> bool {
        let sender = crate::host::lock(&self.0).remove(&answer.sequence);
        sender.is_some_and(|sender| sender.send(answer).is_ok())
    }
}
