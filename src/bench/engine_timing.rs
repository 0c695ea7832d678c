use std::time::Duration;

/// Cost model of the simulated engines; docs/MEASUREMENTS.md gives the source of each figure.
#[derive(Debug, Clone, Copy)]
pub struct EngineTiming {
    /// Prompt tokens that an engine prefills per second.
    pub prefill_tokens_per_second: f64,
    /// Size of the KV cache per token, in bytes.
    pub kv_bytes_per_token: u64,
    /// Bandwidth of the link into a decode engine, in bytes per second.
    pub link_bytes_per_second: f64,
    /// Duration of a decode step with an empty batch.
    pub step_base: Duration,
    /// Time that each running request adds to a decode step.
    pub step_per_request: Duration,
    /// Time to pull a model's weights; engines pull one after the other.
    pub weight_pull: Duration,
}

impl EngineTiming {
    /// The timing that all measurements use.
    pub const STANDARD: Self = Self {
        prefill_tokens_per_second: 2000.0,
        kv_bytes_per_token: 200_000,
        link_bytes_per_second: 4.0e9,
        step_base: Duration::from_millis(20),
        step_per_request: Duration::from_millis(1),
        weight_pull: Duration::from_millis(150),
    };
}
