use std::time::Duration;

/// The kind of server that processes a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromptReader {
    /// A prefill server, from which the decode server fetches the result.
    Prefill,
    /// The decode server itself, at half the speed and interleaved with the tokens of its other
    /// streams.
    Decode,
}

/// The expected times of a prompt at the best prefill server, as measured; zero while nothing is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReadTimes {
    /// Time until the prompts queued before it are processed.
    pub wait: Duration,
    /// Time in which it is processed.
    pub read: Duration,
    /// Time from then on until the decode server sends the first event.
    pub start: Duration,
}

/// The risk that a prefill server rejects a read of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectionRisk {
    /// No read was rejected lately.
    Low,
    /// Reads were rejected lately.
    High,
}

/// Chooses which server processes a prompt whose first event is to arrive within `target_left`.
///
/// `times` are those at the best prefill server; `None` if there is no such server. The prompt is left to its decode server
/// if that is faster and a prefill server would miss the target. `survives_rejection` tells whether the retry budget lets
/// the request run after its read was rejected; it is asked only where reads are rejected.
///
/// This choice allows the prefill pool to be sized for the average load: when one of its servers
/// fails or a burst arrives, decode servers process the prompts that would otherwise be late.
pub fn choose_reader(
    times: Option<ReadTimes>,
    target_left: Duration,
    risk: RejectionRisk,
    survives_rejection: impl FnOnce() -> bool,
) -> PromptReader {
    let Some(times) = times else { return PromptReader::Decode };
    let is_in_time = times.wait + times.read + times.start <= target_left;
    // A decode server takes twice the time of a read.
    let is_faster = times.wait <= times.read;
    let is_safe = || risk == RejectionRisk::Low || survives_rejection();
    if (is_in_time || is_faster) && is_safe() {
        PromptReader::Prefill
    } else {
        PromptReader::Decode
    }
}
