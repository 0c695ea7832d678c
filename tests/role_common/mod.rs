//! Inputs of the decision how a host follows the store, shared by tests.

use std::time::Duration;
use tealcleat::fleet::RoleInput;

/// A host of a small failure domain whose view is complete and that receives updates from other hosts.
pub fn calm_input() -> RoleInput {
    RoleInput {
        without_view_for: None,
        is_alone: false,
        handover_idle: None,
        elected: false,
        store_answered_for: None,
        view_age: Duration::ZERO,
        behind_for: None,
        silent_for: None,
        config_age: None,
        store_refused_for: None,
        domain_hosts: 3,
        salt: 1234,
    }
}
