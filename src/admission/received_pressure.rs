use super::ServicePressure;
use crate::keys::{IncarnationId, TimePoint};
use crate::routes::ServiceKey;

/// The last update of another host or failure domain.
#[derive(Debug, Clone)]
pub(super) struct ReceivedPressure {
    pub at: TimePoint,
    pub from: IncarnationId,
    pub version: u64,
    pub services: Vec<ServicePressure>,
}

impl ReceivedPressure {
    /// The figures of `service`, if the update contains any.
    pub fn service(&self, service: ServiceKey) -> Option<&ServicePressure> {
        self.services.iter().find(|known| known.service == service)
    }
}
