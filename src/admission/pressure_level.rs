/// How scarce the decode memory of a service is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum PressureLevel {
    /// Most memory is free.
    #[default]
    Calm,
    /// The pool is nearly full: memory is reserved for more urgent requests.
    Tight,
    /// Searches find no memory: requests beyond a fair share are refused as well.
    Short,
}

impl PressureLevel {
    /// The level's name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::Tight => "tight",
            Self::Short => "short",
        }
    }
}
