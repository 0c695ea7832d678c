//! Whether a host reports so many servers of a service that it is rather at fault itself.

use crate::fleet::FleetView;
use crate::keys::ServerKey;
use crate::routes::ServiceKey;
use std::collections::HashSet;

/// Whether `failed` contains more than half of a service's ready servers.
pub(super) fn is_majority(
    failed: &HashSet<ServerKey>,
    service: ServiceKey,
    fleet: &FleetView,
) -> bool {
    let (mut ready, mut matching) = (0, 0);
    for server in fleet.ready(service) {
        ready += 1;
        matching += usize::from(failed.contains(&server.key()));
    }
    matching * 2 > ready
}

/// The services of which more than half of the ready servers are in `failed`.
pub(super) fn majority_services(
    failed: &HashSet<ServerKey>,
    fleet: &FleetView,
) -> HashSet<ServiceKey> {
    let services = failed.iter().filter_map(|key| fleet.entry(*key)).map(|entry| entry.service);
    let mut services: HashSet<ServiceKey> = services.collect();
    services.retain(|service| is_majority(failed, *service, fleet));
    services
}
