/// Source of a newer view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewSource {
    /// This host's own call to the store.
    Store,
    /// Another host.
    Peer,
}

impl ViewSource {
    pub const fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}
