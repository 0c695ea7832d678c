use std::time::Duration;

/// Longest wait for a prefill server, as a fraction of the request's latency objective. The rest
/// must suffice for the prompt itself and the first event. A queue of 16,000 tokens (0.5 of the
/// users' objective) serves more requests than one of 9,000 tokens (0.3).
const MAX_WAIT_FRACTION: f64 = 0.55;

/// Most rejections among the reads of prompts, as a fraction, at which a prompt is read apart although its request could not
/// run after a rejection. A request that is lost costs its caller more than ten that start late.
const MAX_UNPAID_REJECTIONS: f64 = 0.1;

/// What is known of the prefill servers before a prompt is read.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReadOutlook {
    /// The waiting time at the best prefill server: `None` if there is no such server, and zero while the speed of the
    /// servers is unknown.
    pub wait: Option<Duration>,
    /// Fraction of reads that were rejected lately.
    pub rejections: f64,
    /// Whether the retry budget lets the request run after its read was rejected.
    pub survives_rejection: bool,
}

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
/// This choice allows the prefill pool to be sized for the average load: when one of its servers
/// fails or a burst arrives, decode servers process the prompts that would otherwise be late.
pub fn choose_reader(outlook: &ReadOutlook, objective: Duration) -> PromptReader {
    let is_safe = outlook.survives_rejection || outlook.rejections <= MAX_UNPAID_REJECTIONS;
    match outlook.wait {
        Some(wait) if is_safe && wait <= objective.mul_f64(MAX_WAIT_FRACTION) => {
            PromptReader::Prefill
        }
        _ => PromptReader::Decode,
    }
}
