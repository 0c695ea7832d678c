/// What a backend server is asked to do for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendKind {
    /// Only to read its prompt.
    Read,
    /// To run it.
    Run,
}

/// How often a request may still be sent to servers: once to have its prompt read and once to run, which are no
/// retries, and once more for each retry taken from the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendCredit {
    reads: u32,
    runs: u32,
    /// Sends that count: all but the first read that a server took up.
    sent: u32,
    has_read: bool,
}

impl Default for SendCredit {
    fn default() -> Self {
        Self { reads: 1, runs: 1, sent: 0, has_read: false }
    }
}

impl SendCredit {
    /// Whether the request may be sent once more.
    pub fn covers(&self, kind: SendKind) -> bool {
        match kind {
            SendKind::Read => self.reads > 0,
            SendKind::Run => self.runs > 0,
        }
    }

    /// Adds one send: a retry was taken.
    pub fn add(&mut self, kind: SendKind) {
        *self.count_mut(kind) += 1;
    }

    /// Records that the request is sent. Returns false if this send was not covered.
    pub fn spend(&mut self, kind: SendKind) -> bool {
        let is_covered = self.covers(kind);
        self.sent += 1;
        let count = self.count_mut(kind);
        *count = count.saturating_sub(1);
        is_covered
    }

    /// Records that nothing of the last send reached its server.
    pub fn return_send(&mut self, kind: SendKind) {
        self.sent = self.sent.saturating_sub(1);
        self.add(kind);
    }

    /// Records that a server took up the read that was sent last. Only the first one is not counted by the platform.
    pub fn record_read(&mut self) {
        if !self.has_read {
            self.has_read = true;
            self.sent = self.sent.saturating_sub(1);
        }
    }

    /// Number of sends beyond the first, as the platform counts them.
    pub fn repeats(&self) -> u32 {
        self.sent.saturating_sub(1)
    }

    fn count_mut(&mut self, kind: SendKind) -> &mut u32 {
        match kind {
            SendKind::Read => &mut self.reads,
            SendKind::Run => &mut self.runs,
        }
    }
}
