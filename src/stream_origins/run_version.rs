use crate::fleet::ServerEntry;
use crate::keys::VersionKey;
use std::time::Duration;

/// The software versions at which a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RunVersion {
    /// Any: no event of its stream has been sent yet.
    #[default]
    Any,
    /// Only the one that began its stream.
    Only(VersionKey),
}

impl RunVersion {
    /// Whether `server` may run the request.
    pub fn admits(self, server: &ServerEntry) -> bool {
        match self {
            Self::Any => true,
            Self::Only(version) => server.version_key() == version,
        }
    }
}

/// Drops the servers of versions that came a moment ago, if others are left: the store does not know these versions yet, and
/// the hosts that saw them may be killed.
pub fn keep_established<S>(ranked: &mut Vec<S>, is_established: impl Fn(&S) -> bool) {
    if ranked.iter().any(&is_established) {
        ranked.retain(is_established);
    }
}

/// What a host knows of a service whose stream it does not know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownOrigin<'a> {
    /// The versions that serve or served recently.
    pub recent: &'a [VersionKey],
    /// Whether the route is known to have led to this service only.
    pub is_only_service: bool,
    /// Whether the host knows all recent versions of the time before it started.
    pub is_settled: bool,
    /// For how long its view of the servers may have missed changes.
    pub view_age: Duration,
    /// Whether it hears all failure domains, and the store has answered none of their hosts since its view was complete.
    pub is_common_outage: bool,
}

/// Hosts that are in touch learn of a new server within this time. A host with an older view may not know of a version
/// at which other hosts already begin streams, unless they get no news either.
const MAX_VIEW_AGE: Duration = Duration::from_millis(2000);

/// The version that began a stream which no host knows; `None` if that is not proved. It is proved only if, for longer than
/// any stream lasts, the route led to this service only, and the service had a single version.
pub fn version_of_unknown(origin: &UnknownOrigin<'_>) -> Option<VersionKey> {
    let [version] = origin.recent else {
        return None;
    };
    let is_view_new = origin.view_age <= MAX_VIEW_AGE || origin.is_common_outage;
    (origin.is_settled && origin.is_only_service && is_view_new).then_some(*version)
}
