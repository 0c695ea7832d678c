//! Keeps a copy of the recorded crashes in the store: for hosts that are partitioned from the others, and for
//! hosts that start after every host that knew of them is gone.
//!
//! The watcher of each failure domain reads and writes the copy; the other hosts learn of its crashes by gossip.

use super::gateway_host::GatewayHost;
use crate::membership::MemberUpdate;
use crate::platform::{
    CRASHES_OBJECT, CrashCopy, ListAge, MAX_OBJECT_BYTES, StoreEvent, StoreObject, WatchAnswer,
    WatchLimits, WriteOutcome, decode_crashes, encode_crashes,
};
use crate::{Error, Result};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// Hosts that start at the same time have discovered each other after this delay, so that only one in each failure
/// domain reads.
const START_DELAY: Duration = Duration::from_millis(500);
/// How often a host checks whether there is something to write.
const WRITE_PERIOD: Duration = Duration::from_millis(100);
/// How often a host that is not the watcher checks whether it has become the watcher: each check is an election among
/// a hundred hosts.
const ROLE_PERIOD: Duration = Duration::from_millis(500);
/// Limits of one watch, which ends at the first change. Each watch is one call of the store; with this wait, they are a
/// tenth of the calls for servers and configuration.
const WATCH_LIMITS: WatchLimits = WatchLimits {
    wait: Duration::from_millis(10_000),
    slack: Duration::from_millis(400),
    // Each version is complete: an answer longer than the longest object holds several versions, and reading the
    // object returns only the last one.
    max_bytes: MAX_OBJECT_BYTES,
};
/// Timeout of a store call; a slow store answers within 0.3 s.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of the read beside the first listing: as long as a slow store takes to answer. A host that is ready serves, also
/// where the answer is lost.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after the store did not answer or refused a call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Delay between the watchers of successive failure domains before they write a crash that all of them received: one
/// write is enough, and the others see it in their watch.
const WRITE_STAGGER: Duration = Duration::from_millis(400);

/// Watches the store's copy, and writes the crashes that it lacks.
pub(super) async fn run_crash_store(host: Arc<GatewayHost>) {
    tokio::time::sleep(START_DELAY).await;
    tokio::join!(follow_copy(&host), save_copy(&host));
}

