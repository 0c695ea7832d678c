use crate::keys::{TimePoint, VersionKey};
use crate::routes::ServiceKey;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a version counts after its last server was seen: longer than any stream lasts and callers take it up.
pub const VERSION_RETENTION: Duration = Duration::from_secs(60);

/// The software versions that serve or served recently, by service.
#[derive(Debug, Clone, Default)]
pub struct VersionHistory {
    versions: BTreeMap<(ServiceKey, VersionKey), VersionSighting>,
    /// Whether the versions of the time before this process started are known too.
    knows_past: bool,
}

#[derive(Debug, Clone, Copy)]
struct VersionSighting {
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
            self.versions.insert(key, VersionSighting { until, is_present: true });
        }
        self.versions.retain(|_, sighting| now < sighting.until);
    }

    /// Applies what the store keeps of the time before this process started. A version whose last server may have gone
    /// since then counts from now.
    pub fn apply_saved(&mut self, now: TimePoint, saved: &[(SavedVersion, Duration)]) {
        for (saved, age) in saved {
            let until = now + VERSION_RETENTION.saturating_sub(*age);
            let key = (saved.service, saved.version);
            let fresh = VersionSighting { until, is_present: false };
            let sighting = self.versions.entry(key).or_insert(fresh);
            sighting.until = sighting.until.max(until);
        }
        self.knows_past = true;
    }

    /// Whether no version can have served within the retention without this host knowing of it.
    pub fn is_settled(&self, now: TimePoint) -> bool {
        self.knows_past || now.since(TimePoint::default()) >= VERSION_RETENTION
    }

    /// The versions of a service within the retention.
    pub fn recent(&self, now: TimePoint, service: ServiceKey) -> Vec<VersionKey> {
        let range = (service, VersionKey::default())..;
        let of_service = self.versions.range(range).take_while(|((of, _), _)| *of == service);
        let recent = of_service.filter(|(_, sighting)| now < sighting.until);
        recent.map(|((_, version), _)| *version).collect()
    }

    /// What the store is to keep: the versions of services that have several, each with the time since its last server
    /// was gone.
    pub fn to_save(&self, now: TimePoint) -> Vec<(SavedVersion, Duration)> {
        let mut saved = Vec::new();
        for ((service, version), sighting) in &self.versions {
            if now < sighting.until && self.recent(now, *service).len() > 1 {
                let is_present = sighting.is_present;
                let gone_for = VERSION_RETENTION.saturating_sub(sighting.until.since(now));
                let version = SavedVersion { service: *service, version: *version, is_present };
                saved.push((version, gone_for));
            }
        }
        saved
    }
}
