//! Organisations and the authentication of their callers: which organisation holds the key of a request,
//! and whether the configuration is recent enough to rely on.
//!
//! Inputs are the configuration in force, the time at which it was last known to be the newest one,
//! and the key of a request; the output is an organisation, or the reason why the request must not run.

mod caller_key;
mod caller_permission;
mod config_age;
mod org_directory;
mod organisation;

pub use caller_key::{KeyDigest, KeyHasher};
pub use caller_permission::{CallerPermission, check_permission};
pub use config_age::{AgeReply, AgeRequest, ConfigAge};
pub use org_directory::OrgDirectory;
pub use organisation::{LimitUnit, OrgLimit, Organisation};
