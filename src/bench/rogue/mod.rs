//! Clients that do not behave: they send without end, slowly or in part, or do not read, many at a time.

mod client_script;
mod rogue_crowd;
mod rogue_kind;

pub use client_script::{ClientScript, ReadingPace};
pub use rogue_crowd::{RogueCrowd, RogueTarget};
pub use rogue_kind::{RogueKind, WHOLE_REQUEST_PREFIX};
