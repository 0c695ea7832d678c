//! Claims ensure that a request that must not be repeated runs at most once, across hosts and
//! domains.
//!
//! Either the idempotency key is claimed by a conditional write of its bucket in the platform's
//! store before the request runs, or a ticket binds the request to one incarnation, which needs no
//! store. Inputs are keys and the answers of the store, which may be lost; outputs are store calls,
//! grants and refusals.

mod claim_bucket;
mod claim_record;
mod outcome_table;
mod ticket_registry;

pub use claim_bucket::{BucketCall, BucketValue, ClaimBucket, ClaimRequest, ClaimVerdict};
pub use claim_record::{CLAIM_BUCKETS, ClaimKey, ClaimRecord};
pub use outcome_table::{KeyStatus, OutcomeTable, StoredAnswer};
pub use ticket_registry::{TicketId, TicketRegistry, TicketVerdict};
