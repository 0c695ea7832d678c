use super::ServerRole;
use serde::{Deserialize, Serialize};

/// One concrete change to the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepAction {
    /// Serves a new model, or another version of a model.
    SetModel(String),
    /// Adds a server with its models.
    Join(String),
    /// Drains a server and removes it.
    Leave(String),
    /// Drains a server and changes its role.
    ChangeRole(String, ServerRole),
    /// Adds or changes a service.
    SetService(String),
    /// Sets the latency targets of a class.
    SetClass(String),
    /// Admits an organisation.
    AddOrganisation(String),
}

/// A step of a plan, with its cost and what blocks it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanStep {
    /// The change itself.
    pub action: StepAction,
    /// Description of the change.
    pub text: String,
    /// Seconds that its weights take to load at the weight store's full rate; zero if none are
    /// loaded.
    pub weight_store_seconds: f64,
    /// Seconds after the confirmation until it can start, since earlier weight downloads come
    /// first.
    pub starts_after_seconds: f64,
    /// Description of what must happen first, if anything.
    pub waits_for: Option<String>,
}

/// The concrete changes that an intent implies, bound to the version they were made from.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanDraft {
    /// Configuration version that it was made from.
    pub base_version: u64,
    /// Hash of the intent and the steps.
    pub digest: u64,
    /// Operator who stated the intent.
    pub operator: String,
    /// Steps, in order.
    pub steps: Vec<PlanStep>,
    /// Consequences that the operator should know of.
    pub warnings: Vec<String>,
}
