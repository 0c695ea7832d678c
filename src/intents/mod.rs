//! Operators' intents, the plans that they imply, and the confirmed configuration.
//!
//! The functions take an intent and the configuration that it applies to. They return a plan, the
//! findings with their positions, or the next configuration, which the host writes conditionally.

mod active_config;
mod change_record;
mod cluster_config;
mod intent_spec;
mod plan_draft;
mod planner;
mod server_role;
mod specs;

pub use active_config::ActiveConfig;
pub use change_record::ChangeRecord;
pub use cluster_config::ClusterConfig;
pub use intent_spec::{IntentSpec, RoleChange};
pub use plan_draft::{PlanDraft, PlanStep, StepAction};
pub use planner::{PlanRefusal, apply_plan, draft_plan};
pub use server_role::ServerRole;
pub use specs::{ClassSpec, ModelSpec, OrgSpec, ServerSpec, ServiceSpec};
