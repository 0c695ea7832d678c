//! Keeps the software versions of services, and where routes lead, in the store, for hosts that start after all hosts that
//! knew of a version are gone. It is written when a version or a route changes, and read when a stream is taken up that
//! no host knows.

use super::gateway_host::GatewayHost;
use crate::platform::{
    VERSIONS_OBJECT, VersionRecord, WriteOutcome, decode_versions, encode_versions,
};
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
    let mut saved: Option<RecordKeys> = None;
    loop {
        tokio::time::sleep(CHECK_PERIOD).await;
        // Without servers or routes there is nothing to tell yet.
        let has_view = host.state().fleet.revision() > 0 && host.routes().version() > 0;
        let is_due = has_view && saved.as_ref() != Some(&RecordKeys::of(&host.version_record()));
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
        object.map(|object| decode_versions(&object.spec, SystemTime::now())).transpose()
    });
    match decoded {
        Ok(record) => {
            let count = record.as_ref().map_or(-1, |record| record.versions.len() as i64);
            log::info!("event=past_versions_read count={count}");
            host.apply_version_record(record.as_ref());
            if !host.is_version_history_settled() {
                *failed_at = Some(host.now());
            }
        }
        Err(error) => {
            log::info!("event=past_versions_not_read cause=\"{error}\"");
            *failed_at = Some(host.now());
        }
    }
}

/// What of a record is compared: all but the times, which pass.
#[derive(Debug, PartialEq, Eq)]
struct RecordKeys {
    versions: Vec<SavedVersion>,
    targets: Option<u64>,
}

impl RecordKeys {
    fn of(record: &VersionRecord) -> Self {
        Self {
            versions: record.versions.iter().map(|(version, _)| *version).collect(),
            targets: record.targets.map(|(digest, _)| digest),
        }
    }
}

impl GatewayHost {
    /// What this host knows of versions and routes, as the store is to keep it.
    fn version_record(&self) -> VersionRecord {
        let now = self.now();
        let state = self.state();
        let targets = &state.target_history;
        VersionRecord {
            versions: state.version_history.to_save(now),
            known_for: state.version_history.known_for(now),
            targets: Some((targets.digest(), targets.age(now))),
        }
    }

    /// Applies what the store keeps; `None` if it keeps nothing, which proves nothing unless the system starts for the
    /// first time.
    fn apply_version_record(&self, record: Option<&VersionRecord>) {
        let now = self.now();
        let mut state = self.state();
        let Some(record) = record else {
            if self.settings.bootstrap {
                state.version_history.begin();
                state.target_history.begin();
            }
            return;
        };
        state.version_history.apply_saved(now, &record.versions, record.known_for);
        if let Some((digest, age)) = record.targets {
            state.target_history.apply_saved(now, digest, age);
        }
    }

    /// Writes the record unless the store keeps the same one already. Returns what it keeps then. What the store keeps of
    /// versions that this host has not seen, because it was cut off or has just started, is learned first and kept; what
    /// cannot be read stays until this host knows all versions itself.
    async fn save_versions(&self) -> Result<RecordKeys> {
        let (kind, name) = VERSIONS_OBJECT;
        let stored = self.store.read(kind, name, CALL_TIMEOUT).await?;
        let revision = stored.as_ref().map(|object| object.revision);
        let decoded =
            stored.map(|object| decode_versions(&object.spec, SystemTime::now())).transpose();
        let known = match decoded {
            Ok(known) => known,
            Err(_) if self.is_version_history_settled() => None,
            Err(error) => return Err(error),
        };
        self.apply_version_record(known.as_ref());
        let record = self.version_record();
        let wanted = RecordKeys::of(&record);
        if known.is_some_and(|known| {
            known.known_for > Duration::ZERO && RecordKeys::of(&known) == wanted
        }) {
            return Ok(wanted);
        }
        let spec = encode_versions(&record, SystemTime::now());
        match self.store.write(kind, name, revision, &spec, CALL_TIMEOUT).await {
            WriteOutcome::Written(object) => {
                log::info!(
                    "event=versions_saved count={} revision={}",
                    wanted.versions.len(),
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
