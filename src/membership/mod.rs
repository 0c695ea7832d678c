//! Gossip membership: detects which hosts are alive by small probes that carry updates of other hosts.
//!
//! Inputs are ticks and datagrams; outputs are actions, such as datagrams to send. Only hosts of the same failure
//! domain declare a host dead, so no host is declared dead because of a network partition between domains.

mod member_record;
mod member_state;
mod member_table;
mod member_update;
mod probe_message;
mod probe_round;
mod table_action;
mod table_merge;
mod table_spread;
mod view_mark;

pub use member_record::MemberRecord;
pub use member_state::MemberState;
pub use member_table::MemberTable;
pub use member_update::MemberUpdate;
pub use probe_message::{ProbeKind, ProbeMessage};
pub use table_action::TableAction;
pub use view_mark::ViewMark;
