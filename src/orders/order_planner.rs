use crate::intents::{ClusterConfig, ServerRole, ServerSpec};
use crate::keys::TimePoint;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Maximum age of the last answer of the store for orders to a server that does not check fences.
const STORE_FRESHNESS: Duration = Duration::from_secs(5);

/// An order to a backend server. Its fence is the version of the configuration that it implements.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerOrder {
    /// Fencing token: the server refuses an order with a lower fence than one that it has executed.
    pub fence: u64,
    /// The new role.
    pub role: ServerRole,
    /// The models to serve, as `name@version`.
    pub models: Vec<String>,
    /// Whether to refuse new work.
    pub draining: bool,
}

/// The state that a server reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerView {
    /// The current role.
    pub role: ServerRole,
    /// The models that are served, as `name@version`.
    pub models: Vec<String>,
    /// Whether the server refuses new work.
    pub draining: bool,
    /// Number of requests in progress.
    pub held_count: usize,
}

/// Decides which order to send to a server next.
#[derive(Debug, Default)]
pub struct OrderPlanner {
    store_answered_at: Option<TimePoint>,
}

impl OrderPlanner {
    /// Records that the platform's store answered.
    pub fn record_store_contact(&mut self, now: TimePoint) {
        self.store_answered_at = Some(now);
    }

    /// The order that brings the server from `view` to the state in `config`, if one is needed and
    /// allowed.
    ///
    /// Orders depend on the configuration only, so that two owners that act on the same version
    /// send the same order. An owner with an outdated configuration could revert a server that does
    /// not check fences. Only an owner that received an answer from the store within the last five
    /// seconds may therefore send it orders.
    pub fn next_order(
        &self,
        now: TimePoint,
        config: &ClusterConfig,
        server: &ServerSpec,
        view: &ServerView,
    ) -> Option<ServerOrder> {
        if !server.checks_fence && !self.store_is_fresh(now) {
            return None;
        }
        let models = wanted_models(config, server);
        // The server drains before it changes its role, reloads weights or shuts down.
        let needs_change = view.role != server.role || view.models != models;
        let draining = server.leaving || (needs_change && view.held_count > 0);
        let order = ServerOrder {
            fence: config.version,
            role: if view.held_count > 0 { view.role } else { server.role },
            models: if view.held_count > 0 { view.models.clone() } else { models },
            draining,
        };
        let is_in_place = view.role == order.role
            && view.models == order.models
            && view.draining == order.draining;
        (!is_in_place).then_some(order)
    }

    fn store_is_fresh(&self, now: TimePoint) -> bool {
        self.store_answered_at.is_some_and(|answered_at| now.since(answered_at) <= STORE_FRESHNESS)
    }
}

fn wanted_models(config: &ClusterConfig, server: &ServerSpec) -> Vec<String> {
    let versioned_name =
        |name: &String| config.model(name).map(|m| format!("{}@{}", m.name, m.version));
    let mut models: Vec<String> = server.models.iter().filter_map(versioned_name).collect();
    models.sort();
    models
}
