use std::time::Duration;

/// Longest wait for a prefill server, as a fraction of the request's latency objective. The rest
/// must suffice for the prompt itself and the first event. A queue of 16,000 tokens (0.5 of the
/// users' objective) serves more requests than one of 9,000 tokens (0.3).
const MAX_WAIT_FRACTION: f64 = 0.55;

/// Most rejections among the reads of prompts, as a fraction, at which a prompt is read apart although its request could not
/// run after a rejection. A request that is lost costs its caller more than ten that start late.
const MAX_UNPAID_REJECTIONS: f64 = 0.1;

/// The kind of server that processes a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromptReader {
    /// A prefill server, from which the decode server fetches the result.
    Prefill,
    /// The decode server itself, at half the speed and interleaved with the tokens of its other
    /// streams.
    Decode,
}

/// Chooses which server processes a prompt within `objective`, the request's latency objective.
///
/// `wait` is the waiting time at the best prefill server: `None` if there is no such server, and zero while the speed of the
/// servers is unknown. `rejections` is the fraction of reads that were rejected lately. `survives_rejection` tells whether
/// the retry budget lets the request run after its read was rejected; it is asked only where reads are often rejected.
///
/// This choice allows the prefill pool to be sized for the average load: when one of its servers
/// fails or a burst arrives, decode servers process the prompts that would otherwise be late.
pub fn choose_reader(
    wait: Option<Duration>,
    objective: Duration,
    rejections: f64,
    survives_rejection: impl FnOnce() -> bool,
) -> PromptReader {
    let is_in_time = wait.is_some_and(|wait| wait <= objective.mul_f64(MAX_WAIT_FRACTION));
    let is_safe = || rejections <= MAX_UNPAID_REJECTIONS || survives_rejection();
    if is_in_time && is_safe() { PromptReader::Prefill } else { PromptReader::Decode }
}
