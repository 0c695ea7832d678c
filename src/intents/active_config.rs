use super::ClusterConfig;
use std::sync::Arc;

/// The configuration in force on this host; its version never decreases.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    current: Arc<ClusterConfig>,
}

impl ActiveConfig {
    /// Configuration in force; version zero means that none is confirmed yet.
    pub fn current(&self) -> Arc<ClusterConfig> {
        Arc::clone(&self.current)
    }

    /// Adopts `config` if it is newer; returns whether it was adopted.
    pub fn adopt(&mut self, config: ClusterConfig) -> bool {
        if config.version <= self.current.version {
            return false;
        }
        let before = self.current.version;
        self.current = Arc::new(config);
        let after = self.current.version;
        crate::invariant!(after > before, "config_reverted", "{after} after {before}");
        true
    }
}
