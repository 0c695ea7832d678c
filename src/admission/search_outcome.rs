/// How a request's search for decode memory ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchOutcome {
    /// A server granted memory.
    Granted,
    /// No server that it may search had memory.
    Refused,
    /// It was refused without a search. It counts as demand, but not as a sign of shortage: otherwise a shortage would
    /// sustain itself.
    Withheld,
}
