use super::{KeyDigest, OrgDirectory, Organisation};
use std::sync::Arc;
use std::time::Duration;

/// An unknown key may have been added since the configuration was last known to be the newest one. Above
/// this age a host refreshes its configuration once before it rejects the key. Changes may take three
/// seconds to be in force everywhere, so most callers with a wrong key are rejected at once.
const UNKNOWN_KEY_AGE: Duration = Duration::from_millis(2000);

/// The decision whether a caller's request may run.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerPermission {
    /// The request needs no key and has no known one.
    Anonymous,
    /// The request runs on behalf of this organisation.
    Granted(Arc<Organisation>),
    /// The request needs a key but has none, or has one that no organisation holds.
    UnknownKey,
    /// The key is unknown but may be newer than the configuration in force, which must be refreshed first.
    RefreshFirst,
    /// The configuration in force is too old to tell whether the key has been revoked.
    ConfigTooOld,
}

/// Decides whether a request with the key `digest` may run, given that the configuration was the newest
/// one `age` ago.
///
/// A revoked key must not be accepted later than `max_age` after its revocation; `None` sets no limit.
/// A request is sent before the decision, so a configuration within this age that contains the key is
/// decisive, however long the request waits afterwards.
pub fn check_permission(
    directory: &OrgDirectory,
    is_public: bool,
    digest: Option<KeyDigest>,
    age: Duration,
    max_age: Option<Duration>,
) -> CallerPermission {
    if directory.is_empty() {
        return CallerPermission::Anonymous;
    }
    let holder = digest.and_then(|digest| directory.holder(digest));
    let is_too_old = max_age.is_some_and(|max| age > max);
    match (holder, is_public) {
        (Some(_), false) if is_too_old => CallerPermission::ConfigTooOld,
        (Some(holder), _) if !is_too_old => CallerPermission::Granted(Arc::clone(holder)),
        (_, true) => CallerPermission::Anonymous,
        (None, false) if digest.is_none() => CallerPermission::UnknownKey,
        (None, false) if is_too_old => CallerPermission::ConfigTooOld,
        (None, false) if age > UNKNOWN_KEY_AGE => CallerPermission::RefreshFirst,
        _ => CallerPermission::UnknownKey,
    }
}
