//! Orders tell backend servers to load models, change role or drain, under a fence.
//!
//! Inputs are the configuration in force and a server's last report; the output is the next order,
//! or the rule that forbids one.

mod change_orders;
mod order_desk;
mod order_lease;
mod order_step;
mod orphan_sweep;
mod stage_planner;

pub use change_orders::ChangeOrders;
pub use order_desk::{OrderDesk, ServerOrder, ServerView};
pub use order_lease::{LeaseRecord, OrderLease};
pub use order_step::{EngineState, OrderStep, order_step};
pub use orphan_sweep::OrphanSweep;
pub use stage_planner::{
    PoolSizes, StagePlanner, has_room, may_give_orders, servers_to_change, wanted_prefills,
};
