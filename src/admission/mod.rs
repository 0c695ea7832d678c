//! Admission decides who gets decode memory while it is short over the whole pool.
//!
//! It answers a load of 71 hosts before 39 decode servers that hold about 6 runs each: 4.45 urgent and 63.2 less urgent
//! requests a second, with bursts of two to three times as many for 5 s. A host sees about one request a second, so it
//! decides by figures that all hosts share.
//!
//! Inputs are the searches and runs of this host, the figures of other hosts, and the present time; outputs are the
//! servers that a request may search, or its refusal.

mod admission_control;
mod admission_decision;
mod admission_request;
mod fair_share;
mod org_pressure;
mod own_demand;
mod pressure_level;
mod pressure_table;
mod pressure_update;
mod rank_pressure;
mod received_pressure;
mod reserved_part;
mod search_outcome;
mod service_pressure;
mod service_state;

pub use admission_control::{AdmissionControl, MemoryUse};
pub use admission_decision::{AdmissionDecision, AdmissionRefusal, SearchParts};
pub use admission_request::{AdmissionRequest, DecodePool};
pub use fair_share::{WeightedDemand, fair_share};
pub use org_pressure::OrgPressure;
pub use pressure_level::PressureLevel;
pub use pressure_update::{PressureScope, PressureUpdate};
pub use rank_pressure::RankPressure;
pub use reserved_part::{reserve_order, reserve_tokens};
pub use search_outcome::SearchOutcome;
pub use service_pressure::ServicePressure;
pub use service_state::MIN_SEND_PERIOD;
