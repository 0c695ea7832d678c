/// What a stand-in engine does wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EngineFault {
    /// Nothing.
    #[default]
    None,
    /// It grants no holds, as when its memory is full.
    Full,
    /// It answers nothing.
    Silent,
    /// Results of prefills are gone when they are fetched.
    LoseHandles,
    /// It reads prompts and breaks off instead of answering.
    LoseReads,
    /// It answers 500 to runs.
    FailRuns,
    /// It breaks streams off within the event after this many.
    CutAfter(u64),
    /// It makes this many events and then nothing.
    StallAfter(u64),
    /// In runs from the beginning, something that is none of the stream's events comes after this many.
    StrayAfter(u64),
    /// It answers with the id of another request.
    ForeignAnswer,
    /// It changes its stage: it grants holds, but turns reads and runs away.
    Changing,
    /// It takes orders, leaves them unanswered, and carries nothing out.
    LoseOrders,
}
