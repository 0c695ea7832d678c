//! Keeps the crashes of servers in the store: for hosts that are cut off from the others, and for those that start
//! when all that knew are gone.
//!
//! The watcher of a failure domain does this for it. The others hear of it as of all crashes.

use super::gateway_host::GatewayHost;
use crate::membership::MemberUpdate;
use crate::platform::{
    CRASHES_OBJECT, LONGEST_OBJECT, StoreEvent, StoreObject, StoreWrite, WatchAnswer, WatchPlan,
    decode_crashes, encode_crashes,
};
use crate::quarantine::CrashReport;
use crate::{Error, Result};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// Hosts that start together know each other after this: then one in each failure domain reads.
const START_PAUSE: Duration = Duration::from_millis(500);
/// How often a host looks whether there is something to write.
const LOOK_PERIOD: Duration = Duration::from_millis(100);
/// How often one that is not the watcher looks whether it has become that: an election among a hundred hosts each time.
const DUTY_PERIOD: Duration = Duration::from_millis(500);
/// How long one watch waits. It ends with the first change; each costs the store a call, a tenth of those that the
/// servers and the configuration cost.
const WATCH_PLAN: WatchPlan = WatchPlan {
    wait: Duration::from_millis(10_000),
    slack: Duration::from_millis(400),
    // Each version is whole: more than the longest object are several, and reading it brings the last one.
    longest: LONGEST_OBJECT,
};
/// A slow store answers within 0.3 s.
const CALL_LIMIT: Duration = Duration::from_millis(700);
/// Pause after the store did not answer, or refused.
const LOST_PAUSE: Duration = Duration::from_millis(500);
/// By how much each further failure domain's watcher waits before it writes what all of them heard: one write is
/// enough, and its watch tells the others.
const TURN_PAUSE: Duration = Duration::from_millis(400);

/// Follows the store's copy, and writes what it lacks.
pub(super) async fn run_crash_store(host: Arc<GatewayHost>) {
    tokio::time::sleep(START_PAUSE).await;
    tokio::join!(follow_copy(&host), save_copy(&host));
}

async fn follow_copy(host: &GatewayHost) {
    let mut watched = None;
    loop {
        // A host without a list of servers leaves the store's rate to the listings.
        if host.state().fleet.revision() == 0 || !host.watches_crashes() {
            watched = None;
            tokio::time::sleep(DUTY_PERIOD).await;
            continue;
        }
        match host.follow_step(watched).await {
            Ok(next) => watched = next,
            Err(error) => {
                log::info!("event=crashes_not_read cause=\"{error}\"");
                watched = None;
                tokio::time::sleep(LOST_PAUSE).await;
            }
        }
    }
}

async fn save_copy(host: &GatewayHost) {
    let mut unsaved_for = Duration::ZERO;
    loop {
        tokio::time::sleep(LOOK_PERIOD).await;
        // The election only if there is something to write.
        let is_due = host.state().crashes.is_unsaved() && host.watches_crashes();
        unsaved_for = if is_due { unsaved_for + LOOK_PERIOD } else { Duration::ZERO };
        if !is_due || unsaved_for < TURN_PAUSE * host.writing_turn() {
            continue;
        }
        if let Err(error) = host.save_crashes().await {
            log::info!("event=crashes_not_saved cause=\"{error}\"");
            tokio::time::sleep(LOST_PAUSE).await;
        }
    }
}

impl GatewayHost {
    fn watches_crashes(&self) -> bool {
        let now = self.now();
        self.state().watcher(now, self.domain()) == Some(self.incarnation)
    }

    /// Watchers of other failure domains that write before this one.
    fn writing_turn(&self) -> u32 {
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

    /// Reads the copy, or waits for a change of it; returns where the next watch goes on, or nothing if it has to be
    /// read anew.
    async fn follow_step(&self, watched: Option<u64>) -> Result<Option<u64>> {
        let (kind, _) = CRASHES_OBJECT;
        let Some(after) = watched else {
            // The store has one counter of revisions: what changes after this one is told by the watch.
            let revision = self.state().fleet.revision();
            self.read_crashes().await?;
            return Ok(Some(revision));
        };
        match self.store.watch(kind, after, WATCH_PLAN).await? {
            WatchAnswer::HistoryLost | WatchAnswer::TooLong => Ok(None),
            WatchAnswer::Changes(changes, revision) => {
                for change in &changes {
                    if let StoreEvent::Stated(object) = change {
                        self.take_copy(object);
                    }
                }
                Ok(Some(revision))
            }
        }
    }

    async fn read_crashes(&self) -> Result<()> {
        let (kind, name) = CRASHES_OBJECT;
        match self.store.read(kind, name, CALL_LIMIT).await? {
            Some(object) => self.take_copy(&object),
            None => self.state().crashes_revision = None,
        }
        Ok(())
    }

    fn take_copy(&self, object: &StoreObject) {
        if object.name != CRASHES_OBJECT.1 {
            return;
        }
        let (now, revision) = (self.now(), object.revision);
        match decode_crashes(&object.spec, SystemTime::now()) {
            Ok(saved) => {
                let mut state = self.state();
                let before = state.crashes.len();
                let lacks = state.crashes.merge_saved(now, &saved);
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
                // Nobody else writes this kind; the next write replaces it.
                log::warn!("event=crashes_unreadable revision={revision} cause=\"{error}\"");
                let mut state = self.state();
                state.crashes_revision = state.crashes_revision.max(Some(revision));
            }
        }
    }

    async fn save_crashes(&self) -> Result<()> {
        let (kind, name) = CRASHES_OBJECT;
        let (expected, report) = {
            let now = self.now();
            let state = self.state();
            (state.crashes_revision, state.crashes.full_report(now))
        };
        let CrashReport { crashes, .. } = report;
        let spec = encode_crashes(&crashes, SystemTime::now());
        match self.store.write(kind, name, expected, &spec, CALL_LIMIT).await {
            StoreWrite::Written(object) => {
                let mut state = self.state();
                state.crashes_revision = state.crashes_revision.max(Some(object.revision));
                state.crashes.record_saved(&crashes);
                drop(state);
                let (count, revision) = (crashes.len(), object.revision);
                log::info!("event=crashes_saved count={count} revision={revision}");
                Ok(())
            }
            // Another host wrote: what it knew is kept, and the next look writes what it lacked.
            StoreWrite::Conflict => self.read_crashes().await,
            StoreWrite::Refused => Err(Error::Refused("the store refused the write".to_owned())),
            // It may have been written: the copy tells.
            StoreWrite::Lost => self.read_crashes().await,
        }
    }
}
