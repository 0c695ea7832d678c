//! Intents: what operators state, the plan it implies, and the confirmed configuration.
//!
//! Inputs are an intent and the configuration it was planned from; orders are a plan, or findings
//! with their place, or the next configuration to write conditionally.

mod active_config;
mod change_note;
mod cluster_config;
mod intent_spec;
mod plan_draft;
mod planner;
mod server_role;
mod specs;

pub use active_config::ActiveConfig;
pub use change_note::ChangeNote;
pub use cluster_config::ClusterConfig;
pub use intent_spec::{IntentSpec, RoleChange};
pub use plan_draft::{PlanDraft, PlanStep, StepAction};
pub use planner::{PlanRefusal, apply_plan, draft_plan};
pub use server_role::ServerRole;
pub use specs::{ClassSpec, ModelSpec, OrgSpec, ServerSpec, ServiceSpec};
