use crate::keys::{TimePoint, VersionKey};
use crate::routes::ServiceKey;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a version counts after its last server was seen: longer than any stream lasts and callers take it up.
pub const VERSION_RETENTION: Duration = Duration::from_secs(60);

/// Time after which a version that a host has seen is in the store, unless the store is away: the watcher of a failure
/// domain sees it within 0.25 s and writes it within another 0.3 s, the next domain's watcher 0.5 s later.
pub const ESTABLISH_TIME: Duration = Duration::from_millis(1500);

/// The software versions that serve or served recently, by service.
#[derive(Debug, Clone, Default)]
pub struct VersionHistory {
    versions: BTreeMap<(ServiceKey, VersionKey), VersionSighting>,
    /// For how long before this process started the versions are known too.
    known_before_start: Duration,
}

#[derive(Debug, Clone, Copy)]
struct VersionSighting {
    /// When the version was first seen.
    seen_at: TimePoint,
    /// Time until which the version counts.
    until: TimePoint,
    /// Whether a server had it at the last look.
    is_present: bool,
}

/// A version of a service, as the store keeps it for hosts that start later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SavedVersion {
    /// The service.
    pub service: ServiceKey,
    /// The version.
    pub version: VersionKey,
    /// Whether a server had it when it was saved.
    pub is_present: bool,
}

impl VersionHistory {
    /// Records the versions that all servers have at `now`.
    pub fn record_present(
        &mut self,
        now: TimePoint,
        present: impl Iterator<Item = (ServiceKey, VersionKey)>,
    ) {
        for sighting in self.versions.values_mut() {
            sighting.is_present = false;
        }
        let until = now + VERSION_RETENTION;
        for key in present {
            let fresh = VersionSighting { seen_at: now, until, is_present: true };
            let sighting = self.versions.entry(key).or_insert(fresh);
            *sighting = VersionSighting { seen_at: sighting.seen_at, ..fresh };
        }
        self.versions.retain(|_, sighting| now < sighting.until);
    }

    /// Applies what the store keeps of the time before this process started: all versions of the last `known_for`. A
    /// version whose last server may have gone since then counts from now.
    pub fn apply_saved(
        &mut self,
        now: TimePoint,
        saved: &[(SavedVersion, Duration)],
        known_for: Duration,
    ) {
        for (saved, age) in saved {
            let until = now + VERSION_RETENTION.saturating_sub(*age);
            let key = (saved.service, saved.version);
            let fresh = VersionSighting { seen_at: now, until, is_present: false };
            let sighting = self.versions.entry(key).or_insert(fresh);
            sighting.until = sighting.until.max(until);
        }
        let before = known_for.saturating_sub(now.since(TimePoint::CLOCK_START));
        self.known_before_start = self.known_before_start.max(before);
    }

    /// Records that the system starts for the first time: no version served before.
    pub fn begin(&mut self) {
        self.known_before_start = VERSION_RETENTION;
    }

    /// For how long all versions are known, `VERSION_RETENTION` at most.
    pub fn known_for(&self, now: TimePoint) -> Duration {
        (now.since(TimePoint::CLOCK_START) + self.known_before_start).min(VERSION_RETENTION)
    }

    /// Whether no version can have served within the retention without this host knowing of it.
    pub fn is_settled(&self, now: TimePoint) -> bool {
        self.known_for(now) >= VERSION_RETENTION
    }

    /// Whether a version of a service was first seen so long ago that the store knows it.
    pub fn is_established(&self, now: TimePoint, key: (ServiceKey, VersionKey)) -> bool {
        let sighting = self.versions.get(&key);
        sighting.is_some_and(|sighting| now.since(sighting.seen_at) >= ESTABLISH_TIME)
    }

    /// The versions of a service within the retention.
    pub fn recent(&self, now: TimePoint, service: ServiceKey) -> Vec<VersionKey> {
        let range = (service, VersionKey::default())..;
        let of_service = self.versions.range(range).take_while(|((of, _), _)| *of == service);
        let recent = of_service.filter(|(_, sighting)| now < sighting.until);
        recent.map(|((_, version), _)| *version).collect()
    }

    /// What the store is to keep: the versions of all services, each with the time since its last server was gone.
    /// Services with a single version are among them, since it may leave for another one while no host lives.
    pub fn to_save(&self, now: TimePoint) -> Vec<(SavedVersion, Duration)> {
        let mut saved = Vec::new();
        for ((service, version), sighting) in &self.versions {
            if now < sighting.until {
                let is_present = sighting.is_present;
                let gone_for = VERSION_RETENTION.saturating_sub(sighting.until.since(now));
                let version = SavedVersion { service: *service, version: *version, is_present };
                saved.push((version, gone_for));
            }
        }
        saved
    }
}
