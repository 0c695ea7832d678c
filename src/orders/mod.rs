//! Orders tell backend servers to load models, change role or drain, under a fence.
//!
//! Inputs are the configuration in force and a server's last report; the output is the next order,
//! or the rule that forbids one.

mod change_orders;
mod order_lease;
mod order_planner;
mod order_step;
mod orphan_tracker;
mod stage_planner;

pub use change_orders::ChangeOrders;
pub use order_lease::{LeaseRecord, OrderLease};
pub use order_planner::{OrderPlanner, ServerOrder, ServerView};
pub use order_step::{EngineState, OrderStep, order_step};
pub use orphan_tracker::OrphanTracker;
pub use stage_planner::{
    PoolSizes, StagePlanner, change_batch_size, has_spare_capacity, may_issue_orders,
    wanted_prefills,
};
