//! Limits keeps the use of each organisation within its limit, summed over all hosts.
//!
//! A limit is divided evenly over the failure domains. In each domain one host owns an organisation's share: it keeps a
//! token bucket that fills at the rate of the share, and grants the units that the hosts of the domain request for each
//! call. Units have no other source, so the limit holds under any network partition, and an isolated domain still has
//! its share. An owner that runs low borrows from the owners of the other domains. A lender takes units out of its
//! bucket before it sends them, so a lost loan only loses units. A host that reaches no owner may use one host's part
//! of its domain's share.

mod limit_bucket;
mod limit_ledger;
mod limit_messages;
mod limit_meter;
mod limit_share;
mod owner_choice;
mod owner_term;

pub use limit_bucket::LimitBucket;
pub use limit_ledger::LimitLedger;
pub use limit_messages::{LimitLoan, LimitReply, LimitRequest, LoanRequest};
pub use limit_meter::LimitMeter;
pub use limit_share::{LimitBounds, LimitShare};
pub use owner_choice::{OwnerChoice, SilentOwners, choose_owner, has_owned};
pub use owner_term::OwnerTerm;
