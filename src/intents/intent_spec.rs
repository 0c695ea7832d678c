use super::{ClassSpec, ModelSpec, OrgSpec, ServerRole, ServerSpec, ServiceSpec};

/// A requested change of a server's role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleChange {
    /// Name of the server.
    pub server: String,
    /// Its new role.
    pub role: ServerRole,
}

/// Changes that an operator requests; each list changes the configuration in force.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct IntentSpec {
    /// Operator who states it.
    pub operator: String,
    /// Models to add, or to serve with another version or other adapters.
    pub models: Vec<ModelSpec>,
    /// Servers to add.
    pub join: Vec<ServerSpec>,
    /// Names of the servers to drain and remove.
    pub leave: Vec<String>,
    /// Role changes of servers.
    pub role: Vec<RoleChange>,
    /// Services to add or change.
    pub services: Vec<ServiceSpec>,
    /// Caller classes to add or change.
    pub classes: Vec<ClassSpec>,
    /// Organisations to admit.
    pub organisations: Vec<OrgSpec>,
}
