use super::site_http::{BufferedRequest, header};
use tokio::time::Instant;

/// A request that an engine worked on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteRun {
    /// Request id.
    pub request: String,
    /// `prefill` or `decode`.
    pub stage: String,
    /// Version of the engine's software.
    pub version: String,
    /// Whether it used a prefill result.
    pub fetched: bool,
    /// Whether it used a hold that the engine had granted.
    pub held: bool,
    /// The hold that it named.
    pub hold: Option<String>,
    /// The priority that it named.
    pub priority: Option<String>,
    /// The event after which it resumed.
    pub after: Option<u64>,
    /// Whether its caller disconnected before the end.
    pub cancelled: bool,
    /// The caller that the request headers named.
    pub caller: CallerRecord,
    /// When it arrived.
    pub arrived_at: Instant,
    /// When a decode engine ended it, whole or because its caller disconnected.
    pub ended_at: Option<Instant>,
}

impl SiteRun {
    /// The run that `request` starts.
    pub(super) fn of(request: &BufferedRequest, id: &str, stage: &str, version: &str) -> Self {
        Self {
            request: id.to_owned(),
            stage: stage.to_owned(),
            version: version.to_owned(),
            fetched: header(request, "kv-from").is_some(),
            held: false,
            hold: header(request, "hold").map(str::to_owned),
            priority: header(request, "priority").map(str::to_owned),
            after: header(request, "last-event-id").and_then(|text| text.parse().ok()),
            cancelled: false,
            caller: CallerRecord::of(request, id),
            arrived_at: Instant::now(),
            ended_at: None,
        }
    }
}

/// What a request tells a backend server about its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRecord {
    /// Request id.
    pub request: String,
    /// The organisation that the request runs for.
    pub organisation: Option<String>,
    /// Whether the caller's key was forwarded, which must never happen.
    pub has_key: bool,
}

impl CallerRecord {
    pub(super) fn of(request: &BufferedRequest, id: &str) -> Self {
        Self {
            request: id.to_owned(),
            organisation: header(request, "x-tenant").map(str::to_owned),
            has_key: header(request, "authorization").is_some(),
        }
    }
}
