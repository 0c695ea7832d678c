use crate::keys::AttemptId;

/// What to do with a received token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenVerdict {
    /// The token is the next one: write it to the caller.
    Write,
    /// The token was already written: drop it.
    Duplicate,
    /// The token comes from an attempt that was replaced: drop it and cancel the attempt.
    Stale,
    /// Earlier tokens are missing: the attempt is broken.
    Gap,
}

/// The state of one answer: which attempt may write, and at which index it continues.
#[derive(Debug, Clone)]
pub struct TokenLedger {
    current: Option<AttemptId>,
    next_index: u32,
    finished: bool,
}

impl Default for TokenLedger {
    fn default() -> Self {
        Self::new()
    }
}

impl TokenLedger {
    /// Creates the ledger of an answer before its first token.
    pub const fn new() -> Self {
        Self { current: None, next_index: 0, finished: false }
    }

    /// Makes `attempt` the only one that may write; returns the attempt that it replaces.
    pub fn switch_to(&mut self, attempt: AttemptId) -> Option<AttemptId> {
        self.current.replace(attempt).filter(|previous| *previous != attempt)
    }

    /// Returns the index of the next token to write.
    pub const fn next_index(&self) -> u32 {
        self.next_index
    }

    /// Decides what to do with a token; [`TokenVerdict::Write`] advances the ledger.
    ///
    /// Only a written token advances the ledger, not the opening of a stream: counting the opening as the first commit
    /// would lose the first token on a retry.
    pub fn admit(&mut self, attempt: AttemptId, index: u32) -> TokenVerdict {
        if self.current != Some(attempt) || self.finished {
            return TokenVerdict::Stale;
        }
        match index.cmp(&self.next_index) {
            std::cmp::Ordering::Less => TokenVerdict::Duplicate,
            std::cmp::Ordering::Greater => TokenVerdict::Gap,
            std::cmp::Ordering::Equal => {
                self.next_index += 1;
                TokenVerdict::Write
            }
        }
    }

    /// Ends the answer after `total` tokens. Returns true only once, and only if `attempt` is the current one and all
    /// tokens were written.
    pub fn finish(&mut self, attempt: AttemptId, total: u32) -> bool {
        let complete = self.current == Some(attempt) && !self.finished && total == self.next_index;
        self.finished |= complete;
        complete
    }
}
