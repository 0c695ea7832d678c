use super::site_http::{WholeRequest, header};

/// One request that an engine worked on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteRun {
    /// The request's id.
    pub request: String,
    /// `prefill` or `decode`.
    pub stage: String,
    /// It used the result of a prefill.
    pub fetched: bool,
    /// It used a hold that the engine knew.
    pub held: bool,
    /// The hold that it used.
    pub hold: Option<String>,
    /// The event that it continued after.
    pub after: Option<u64>,
    /// Its caller left before the end.
    pub cancelled: bool,
    /// On whose account it ran.
    pub caller: CallerRecord,
}

impl SiteRun {
    /// The run that a request begins.
    pub(super) fn of(request: &WholeRequest, id: &str, stage: &str) -> Self {
        Self {
            request: id.to_owned(),
            stage: stage.to_owned(),
            fetched: header(request, "kv-from").is_some(),
            held: false,
            hold: header(request, "hold").map(str::to_owned),
            after: header(request, "last-event-id").and_then(|text| text.parse().ok()),
            cancelled: false,
            caller: CallerRecord::of(request, id),
        }
    }
}

/// What a backend server is told of the caller of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRecord {
    /// The request's id.
    pub request: String,
    /// The organisation that it runs for.
    pub organisation: Option<String>,
    /// The caller's key was passed on, which must never happen.
    pub has_key: bool,
}

impl CallerRecord {
    pub(super) fn of(request: &WholeRequest, id: &str) -> Self {
        Self {
            request: id.to_owned(),
            organisation: header(request, "x-tenant").map(str::to_owned),
            has_key: header(request, "authorization").is_some(),
        }
    }
}
