use super::{ORIGIN_HOLDERS, OriginUpdate, StreamKey};
use crate::keys::{IncarnationId, TimePoint, VersionKey};
use crate::membership::MemberUpdate;
use std::collections::HashMap;
use std::time::Duration;

/// Most streams that a host remembers, at about 100 bytes each. Further ones are not recorded, so that they are refused
/// if they are taken up here.
pub const MAX_ORIGINS: usize = 50_000;
/// Time after which the holders of a new stream are told of it once more, because datagrams may be lost.
const REPEAT_DELAY: Duration = Duration::from_millis(400);

/// The streams whose first version a host knows: those that it began, and those of which it was told.
#[derive(Debug, Default)]
pub struct OriginTable {
    entries: HashMap<StreamKey, OriginEntry>,
    /// Members for which the holders were last chosen.
    members_digest: u64,
}

#[derive(Debug, Clone)]
struct OriginEntry {
    /// `None` if hosts stated two versions: then none of them is known to be right.
    version: Option<VersionKey>,
    expires_at: TimePoint,
    /// The holders that this host told, or that it assumes were told.
    told: [Option<IncarnationId>; ORIGIN_HOLDERS],
    /// When the holders are told again.
    repeat_at: Option<TimePoint>,
}

impl OriginTable {
    /// Records a stream that begins or goes on at this host. Its holders are told again later.
    pub fn record_own(&mut self, now: TimePoint, update: OriginUpdate, holders: &[MemberUpdate]) {
        if let Some(entry) = self.record(now, update) {
            entry.told = first_holders(holders);
            entry.repeat_at = Some(now + REPEAT_DELAY);
        }
    }

    /// Records what another host stated.
    pub fn record_received(&mut self, now: TimePoint, update: OriginUpdate) {
        self.record(now, update);
    }

    fn record(&mut self, now: TimePoint, update: OriginUpdate) -> Option<&mut OriginEntry> {
        if self.entries.len() >= MAX_ORIGINS && !self.entries.contains_key(&update.stream) {
            self.expire(now);
            if self.entries.len() >= MAX_ORIGINS {
                return None;
            }
        }
        let expires_at = now + Duration::from_millis(update.valid_ms.into());
        let entry = self.entries.entry(update.stream).or_insert(OriginEntry {
            version: Some(update.version),
            expires_at,
            told: [None; ORIGIN_HOLDERS],
            repeat_at: None,
        });
        if entry.version != Some(update.version) {
            entry.version = None;
        }
        entry.expires_at = entry.expires_at.max(expires_at);
        Some(entry)
    }

    /// What this host knows of a stream, as it tells others.
    pub fn find(&self, now: TimePoint, stream: StreamKey) -> Option<OriginUpdate> {
        let entry = self.entries.get(&stream).filter(|entry| now < entry.expires_at)?;
        Some(OriginUpdate { stream, version: entry.version?, valid_ms: entry.valid_ms(now) })
    }

    /// The holders that are to be told now, and of what: the holders of new streams once more and, if the members
    /// changed, those that have become holders. `holders` returns the holders of a stream.
    pub fn due_updates(
        &mut self,
        now: TimePoint,
        members_digest: u64,
        holders: impl Fn(StreamKey) -> Vec<MemberUpdate>,
    ) -> Vec<(MemberUpdate, OriginUpdate)> {
        let have_members_changed = self.members_digest != members_digest;
        self.members_digest = members_digest;
        let mut due = Vec::new();
        for (stream, entry) in &mut self.entries {
            let repeats = entry.repeat_at.is_some_and(|at| at <= now);
            let Some(version) = entry.version.filter(|_| repeats || have_members_changed) else {
                continue;
            };
            let update = OriginUpdate { stream: *stream, version, valid_ms: entry.valid_ms(now) };
            let current = holders(*stream);
            let targets = current.iter().take(ORIGIN_HOLDERS);
            let targets =
                targets.filter(|holder| repeats || !entry.told.contains(&Some(holder.incarnation)));
            due.extend(targets.map(|holder| (*holder, update)));
            entry.told = first_holders(&current);
            entry.repeat_at = entry.repeat_at.filter(|_| !repeats);
        }
        due
    }

    /// Forgets streams that can no longer be taken up.
    pub fn expire(&mut self, now: TimePoint) {
        self.entries.retain(|_, entry| now < entry.expires_at);
    }

    /// Number of streams known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl OriginEntry {
    fn valid_ms(&self, now: TimePoint) -> u32 {
        u32::try_from(self.expires_at.since(now).as_millis()).unwrap_or(u32::MAX)
    }
}

fn first_holders(holders: &[MemberUpdate]) -> [Option<IncarnationId>; ORIGIN_HOLDERS] {
    std::array::from_fn(|index| holders.get(index).map(|holder| holder.incarnation))
}
