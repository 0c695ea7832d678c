use super::store_contact::FollowedKind;
use crate::fleet::{RoleInput, WatcherRole};
use std::time::Duration;

/// Logs when this host starts or stops querying the store for a kind of object itself, and the input of that decision.
#[derive(Debug)]
pub(super) struct RoleLog {
    kind: FollowedKind,
    role: WatcherRole,
}

impl RoleLog {
    /// Starts in the role of a host that receives the kind from other hosts.
    pub const fn new(kind: FollowedKind) -> Self {
        Self { kind, role: WatcherRole::Follow }
    }

    /// Logs `role`, decided from `input`, if it differs from the role before.
    pub fn update(&mut self, role: WatcherRole, input: &RoleInput) {
        if role == self.role {
            return;
        }
        self.role = role;
        log::info!(
            "event=watch_duty kind={} duty={} view_age_ms={} behind_ms={} unheard_ms={} refused_ms={}",
            self.kind.name(),
            role.name(),
            input.view_age.as_millis(),
            millis(input.behind_for),
            millis(input.silent_for),
            millis(input.store_refused_for)
        );
    }
}

fn millis(time: Option<Duration>) -> String {
    time.map_or_else(|| "-".to_owned(), |time| time.as_millis().to_string())
}
