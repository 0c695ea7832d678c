use crate::open_connections::ConnectionRoom;
use crate::resource_plan::ResourcePlan;
use std::fmt::Write;
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
        let mut text = String::new();
        for room in [&self.callers, &self.ready, &self.metrics, &self.unproven] {
            let (name, counts) = (room.name(), room.counts());
            let figures = [
                ("connections_open", counts.open as u64),
                ("connections_bytes", counts.bytes as u64),
                ("connections_closed_total", counts.closed),
                ("connections_refused_total", counts.refused),
            ];
            for (figure, value) in figures {
                // Writing to a string does not fail.
                let _ = writeln!(text, "tealcleat_{figure}{{door=\"{name}\"}} {value}");
            }
        }
        text
    }
}
