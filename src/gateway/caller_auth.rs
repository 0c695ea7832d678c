//! Lets callers in by their keys.

use super::call_end::{CallEnd, NotRunReason};
use super::gateway_host::GatewayHost;
use super::run_open::refuse;
use crate::organisations::{CallerPermission, KeyDigest, Organisation, check_permission};
use crate::routes::Route;
use http::StatusCode;
use std::sync::Arc;
use std::time::Duration;

/// A host that was asked for the age of its configuration answers within a few milliseconds; a newer
/// configuration is fetched meanwhile.
const AGE_WAIT: Duration = Duration::from_millis(150);

/// The organisation on whose account a request runs, if any.
pub(super) async fn authorize_caller(
    host: &GatewayHost,
    route: &Route,
    digest: Option<KeyDigest>,
) -> Result<Option<Arc<Organisation>>, CallEnd> {
    let mut permission = permission_now(host, route, digest);
    if permission == CallerPermission::RefreshFirst {
        // Listens before it asks. All that wait are woken by the first answer; without one they are decided
        // on as it stands.
        let heard = host.age_heard.notified();
        host.ask_ages();
        drop(tokio::time::timeout(AGE_WAIT, heard).await);
        permission = permission_now(host, route, digest);
    }
    match permission {
        CallerPermission::Anonymous => Ok(None),
        CallerPermission::Granted(organisation) => Ok(Some(organisation)),
        CallerPermission::UnknownKey => {
            Err(CallEnd::Improper(StatusCode::UNAUTHORIZED, "unknown_key"))
        }
        CallerPermission::RefreshFirst | CallerPermission::ConfigTooOld => {
            Err(refuse(NotRunReason::ConfigTooOld))
        }
    }
}

fn permission_now(
    host: &GatewayHost,
    route: &Route,
    digest: Option<KeyDigest>,
) -> CallerPermission {
    let now = host.now();
    let state = host.state();
    let (age, longest) = (state.config_age.age(now), state.longest_config_age());
    check_permission(state.routes.organisations(), route.is_public, digest, age, longest)
}
