use crate::fleet::{ServerEntry, ServerStage};

/// What an engine says of itself before it is ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineState {
    /// Unix millisecond at which its life began, if it says so.
    pub started_at: Option<u64>,
    /// Its stage.
    pub stage: Option<ServerStage>,
    /// It carries out an order.
    pub busy: bool,
    /// Orders that this life of it has taken.
    pub orders_taken: u64,
}

/// What becomes of a planned change once the engine has told its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderStep {
    /// It is ordered, if it still has taken just this many orders.
    Order {
        /// The number to expect.
        orders_taken: u64,
    },
    /// It changes already, or has changed.
    UnderWay,
    /// It has started again since the plan was made, which says nothing of its new life.
    Restarted,
}

/// Decides whether the change of `planned` to the stage `to` is ordered.
///
/// An engine that does not say when its life began, in its entry or in its report, is taken for the planned
/// one: the id is all that there is to tell lives apart.
pub fn order_step(planned: &ServerEntry, to: ServerStage, state: &EngineState) -> OrderStep {
    let lives = planned.started_at.zip(state.started_at);
    if lives.is_some_and(|(planned, reported)| planned != reported) {
        return OrderStep::Restarted;
    }
    if state.busy || state.stage == Some(to) {
        return OrderStep::UnderWay;
    }
    OrderStep::Order { orders_taken: state.orders_taken }
}
