/// How a backend server may be used according to the reports of all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerStanding {
    /// Nothing counts against it.
    Trusted,
    /// One host reported a failure.
    Doubtful,
    /// It failed, and too many servers of its pool are excluded already: it is used after all others.
    LastResort,
    /// This host is to try whether it serves again, with a request that may be repeated.
    Trial,
    /// As [`Self::Trial`], also with a request that must run only once, since no other came in time.
    AnyTrial,
    /// It gets no requests.
    Excluded,
}
