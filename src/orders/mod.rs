//! Orders instruct backend servers to load models, change their role or drain, protected by a
//! fencing token.
//!
//! Inputs are the active configuration and the last report of a server. The output is the next
//! order, or none if no order is needed or allowed.

mod change_orders;
mod leader_tenure;
mod order_lease;
mod order_planner;
mod order_step;
mod orphan_tracker;
mod stage_planner;

pub use change_orders::ChangeOrders;
pub use leader_tenure::{LeaderRole, LeaderTenure};
pub use order_lease::{LeaseHolder, LeaseRecord, OrderLease};
pub use order_planner::{OrderPlanner, ServerOrder, ServerView};
pub use order_step::{EngineState, OrderStep, order_step};
pub use orphan_tracker::OrphanTracker;
pub use stage_planner::{
    PoolSizes, StagePlanner, change_batch_size, has_spare_capacity, may_issue_orders,
    target_prefills,
};
