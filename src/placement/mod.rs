//! Placement decides where a request runs: pure machines, with the present time passed in.
//!
//! Inputs are quotes, holds, starts, releases and load reports; orders are grants, refusals and
//! cancellations. No machine here knows a socket or a clock.

mod domain_gates;
mod grant_book;
mod health_gate;
mod length_model;
mod link_lane;
mod load_board;
mod pace_timer;
mod pair_choice;
mod placement_policy;
mod prefill_entry;
mod prefill_queue;
mod prefix_index;
mod prompt_reader;
mod refusal_reason;
mod rendezvous;
mod report_table;
mod retry_budget;
mod room_search;
mod server_book;
mod server_choice;
mod server_health;
mod share_ledger;
mod size_balance;
mod slot_book;
mod slot_entry;
mod waste_ledger;
mod work_meter;

pub use domain_gates::DomainGates;
pub use grant_book::GrantBook;
pub use health_gate::HealthGate;
pub use length_model::LengthModel;
pub use link_lane::LinkLane;
pub use load_board::{LoadBoard, ServerLoad};
pub use pace_timer::PaceTimer;
pub use pair_choice::{DecodeQuote, PairChoice, PrefillQuote, choose_pair};
pub use placement_policy::PlacementPolicy;
pub use prefill_entry::{PrefillAsk, PrefillEntry};
pub use prefill_queue::PrefillQueue;
pub use prefix_index::{BLOCK_TOKENS, PrefixIndex, prefix_blocks};
pub use prompt_reader::{PromptReader, choose_reader};
pub use refusal_reason::RefusalReason;
pub use rendezvous::{rendezvous_owner, rendezvous_rank};
pub use report_table::{LoadReport, ReportTable};
pub use retry_budget::RetryBudget;
pub use room_search::{RoomSearch, RoomStep};
pub use server_book::{LoadFacts, ServerBook};
pub use server_choice::{ABROAD, ChoiceKind, ChoiceView, rank_servers};
pub use server_health::{ServerHealth, ServerNote};
pub use share_ledger::ShareLedger;
pub use size_balance::SizeBalance;
pub use slot_book::SlotBook;
pub use slot_entry::{SlotClaim, SlotEntry, SlotUse};
pub use waste_ledger::{WasteCause, WasteLedger};
pub use work_meter::{RequestWork, WorkMeter, WorkSums};
