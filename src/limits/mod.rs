//! Limits keeps what each organisation uses within its limit, over all hosts together.
//!
//! A limit is divided evenly over the failure domains. In each of them one host owns an organisation's
//! part: it keeps a bucket that fills at the part's rate, and grants from it what the hosts of the domain
//! ask for with each request. Nothing else makes units, so the limit holds whatever is cut off, and a
//! domain that is alone has its part. An owner that runs short borrows from the owners of the other
//! domains: a lender takes units out of its bucket before it hands them over, so a lost loan only loses
//! units. A host that reaches no owner has a host's part of its domain's part.

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
