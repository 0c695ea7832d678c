//! Divides the memory and descriptors of a host's machine among the things that it holds.
//!
//! docs/design/bounded-answers.md has the sum.

mod machine_limits;
mod room_bounds;
mod whole_plan;

pub use machine_limits::MachineLimits;
pub use room_bounds::RoomBounds;
pub use whole_plan::ResourcePlan;
