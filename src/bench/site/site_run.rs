/// One request that an engine worked on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteRun {
    /// The request's id.
    pub request: String,
    /// `prefill` or `decode`.
    pub stage: String,
    /// It used the result of a prefill.
    pub fetched: bool,
    /// It used a hold.
    pub held: bool,
    /// The event that it continued after.
    pub after: Option<u64>,
    /// Its caller left before the end.
    pub cancelled: bool,
}
