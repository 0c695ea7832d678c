//! Server limits keeps the requests of all hosts to an overloaded backend server within the limit that the server names.
//!
//! A server names its limit in its answers. [`LimitTable`] holds the limits of all servers, learned from their answers
//! and from updates of other hosts. While a limit is in force, one host owns the server. The owner is in the failure
//! domain of the server, so that a host that reaches the server also reaches the owner, and a host that does not reach
//! the owner sends nothing. Before each request a host requests a permit from the owner ([`PermitRequest`]), and the
//! owner's [`SendLedger`] grants it from a token bucket that fills at the limit. Each permit request reports what its
//! host sent in the last seconds, so that the owner knows what was sent before the limit was named, or before it became
//! the owner. A server that has just started has a lower limit for some seconds ([`ColdServers`]), which is enforced in
//! the same way. [`SendControl`] combines all of this for one host.

mod call_rank;
mod closed_servers;
mod cold_servers;
mod limit_table;
mod limit_update;
mod send_account;
mod send_control;
mod send_history;
mod send_ledger;
mod send_log;
mod send_messages;
mod server_limit;

pub use call_rank::CallRank;
pub use closed_servers::ClosedServers;
pub use cold_servers::ColdServers;
pub use limit_table::{LimitChange, LimitTable};
pub use limit_update::LimitUpdate;
pub use send_control::SendControl;
pub use send_history::SendHistory;
pub use send_ledger::SendLedger;
pub use send_log::{LOG_RETENTION, SendLog};
pub use send_messages::{
    LimitObservation, PermitDecision, PermitPurpose, PermitReply, PermitRequest,
};
pub use server_limit::ServerLimit;
