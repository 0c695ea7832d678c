//! Stand-ins that implement the protocol of the users' platform inside a test process.
//!
//! Each stand-in can inject the faults that were observed on the users' bench; none models costs.

mod duplicate_link;
mod engine_answers;
mod engine_events;
mod engine_fault;
mod engine_orders;
mod engine_software;
mod event_feed;
mod incarnation_switch;
mod object_body;
mod repeat_sum;
mod site_arrivals;
mod site_caller;
mod site_config;
mod site_domains;
mod site_engine;
mod site_http;
mod site_restart;
mod site_run;
mod site_service;
mod site_store;
mod stall_gate;
mod store_objects;
mod test_site;
mod volatile_state;

pub(in crate::bench) use duplicate_link::message_end;
pub use duplicate_link::{DuplicateLink, DuplicatePlan};
pub use engine_fault::EngineFault;
pub use engine_software::EngineSoftware;
pub(in crate::bench) use incarnation_switch::IncarnationSwitch;
pub use incarnation_switch::RestartAddress;
pub use repeat_sum::{RepeatExcess, RepeatSum, RequestArrival};
pub use site_arrivals::{LimitAnnouncement, LimitExcess, SiteArrivals};
pub use site_caller::{CallerReply, SiteCall, SiteConnection, call_site};
pub use site_config::{config, keyed_config, larger_config, plain_route};
pub use site_engine::SiteEngine;
pub(in crate::bench) use site_http::rebind_listener;
pub use site_run::{CallerRecord, SiteRun};
pub use site_service::{ServiceFault, SiteService};
pub use site_store::{SiteStore, StoreFault};
pub use stall_gate::StallGate;
pub use store_objects::StoreObjects;
pub use test_site::{SitePlan, SiteServer, TestSite};
pub use volatile_state::AcceptedOrder;
