//! Host joins the decisions and the edges into the daemon that runs alike on every entry host.

mod attempt_guard;
mod attempt_stay;
mod books_attempt;
mod claim_desk;
mod completion_ask;
mod completion_run;
mod config_loop;
mod daemon;
mod decode_leg;
mod gossip_loop;
mod host_state;
mod once_call;
mod owned_server;
mod owner_calls;
mod owner_desk;
mod peer_desk;
mod plain_call;
mod plan_desk;
mod poll_loop;
mod reports_attempt;
mod status_report;

pub use attempt_stay::AttemptStay;
pub use claim_desk::ClaimDesk;
pub use completion_ask::{AnswerPart, CompletionAsk, FinalAnswer};
pub use completion_run::run_completion;
pub use daemon::{Daemon, start_daemon};
pub use host_state::HostState;
pub use once_call::{OnceAnswer, OnceAsk, run_once};
pub use owned_server::OwnedServer;
pub use plain_call::forward_plain;
pub use plan_desk::{ConfirmAsk, OperatorAnswer};
pub use status_report::{HostStatus, MemberStatus, ServerStatus};
