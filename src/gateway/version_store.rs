//! Keeps the software versions of services with several of them in the store, for hosts that start after all hosts that
//! knew of a version are gone. Services with a single version have no entry, so usually nothing is written or read.

use super::gateway_host::GatewayHost;
use crate::platform::{VERSIONS_OBJECT, WriteOutcome, decode_versions, encode_versions};
use crate::stream_origins::SavedVersion;
use crate::{Error, Result};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// How often a host checks whether there is something to write.
const CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Delay between the watchers of successive failure domains before they write: one write is enough.
const WRITE_STAGGER: Duration = Duration::from_millis(500);
/// Shortest time between two writes, since the last server of a version may come and go.
const SAVE_PAUSE: Duration = Duration::from_secs(1);
/// Timeout of a store call; a slow store answers within 0.3 s.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause after the store did not answer or refused a call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Writes the versions when they differ from those that the store keeps, as far as this host knows.
pub(super) async fn run_version_store(host: Arc<GatewayHost>) {
    let mut saved: Option<Vec<SavedVersion>> = None;
    loop {
        tokio::time::sleep(CHECK_PERIOD).await;
        let is_due = match &saved {
            Some(saved) => host.versions_to_save() != *saved,
            // The store may keep versions that a former watcher saved and that no longer count.
            None => !host.versions_to_save().is_empty() || host.is_version_history_settled(),
        };
        if !is_due || !host.is_domain_watcher() {
            continue;
        }
        tokio::time::sleep(WRITE_STAGGER * host.write_position()).await;
        match host.save_versions().await {
            Ok(written) => {
                saved = Some(written);
                tokio::time::sleep(SAVE_PAUSE).await;
            }
            Err(error) => {
                log::info!("event=versions_not_saved cause=\"{error}\"");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Learns the versions of the time before this host started, if the store answers. Calls that need them at the same time
/// wait for one read, and after a failure there is none for a while: when all hosts start at once, the store's rate limit
/// is left to their listings.
pub(super) async fn read_past_versions(host: &GatewayHost) {
    if host.state().fleet.revision() == 0 {
        return;
    }
    let mut failed_at = host.past_versions_failed_at.lock().await;
    let is_pausing = failed_at.is_some_and(|at| host.now().since(at) < RETRY_PAUSE);
    if is_pausing || host.is_version_history_settled() {
        return;
    }
    let (kind, name) = VERSIONS_OBJECT;
    let read = host.store.read(kind, name, CALL_TIMEOUT).await;
    let decoded = read.and_then(|object| {
        object.map_or(Ok(Vec::new()), |object| decode_versions(&object.spec, SystemTime::now()))
    });
    match decoded {
        Ok(versions) => {
            let now = host.now();
            log::info!("event=past_versions_read count={}", versions.len());
            host.state().version_history.apply_saved(now, &versions);
        }
        Err(error) => {
            log::info!("event=past_versions_not_read cause=\"{error}\"");
            *failed_at = Some(host.now());
        }
    }
}

impl GatewayHost {
    fn versions_to_save(&self) -> Vec<SavedVersion> {
        let now = self.now();
        let versions = self.state().version_history.to_save(now);
        versions.into_iter().map(|(version, _)| version).collect()
    }

    /// Writes the versions unless the store keeps the same ones already. Returns what it keeps then. What the store keeps of
    /// versions that this host has not seen, because it was cut off or has just started, is learned first and kept.
    async fn save_versions(&self) -> Result<Vec<SavedVersion>> {
        let (kind, name) = VERSIONS_OBJECT;
        let stored = self.store.read(kind, name, CALL_TIMEOUT).await?;
        let revision = stored.as_ref().map(|object| object.revision);
        let known = stored.and_then(|object| decode_versions(&object.spec, SystemTime::now()).ok());
        let known = known.unwrap_or_default();
        let now = self.now();
        let versions = {
            let mut state = self.state();
            state.version_history.apply_saved(now, &known);
            state.version_history.to_save(now)
        };
        let known: Vec<SavedVersion> = known.into_iter().map(|(version, _)| version).collect();
        let wanted: Vec<SavedVersion> = versions.iter().map(|(version, _)| *version).collect();
        if known == wanted {
            return Ok(wanted);
        }
        let spec = encode_versions(&versions, SystemTime::now());
        match self.store.write(kind, name, revision, &spec, CALL_TIMEOUT).await {
            WriteOutcome::Written(object) => {
                log::info!(
                    "event=versions_saved count={} revision={}",
                    wanted.len(),
                    object.revision
                );
                Ok(wanted)
            }
            // The next check reads what another host wrote, or whether this write took effect.
            WriteOutcome::Conflict | WriteOutcome::Refused | WriteOutcome::Unknown => {
                Err(Error::Refused("the store did not confirm the write".to_owned()))
            }
        }
    }
}
