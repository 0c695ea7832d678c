use super::{ChangeRecord, ClassSpec, ModelSpec, OrgSpec, ServerSpec, ServiceSpec};
use crate::keys::ServerKey;
use serde::{Deserialize, Serialize};

/// The confirmed configuration, stored as one object in the platform's store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterConfig {
    /// Version of the stored object; zero before the first confirmation.
    pub version: u64,
    /// Models that the fleet serves.
    pub models: Vec<ModelSpec>,
    /// Backend servers.
    pub servers: Vec<ServerSpec>,
    /// Plain services.
    pub services: Vec<ServiceSpec>,
    /// Caller classes.
    pub classes: Vec<ClassSpec>,
    /// Admitted organisations.
    pub organisations: Vec<OrgSpec>,
    /// Most recent changes, newest last.
    pub history: Vec<ChangeRecord>,
}

impl ClusterConfig {
    /// Maximum number of changes in the history.
    pub const HISTORY_LIMIT: usize = 32;

    /// Finds a server by key.
    pub fn server(&self, key: ServerKey) -> Option<&ServerSpec> {
        self.servers.iter().find(|server| server.key() == key)
    }

    /// Finds a model by name.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|model| model.name == name)
    }

    /// Finds a class by name.
    pub fn class(&self, name: &str) -> Option<&ClassSpec> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Describes the changes after `version`, one line each.
    pub fn changes_since(&self, version: u64) -> Vec<String> {
        self.history
            .iter()
            .filter(|change| change.version > version)
            .map(|change| {
                format!("v{} by {}: {}", change.version, change.operator, change.steps.join("; "))
            })
            .collect()
    }
}
