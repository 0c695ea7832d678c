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
}

impl Default for SendCredit {
    fn default() -> Self {
        Self { reads: 1, runs: 1 }
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

    /// Adds one send: a retry was taken, or nothing of the request reached its server.
    pub fn add(&mut self, kind: SendKind) {
        *self.count_mut(kind) += 1;
    }

    /// Records that the request is sent. Returns false if this send was not covered.
    pub fn spend(&mut self, kind: SendKind) -> bool {
        let is_covered = self.covers(kind);
        let count = self.count_mut(kind);
        *count = count.saturating_sub(1);
        is_covered
    }

    fn count_mut(&mut self, kind: SendKind) -> &mut u32 {
        match kind {
            SendKind::Read => &mut self.reads,
            SendKind::Run => &mut self.runs,
        }
    }
}
