/// Phase of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// The host serves callers.
    Serving,
    /// The readiness endpoint reports not ready, so that the platform routes no more callers here; requests that still
    /// arrive are served.
    Draining,
    /// Connections are closed; requests in flight, and those read in the meantime, run to their end.
    Closing,
    /// The process is about to exit; requests whose answers have not begun get a final answer.
    Ending,
}
