use crate::held_bytes::{ByteBudget, ByteShare};
use crate::host::lock;
use crate::{Error, Result};
use std::sync::{Arc, Mutex};

/// What a token occupies besides its text: two strings and their places in lists.
const TOKEN_BYTES: usize = 64;

/// What the tokens of one answer occupy. It counts against the budget of all answers until the request has ended and its
/// caller has been sent every token.
#[derive(Debug, Clone)]
pub struct AnswerBytes {
    share: Arc<Mutex<ByteShare>>,
}

impl AnswerBytes {
    /// The share of an answer without tokens.
    pub fn new(budget: &ByteBudget) -> Self {
        Self { share: Arc::new(Mutex::new(budget.share())) }
    }

    /// Adds a token.
    ///
    /// # Errors
    /// [`Error::TooLong`] if the budget does not admit it.
    pub fn admit(&self, text: String) -> Result<AnswerText> {
        let mut share = lock(&self.share);
        let bytes = share.bytes() + text.len() + TOKEN_BYTES;
        if !share.resize(bytes) {
            return Err(Error::TooLong { received: bytes });
        }
        drop(share);
        Ok(AnswerText { text: text.into(), answer: self.clone() })
    }
}

/// The text of one token of an answer.
#[derive(Debug, Clone)]
pub struct AnswerText {
    text: Arc<str>,
    #[allow(dead_code, reason = "dropped with the text")]
    answer: AnswerBytes,
}

impl AnswerText {
    /// The text.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}