async fn follow_copy(host: &GatewayHost) {
    let mut watched = None;
    loop {
        // A host without a list of servers makes no other store calls, so that the store's rate limit is left to the
        // listings.
        if host.state().fleet.revision() == 0 || !host.is_domain_watcher() {
            watched = None;
            tokio::time::sleep(ROLE_PERIOD).await;
            continue;
        }
        match host.follow_step(watched).await {
            Ok(next) => watched = next,
            Err(error) => {
                log::info!("event=crashes_not_read cause=\"{error}\"");
                watched = None;
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn save_copy(host: &GatewayHost) {
    let mut unsaved_for = Duration::ZERO;
    loop {
        tokio::time::sleep(WRITE_PERIOD).await;
        // The election takes place only if there is something to write.
        let is_unsaved = {
            let state = host.state();
            state.crashes.is_unsaved() || state.part_crashes.is_unsaved()
        };
        let is_due = is_unsaved && host.is_domain_watcher();
        unsaved_for = if is_due { unsaved_for + WRITE_PERIOD } else { Duration::ZERO };
        if !is_due || unsaved_for < WRITE_STAGGER * host.write_position() {
            continue;
        }
        if let Err(error) = host.save_crashes().await {
            log::info!("event=crashes_not_saved cause=\"{error}\"");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

impl GatewayHost {
    /// Whether this host watches the store on behalf of its failure domain.
    pub(super) fn is_domain_watcher(&self) -> bool {
        let now = self.now();
        self.state().watcher(now, self.domain()) == Some(self.incarnation)
    }

    /// Number of failure domains whose watchers write before this one.
    pub(super) fn write_position(&self) -> u32 {
        let now = self.now();
        let state = self.state();
        let others: BTreeSet<_> = state
            .members
            .reachable(now)
            .map(|MemberUpdate { domain, .. }| domain)
            .filter(|domain| *domain < self.domain())
            .collect();
        u32::try_from(others.len()).unwrap_or(u32::MAX)
    }

    /// Lists the copy, or waits for a change of it. Returns the revision at which the next watch starts, or `None` if
    /// the copy has to be listed again.
    async fn follow_step(&self, watched: Option<u64>) -> Result<Option<u64>> {
        let (kind, _) = CRASHES_OBJECT;
        let Some(after) = watched else {
            // The revision of the servers' last change would not do: the store may have lost its history since then.
            let listed = self.store.list(kind, ListAge::Newest, CALL_TIMEOUT).await?;
            for object in &listed.items {
                self.merge_copy(object);
            }
            return Ok(Some(listed.revision));
        };
        match self.store.watch(kind, after, WATCH_LIMITS).await? {
            WatchAnswer::HistoryLost | WatchAnswer::TooLong => Ok(None),
            WatchAnswer::Changes(changes, revision) => {
                for change in &changes {
                    if let StoreEvent::Changed(object) = change {
                        self.merge_copy(object);
                    }
                }
                Ok(Some(revision))
            }
        }
    }

    /// Reads the copy beside the first listing of the servers, so that a host which starts after all that knew of the crashes
    /// are gone knows them before it has a server to send requests to.
    pub(super) async fn read_crashes_first(&self) {
        if let Err(error) = self.read_crashes(FIRST_READ_TIMEOUT).await {
            log::info!("event=crashes_not_read cause=\"{error}\"");
        }
    }

    async fn read_crashes(&self, timeout: Duration) -> Result<()> {
        let (kind, name) = CRASHES_OBJECT;
        match self.store.read(kind, name, timeout).await? {
            Some(object) => self.merge_copy(&object),
            None => self.state().crashes_revision = None,
        }
        Ok(())
    }

    fn merge_copy(&self, object: &StoreObject) {
        if object.name != CRASHES_OBJECT.1 {
            return;
        }
        let (now, revision) = (self.now(), object.revision);
        match decode_crashes(&object.spec, SystemTime::now()) {
            Ok(CrashCopy { crashes: saved, part_crashes }) => {
                let mut state = self.state();
                let before = state.crashes.len();
                let lacks = state.crashes.merge_saved(now, &saved)
                    | state.part_crashes.merge_saved(now, &part_crashes);
                let known = state.crashes.len();
                state.crashes_revision = state.crashes_revision.max(Some(revision));
                drop(state);
                if known != before {
                    log::info!(
                        "event=crashes_read saved={} known={known} lacks={lacks} \
                         revision={revision}",
                        saved.len()
                    );
                }
            }
            Err(error) => {
                // Only these daemons write this kind; the next write replaces the object.
                log::warn!("event=crashes_unreadable revision={revision} cause=\"{error}\"");
                let mut state = self.state();
                state.crashes_revision = state.crashes_revision.max(Some(revision));
            }
        }
    }

    async fn save_crashes(&self) -> Result<()> {
        let (kind, name) = CRASHES_OBJECT;
        let (expected, copy) = {
            let now = self.now();
            let state = self.state();
            let crashes = state.crashes.full_report(now).crashes;
            let part_crashes = state.part_crashes.full_report(now).crashes;
            (state.crashes_revision, CrashCopy { crashes, part_crashes })
        };
        let spec = encode_crashes(&copy, SystemTime::now());
        match self.store.write(kind, name, expected, &spec, CALL_TIMEOUT).await {
            WriteOutcome::Written(object) => {
                let mut state = self.state();
                state.crashes_revision = state.crashes_revision.max(Some(object.revision));
                state.crashes.record_saved(&copy.crashes);
                state.part_crashes.record_saved(&copy.part_crashes);
                drop(state);
                log::info!(
                    "event=crashes_saved count={} with_parts={} revision={}",
                    copy.crashes.len(),
                    copy.part_crashes.len(),
                    object.revision
                );
                Ok(())
            }
            // Another host wrote first: its crashes are merged, and the next check writes those that it lacked.
            WriteOutcome::Conflict => self.read_crashes(CALL_TIMEOUT).await,
            WriteOutcome::Refused => Err(Error::Refused("the store refused the write".to_owned())),
            // The write may have succeeded; reading the copy shows whether it did.
            WriteOutcome::Unknown => self.read_crashes(CALL_TIMEOUT).await,
        }
    }
}
