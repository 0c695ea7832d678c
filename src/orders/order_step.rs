use crate::fleet::{ServerEntry, ServerStage};

/// The state that an engine reports before an order is sent to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineState {
    /// Start time of the current incarnation in Unix milliseconds, if the engine reports it.
    pub started_at: Option<u64>,
    /// The current stage.
    pub stage: Option<ServerStage>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Number of orders that this incarnation has accepted.
    pub orders_taken: u64,
}

/// How to proceed with a planned change, given the state that the engine reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderStep {
    /// Send the order, on the condition that the engine has accepted exactly this many orders.
    Order {
        /// The expected number of accepted orders.
        orders_taken: u64,
    },
    /// The change is already in progress or complete.
    UnderWay,
    /// The engine has restarted since the change was planned, and the plan does not apply to the
    /// new incarnation.
    Restarted,
}

/// Decides whether to send the order that changes `planned` to the stage `to`.
///
/// An engine whose entry or report lacks the start time is assumed to be the planned incarnation,
/// since nothing but the id identifies it.
pub fn order_step(planned: &ServerEntry, to: ServerStage, state: &EngineState) -> OrderStep {
    let start_times = planned.started_at.zip(state.started_at);
    if start_times.is_some_and(|(planned, reported)| planned != reported) {
        return OrderStep::Restarted;
    }
    if state.busy || state.stage == Some(to) {
        return OrderStep::UnderWay;
    }
    OrderStep::Order { orders_taken: state.orders_taken }
}
