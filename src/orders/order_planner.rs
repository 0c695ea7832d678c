use crate::intents::{ClusterConfig, ServerRole, ServerSpec};
use crate::keys::TimePoint;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A server that does not check fences is ordered only by a host that heard the store this lately.
const STORE_FRESHNESS: Duration = Duration::from_secs(5);

/// An order to a backend server; the fence is the configuration version that it carries out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerOrder {
    /// The server refuses an order with a lower fence than one it has obeyed.
    pub fence: u64,
    /// Its role from now on.
    pub role: ServerRole,
    /// The models it holds from now on, as `name@version`.
    pub models: Vec<String>,
    /// Whether it is to refuse new work.
    pub draining: bool,
}

/// What a server reported of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerView {
    /// Its role.
    pub role: ServerRole,
    /// Its models, as `name@version`.
    pub models: Vec<String>,
    /// Whether it refuses new work.
    pub draining: bool,
    /// Requests that it holds.
    pub held: usize,
}

/// Decides which order a server needs next.
#[derive(Debug, Default)]
pub struct OrderPlanner {
    store_heard_at: Option<TimePoint>,
}

impl OrderPlanner {
    /// The platform's store answered.
    pub fn record_store_contact(&mut self, now: TimePoint) {
        self.store_heard_at = Some(now);
    }

    /// The order that brings `view` to what `config` wants, if any is due and allowed.
    ///
    /// Orders follow from the configuration alone, so two owners that act on the same version send
    /// the same order. A server that does not check fences could be set back by an owner that is
    /// behind, so only an owner that heard the store within five seconds may order it.
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
        // A role change, a reload of weights and a leave all drain first.
        let changes = view.role != server.role || view.models != models;
        let draining = server.leaving || (changes && view.held > 0);
        let order = ServerOrder {
            fence: config.version,
            role: if view.held > 0 { view.role } else { server.role },
            models: if view.held > 0 { view.models.clone() } else { models },
            draining,
        };
        let settled = view.role == order.role
            && view.models == order.models
            && view.draining == order.draining;
        (!settled).then_some(order)
    }

    fn store_is_fresh(&self, now: TimePoint) -> bool {
        self.store_heard_at.is_some_and(|heard| now.since(heard) <= STORE_FRESHNESS)
    }
}

fn wanted_models(config: &ClusterConfig, server: &ServerSpec) -> Vec<String> {
    let named = |name: &String| config.model(name).map(|m| format!("{}@{}", m.name, m.version));
    let mut models: Vec<String> = server.models.iter().filter_map(named).collect();
    models.sort();
    models
}
