use super::store_contact::FollowedKind;
use crate::fleet::{RoleInput, WatcherRole};
use std::time::Duration;

/// Writes down when this host begins to ask the store for a kind itself or ends doing so, and what it knew then.
#[derive(Debug)]
pub(super) struct RoleLog {
    kind: FollowedKind,
    duty: WatcherRole,
}

impl RoleLog {
    /// A host hears of a kind from others until it is told otherwise.
    pub const fn new(kind: FollowedKind) -> Self {
        Self { kind, duty: WatcherRole::Follow }
    }

    /// Takes note of what was decided from `view`.
    pub fn note(&mut self, duty: WatcherRole, view: &RoleInput) {
        if duty == self.duty {
            return;
        }
        self.duty = duty;
        log::info!(
            "event=watch_duty kind={} duty={} view_age_ms={} behind_ms={} unheard_ms={} refused_ms={}",
            self.kind.name(),
            duty.name(),
            view.view_age.as_millis(),
            millis(view.behind_for),
            millis(view.silent_for),
            millis(view.store_refused_for)
        );
    }
}

fn millis(time: Option<Duration>) -> String {
    time.map_or_else(|| "-".to_owned(), |time| time.as_millis().to_string())
}
