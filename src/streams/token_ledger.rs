use crate::keys::AttemptId;

/// What to do with a token that arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenVerdict {
    /// It is the next one: write it to the caller.
    Write,
    /// It was written before: drop it.
    Duplicate,
    /// It comes from an attempt that was given up: drop it and cancel the attempt.
    Stale,
    /// Tokens before it are missing: the attempt is broken.
    Gap,
}

/// The record of one answer: which attempt may write, and from which index.
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
    /// An answer of which nothing is written.
    pub const fn new() -> Self {
        Self { current: None, next_index: 0, finished: false }
    }

    /// Makes `attempt` the only one that may write; returns the one it replaces.
    pub fn switch_to(&mut self, attempt: AttemptId) -> Option<AttemptId> {
        self.current.replace(attempt).filter(|old| *old != attempt)
    }

    /// Index of the next token to write.
    pub const fn next_index(&self) -> u32 {
        self.next_index
    }

    /// Judges a token; [`TokenVerdict::Write`] advances the record.
    ///
    /// The open of a stream records nothing: only a written token does (the paper's July fault
    /// counted the open as the first commit and lost the first token on a retry).
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

    /// Ends the answer; true only for the current attempt, and only once.
    pub fn finish(&mut self, attempt: AttemptId, total: u32) -> bool {
        let whole = self.current == Some(attempt) && !self.finished && total == self.next_index;
        self.finished |= whole;
        whole
    }
}
