use serde::{Deserialize, Serialize};

/// Who changed the configuration, and how; an operator with a stale plan is shown these changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Version that the change created.
    pub version: u64,
    /// Identifies the write, so that a lost answer can be resolved by reading the object back.
    pub change_id: u64,
    /// Operator who made the change.
    pub operator: String,
    /// Description of each step.
    pub steps: Vec<String>,
}
