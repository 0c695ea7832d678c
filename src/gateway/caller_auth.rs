//! Authorizes callers by their keys.

use super::call_end::{CallEnd, NotRunReason};
use super::gateway_host::GatewayHost;
use super::run_open::refuse;
use crate::organisations::{CallerPermission, KeyDigest, Organisation, check_permission};
use crate::routes::Route;
use http::StatusCode;
use std::sync::Arc;
use std::time::Duration;

/// A host answers a request for the age of its configuration within a few milliseconds; a newer
/// configuration is fetched meanwhile.
const AGE_TIMEOUT: Duration = Duration::from_millis(150);

/// Returns the organisation on whose account a request runs, if any, or the refusal of the request.
pub(super) async fn authorize_caller(
    host: &GatewayHost,
    route: &Route,
    digest: Option<KeyDigest>,
) -> Result<Option<Arc<Organisation>>, CallEnd> {
    let mut permission = current_permission(host, route, digest);
    if permission == CallerPermission::RefreshFirst {
        // Subscribes before it sends, so that no answer is missed. The first answer wakes all requests that
        // wait; without an answer, the permission known at the timeout decides.
        let received = host.config_age_updated.notified();
        host.request_config_age();
        drop(tokio::time::timeout(AGE_TIMEOUT, received).await);
        permission = current_permission(host, route, digest);
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

fn current_permission(
    host: &GatewayHost,
    route: &Route,
    digest: Option<KeyDigest>,
) -> CallerPermission {
    let now = host.now();
    let state = host.state();
    let (age, max_age) = (state.config_age.age(now), state.max_config_age());
    check_permission(state.routes.organisations(), route.is_public, digest, age, max_age)
}
