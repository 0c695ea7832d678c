use std::time::Duration;

/// Longest wait for a prefill server, as a part of the request's objective. The rest must suffice
/// for the prompt itself and the first event. Trials with a queue of 9,000 and 16,000 tokens (0.3
/// and 0.5 of the users' objective): the longer one served more.
const LONGEST_WAIT_PART: f64 = 0.55;

/// Who reads a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromptReader {
    /// A prefill server, whose result the decode server fetches.
    Prefill,
    /// The decode server itself, at half the pace and between the tokens of its other streams.
    Decode,
}

/// Chooses who reads a prompt, from the wait at the best prefill server: `None` if there is no
/// such server, zero while the servers' pace is not known.
///
/// This is what lets the prefill pool be as small as the work needs on average: while one of its
/// servers is lost or a burst comes, decode servers read what would be late.
pub fn choose_reader(wait: Option<Duration>, objective: Duration) -> PromptReader {
    match wait {
        Some(wait) if wait <= objective.mul_f64(LONGEST_WAIT_PART) => PromptReader::Prefill,
        _ => PromptReader::Decode,
    }
}
