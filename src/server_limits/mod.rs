//! Server limits keep what backend servers in need take from all hosts together.
//!
//! A server names its limit in its answers. [`LimitTable`] holds what is known of each server's limit, by its
//! own answers and by what other hosts told. While it stands, one host owns the server: one of its failure
//! domain, so that who reaches the server reaches its owner, and who does not sends nothing. Each request is
//! asked for at the owner before it is sent ([`PermitRequest`]), and the owner's [`SendLedger`] grants from a bucket
//! that fills at the limit. Every question tells what its host sent in the last seconds, so that an owner knows
//! what was sent before the limit was named, or before it was the owner. A server that has just started bears little
//! for some seconds ([`ColdServers`]), which is kept to in the same way. [`SendControl`] joins these for a host.

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
