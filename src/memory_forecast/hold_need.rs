use super::{GrowthForecast, RunCount};

/// The memory and slots of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineMemory {
    /// Memory in tokens.
    pub tokens: u32,
    /// Number of requests that run concurrently.
    pub slots: u32,
}

/// The tokens that the request for a hold names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HoldNeed {
    /// What the run itself will need: what it starts with, and its answer.
    pub need: u32,
    /// What it leaves free for the growth of the runs that are already there.
    pub headroom: u32,
    /// The number of runs assumed to be there.
    pub runs: u32,
}

impl HoldNeed {
    /// The hold for a run that starts with `start` tokens and generates `output` more.
    ///
    /// The engine grants it only if that much is free, so the headroom matters only at a server that it would nearly
    /// fill. The number of runs at such a server follows from its memory; it is lower only if the server is known to
    /// be emptier. A request always fits into an empty server.
    pub fn new(
        growth: &GrowthForecast,
        engine: EngineMemory,
        start: u32,
        output: u32,
        count: RunCount,
    ) -> Self {
        let need = start.saturating_add(output).saturating_add(1).min(engine.tokens);
        let beside = f64::from(engine.tokens - need) / growth.run_tokens();
        let full = (beside.floor() as u32).min(engine.slots.saturating_sub(1));
        let runs = count.upper().map_or(full, |upper| upper.min(full));
        let headroom = growth.peak_growth(runs).min(engine.tokens - need);
        Self { need, headroom, runs }
    }

    /// The tokens that the request names.
    pub fn tokens(&self) -> u32 {
        self.need + self.headroom
    }
}
