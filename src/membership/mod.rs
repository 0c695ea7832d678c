//! Membership tells which hosts live, by small probes with changes piggybacked.
//!
//! Inputs are ticks and datagrams; orders are datagrams to send. Death is declared only by hosts of
//! the same failure domain: a cut between domains is not a death.

mod member_record;
mod member_state;
mod member_table;
mod member_update;
mod probe_message;
mod probe_round;
mod table_action;
mod table_spread;
mod view_mark;

pub use member_record::MemberRecord;
pub use member_state::MemberState;
pub use member_table::MemberTable;
pub use member_update::MemberUpdate;
pub use probe_message::{ProbeKind, ProbeMessage};
pub use table_action::TableAction;
pub use view_mark::ViewMark;
