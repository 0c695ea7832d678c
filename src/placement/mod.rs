//! Placement decides where a request runs.
//!
//! Inputs are quotes, holds, starts, releases and load reports; outputs are grants, refusals and
//! cancellations. All types are state machines without I/O that receive the current time as an
//! argument.

mod circuit_breaker;
mod domain_breakers;
mod error_rate;
mod grant_history;
mod length_model;
mod link_schedule;
mod load_table;
mod memory_search;
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
mod server_choice;
mod server_health;
mod server_ledger;
mod silent_attempts;
mod slot_entry;
mod slot_table;
mod waste_ledger;
mod work_meter;

pub use circuit_breaker::CircuitBreaker;
pub use domain_breakers::DomainBreakers;
pub use error_rate::ErrorRate;
pub use grant_history::GrantHistory;
pub use length_model::LengthModel;
pub use link_schedule::LinkSchedule;
pub use load_table::{LoadTable, ServerLoad};
pub use memory_search::{MemorySearch, SearchStep, memory_wait};
pub use pace_timer::PaceTimer;
pub use pair_choice::{DecodeQuote, PairChoice, PrefillQuote, rank_pairs};
pub use placement_policy::PlacementPolicy;
pub use prefill_entry::{PrefillEntry, PrefillRequest};
pub use prefill_queue::PrefillQueue;
pub use prefix_index::{BLOCK_TOKENS, PrefixIndex, prefix_blocks};
pub use prompt_reader::{PromptReader, ReadTimes, RejectionRisk, choose_reader};
pub use refusal_reason::RefusalReason;
pub use rendezvous::{rendezvous_owner, rendezvous_rank};
pub use report_table::{LoadReport, ReportTable};
pub use retry_budget::RetryBudget;
pub use server_choice::{REMOTE_DOMAIN_PENALTY, RankingContext, RankingCriterion, rank_servers};
pub use server_health::{ServerEvent, ServerHealth};
pub use server_ledger::{ServerLedger, ServerReport};
pub use silent_attempts::SilentAttempts;
pub use slot_entry::{SlotClaim, SlotEntry, SlotUse};
pub use slot_table::SlotTable;
pub use waste_ledger::{WasteCause, WasteLedger};
pub use work_meter::{RequestWork, WorkMeter, WorkSums};
