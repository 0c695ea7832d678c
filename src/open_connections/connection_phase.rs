/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// Nothing of a request has arrived since it was opened or since the last answer.
    Resting,
    /// A request arrives.
    Receiving,
    /// A request that arrived is worked on, or its answer is written.
    Answering,
    /// The other side does not take what is written.
    Stalled,
}

impl ConnectionPhase {
    /// Whether the connection waits for the other side, and may be closed for want of room.
    pub const fn waits_for_caller(self) -> bool {
        match self {
            Self::Resting | Self::Receiving | Self::Stalled => true,
            Self::Answering => false,
        }
    }
}
