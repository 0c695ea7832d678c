/// How often a request may still be sent to servers without a retry being taken, and how often it was sent, as the
/// platform counts both: the first send is no retry, and the first read of its prompt that a server takes up is not
/// counted. A read that a server rejects is counted like any other send.
///
/// Whether a read is taken up is known only after it was sent. Each send therefore takes one from the credit, and that of
/// the first read taken up is given back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendCredit {
    sends: u32,
    has_read: bool,
    sent: u32,
}

impl Default for SendCredit {
    fn default() -> Self {
        Self { sends: 1, has_read: false, sent: 0 }
    }
}

impl SendCredit {
    /// Number of retries that have to be taken before the request may be sent `sends` times more.
    pub fn missing(&self, sends: u32) -> u32 {
        sends.saturating_sub(self.sends)
    }

    /// Number of sends that reading the prompt and then running the request takes, if the read is taken up.
    pub fn opening_sends(&self) -> u32 {
        if self.has_read { 2 } else { 1 }
    }

    /// Adds sends for which retries were taken.
    pub fn add(&mut self, sends: u32) {
        self.sends += sends;
    }

    /// Records that the request is sent. Returns false if the credit did not cover it.
    pub fn spend(&mut self) -> bool {
        let is_covered = self.sends > 0;
        self.sends = self.sends.saturating_sub(1);
        self.sent += 1;
        is_covered
    }

    /// Takes back the last send: nothing of the request reached its server.
    pub fn return_send(&mut self) {
        self.sends += 1;
        self.sent = self.sent.saturating_sub(1);
    }

    /// Records that a server took up the read that was sent last.
    pub fn record_read(&mut self) {
        if !self.has_read {
            self.has_read = true;
            self.return_send();
        }
    }

    /// Number of sends beyond the first that were counted.
    pub fn repeats(&self) -> u32 {
        self.sent.saturating_sub(1)
    }
}
