use tokio::sync::watch;

/// Holds up everything that a stand-in server does, as a server that stands still: connections stay open, and nothing is
/// answered or sent until it goes on.
#[derive(Debug)]
pub struct StallGate {
    is_stalled: watch::Sender<bool>,
}

impl Default for StallGate {
    fn default() -> Self {
        Self { is_stalled: watch::Sender::new(false) }
    }
}

impl StallGate {
    /// Holds up the server from now on.
    pub fn stall(&self) {
        self.is_stalled.send_replace(true);
    }

    /// Lets the server go on.
    pub fn release(&self) {
        self.is_stalled.send_replace(false);
    }

    /// Waits until the server is not held up.
    pub(super) async fn pass(&self) {
        let mut stalled = self.is_stalled.subscribe();
        // The sender outlives the wait, since it belongs to the server that waits.
        drop(stalled.wait_for(|is_stalled| !is_stalled).await);
    }
}
