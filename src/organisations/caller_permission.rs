use super::{KeyDigest, OrgDirectory, Organisation};
use std::sync::Arc;
use std::time::Duration;

/// A key that is not known may have been added since the configuration was last known to be the newest.
/// Beyond this age a host asks once more before it says that the key is wrong. A change has three
/// seconds to be in force everywhere, so most callers with a wrong key hear so at once.
const UNKNOWN_KEY_AGE: Duration = Duration::from_millis(2000);

/// Whether a caller's request may run.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerPermission {
    /// It needs no key and has none that is known.
    Anonymous,
    /// It runs on account of this organisation.
    Granted(Arc<Organisation>),
    /// It needs a key and has none, or one that no organisation holds.
    UnknownKey,
    /// The same, but the key may be newer than the configuration in force.
    RefreshFirst,
    /// Its key may have been taken away: the configuration in force may be too old to tell.
    ConfigTooOld,
}

/// Decides whether a request with the key `digest` may run now, by a configuration that was the newest
/// one `age` ago.
///
/// A key that is taken away must not be served later than `longest_age` after that. A request was sent
/// before it is decided on, so a younger configuration that holds its key settles it for good, however
/// long it waits afterwards. `None` bounds nothing.
pub fn check_permission(
    directory: &OrgDirectory,
    is_public: bool,
    digest: Option<KeyDigest>,
    age: Duration,
    longest_age: Option<Duration>,
) -> CallerPermission {
    if directory.is_empty() {
        return CallerPermission::Anonymous;
    }
    let holder = digest.and_then(|digest| directory.holder(digest));
    let too_old = longest_age.is_some_and(|longest| age > longest);
    match (holder, is_public) {
        (Some(_), false) if too_old => CallerPermission::ConfigTooOld,
        (Some(holder), _) if !too_old => CallerPermission::Granted(Arc::clone(holder)),
        (_, true) => CallerPermission::Anonymous,
        (None, false) if digest.is_none() => CallerPermission::UnknownKey,
        (None, false) if too_old => CallerPermission::ConfigTooOld,
        (None, false) if age > UNKNOWN_KEY_AGE => CallerPermission::RefreshFirst,
        _ => CallerPermission::UnknownKey,
    }
}
