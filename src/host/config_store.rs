//! Reads, watches and writes the cluster configuration in the platform's store.

use super::host_state::{HostState, lock};
use crate::intents::ClusterConfig;
use crate::platform::{
    INTENT_OBJECT, ListAge, MAX_OBJECT_BYTES, StoreEvent, StoreObject, UnreadableObject,
    WatchAnswer, WatchLimits, WriteOutcome,
};
use crate::{Error, Result};
use std::sync::Arc;
use std::time::Duration;

/// A healthy store answers within milliseconds; one that takes this long is unavailable.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time that a watch may take beyond the wait it asks for.
const WATCH_SLACK: Duration = Duration::from_millis(1500);

impl HostState {
    /// Reads the configuration from the store and adopts it if it is newer.
    ///
    /// # Errors
    /// If the store gave no valid answer.
    pub(super) async fn read_config(self: &Arc<Self>) -> Result<ClusterConfig> {
        self.list_config().await.map(|(config, _revision)| config)
    }

    /// Like [`Self::read_config`], but also returns the store's revision, from which to watch.
    ///
    /// # Errors
    /// If the store gave no valid answer.
    pub(super) async fn list_config(self: &Arc<Self>) -> Result<(ClusterConfig, u64)> {
        let (kind, name) = INTENT_OBJECT;
        self.metrics().add("store_calls", 1);
        let listed = self.store.list(kind, ListAge::Newest, CALL_TIMEOUT).await?;
        if let Some(object) = listed.unreadable.iter().find(|object| is_named(object, name)) {
            return Err(Error::Protocol(object.cause.clone()));
        }
        let object = listed.items.iter().find(|object| object.name == name);
        let config = object.map(parse_config).transpose()?.unwrap_or_default();
        lock(&self.order_planner).record_store_contact(self.now());
        self.adopt_config(config.clone());
        Ok((config, listed.revision))
    }

    /// Waits up to `wait` for a configuration written after revision `after` and adopts it; returns
    /// the revision from which to continue the watch.
    ///
    /// # Errors
    /// If the store gave no valid answer.
    pub(super) async fn watch_config(self: &Arc<Self>, after: u64, wait: Duration) -> Result<u64> {
        let (kind, name) = INTENT_OBJECT;
        let limits = WatchLimits { wait, slack: WATCH_SLACK, max_bytes: MAX_OBJECT_BYTES };
        self.metrics().add("store_calls", 1);
        let answer = self.store.watch(kind, after, limits).await?;
        let WatchAnswer::Changes(changes, revision) = answer else {
            return self.list_config().await.map(|(_config, revision)| revision);
        };
        lock(&self.order_planner).record_store_contact(self.now());
        for event in changes.iter().rev() {
            match event {
                StoreEvent::Changed(object) if object.name == name => {
                    self.adopt_config(parse_config(object)?);
                    break;
                }
                StoreEvent::Unreadable(object) if is_named(object, name) => {
                    return Err(Error::Protocol(object.cause.clone()));
                }
                StoreEvent::Changed(_) | StoreEvent::Removed(_) | StoreEvent::Unreadable(_) => {}
            }
        }
        Ok(revision)
    }

    /// Replaces the configuration `current` by `next`, if `current` is still the stored version.
    pub(super) async fn write_config(
        &self,
        current: &ClusterConfig,
        next: &ClusterConfig,
    ) -> WriteOutcome {
        let (kind, name) = INTENT_OBJECT;
        self.metrics().add("store_calls", 1);
        let spec = match serde_json::to_value(next) {
            Ok(spec) => spec,
            Err(error) => {
                log::error!("event=config_unwritable cause=\"{error}\"");
                return WriteOutcome::Refused;
            }
        };
        let expected = (current.version > 0).then_some(current.version);
        self.store.write(kind, name, expected, &spec, CALL_TIMEOUT).await
    }
}

fn is_named(object: &UnreadableObject, name: &str) -> bool {
    object.name.as_deref() == Some(name)
}

/// Parses the configuration from its object; its version is the object's revision.
fn parse_config(object: &StoreObject) -> Result<ClusterConfig> {
    let mut config: ClusterConfig = serde_json::from_value(object.spec.clone())?;
    config.version = object.revision;
    Ok(config)
}
