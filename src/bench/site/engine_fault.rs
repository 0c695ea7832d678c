/// A fault of a stand-in engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EngineFault {
    /// No fault.
    #[default]
    None,
    /// Grants no holds, as when the engine's memory is full.
    Full,
    /// Never responds.
    Silent,
    /// Prefill results are missing when they are fetched.
    LoseHandles,
    /// Prefills prompts but drops the connection instead of responding.
    LoseReads,
    /// Responds 500 to decode requests.
    FailRuns,
    /// Truncates streams in the middle of the event that follows this many events.
    CutAfter(u64),
    /// Sends this many events and then stalls.
    StallAfter(u64),
    /// In runs that start at the first event, sends bytes that are not an event of the stream after this many events.
    StrayAfter(u64),
    /// Responds with the id of another request.
    ForeignAnswer,
    /// Changes its stage: grants holds, but rejects prefill and decode requests.
    Changing,
    /// Grants holds, but rejects some prefill and decode requests, as an overloaded engine does.
    Shed {
        /// How many of ten requests it rejects, in a row.
        tenths: u64,
    },
    /// Accepts orders but neither executes them nor responds.
    LoseOrders,
}
