//! Bounds what a host holds of bodies: of each one and of all of them together.
//!
//! A server may send bytes without end, and many callers may send large bodies at once. A host of the platform has
//! 110 MB of memory in all.

mod body_buffer;
mod byte_budget;

pub use body_buffer::BodyBuffer;
pub use byte_budget::{ByteBudget, ByteShare};
