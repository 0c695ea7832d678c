use std::time::Duration;

/// Longest wait for a prefill server, as a fraction of the request's latency objective. The rest
/// must suffice for the prompt itself and the first event. A queue of 16,000 tokens (0.5 of the
/// users' objective) serves more requests than one of 9,000 tokens (0.3).
const MAX_WAIT_FRACTION: f64 = 0.55;

/// The kind of server that processes a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromptReader {
    /// A prefill server, from which the decode server fetches the result.
    Prefill,
    /// The decode server itself, at half the speed and interleaved with the tokens of its other
    /// streams.
    Decode,
}

/// Chooses which server processes a prompt.
///
/// `wait` is the waiting time at the best prefill server: `None` if there is no such server, and
/// zero while the speed of the servers is unknown.
///
/// This choice allows the prefill pool to be sized for the average load: when one of its servers
/// fails or a burst arrives, decode servers process the prompts that would otherwise be late.
pub fn choose_reader(wait: Option<Duration>, objective: Duration) -> PromptReader {
    match wait {
        Some(wait) if wait <= objective.mul_f64(MAX_WAIT_FRACTION) => PromptReader::Prefill,
        _ => PromptReader::Decode,
    }
}
