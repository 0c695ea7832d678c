/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StreamEnd {
    /// Its last event was relayed.
    Whole,
    /// The caller left.
    CallerLeft,
    /// Its deadline passed.
    TimedOut,
    /// Its server broke it off, and it was not resumed.
    Broken,
}

impl StreamEnd {
    pub const fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::CallerLeft => "caller_left",
            Self::TimedOut => "timed_out",
            Self::Broken => "broken",
        }
    }
}
