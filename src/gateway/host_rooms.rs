use crate::open_connections::ConnectionRoom;
use crate::resource_plan::ResourcePlan;
use std::sync::Arc;

/// The connections that others opened to this host, by address.
#[derive(Debug)]
pub struct HostRooms {
    /// Callers.
    pub callers: Arc<ConnectionRoom>,
    /// The readiness probe.
    pub ready: Arc<ConnectionRoom>,
    /// Those who read metrics.
    pub metrics: Arc<ConnectionRoom>,
    /// Other hosts, until they have proved that they know the key.
    pub unproven: Arc<ConnectionRoom>,
}

impl HostRooms {
    /// Empty rooms with their parts of `plan`.
    pub fn new(plan: &ResourcePlan) -> Self {
        Self {
            callers: Arc::new(ConnectionRoom::new("callers", plan.callers)),
            ready: Arc::new(ConnectionRoom::new("ready", plan.ready)),
            metrics: Arc::new(ConnectionRoom::new("metrics", plan.metrics)),
            unproven: Arc::new(ConnectionRoom::new("peers", plan.unproven)),
        }
    }

    /// Figures about them in the Prometheus text format.
    pub fn prometheus_text(&self) -> String {
        let rooms = [&self.callers, &self.ready, &self.metrics, &self.unproven];
        rooms.into_iter().map(|room| room.prometheus_text()).collect()
    }
}
