use crate::keys::{IncarnationId, NameKey, OrgKey, TimePoint};
use crate::membership::{MemberRecord, MemberUpdate};
use crate::placement::{rendezvous_owner, rendezvous_rank};
use std::collections::HashMap;
use std::time::Duration;

/// How long an owner that did not answer gets no further requests. No other host replaces it during that time, because
/// a second owner that only some hosts recognize would grant the same share again. The members take about 2.5 s to
/// agree that a host is dead.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// The owner of an organisation's share in a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerChoice {
    /// This host.
    Own,
    /// Another host.
    Other(MemberUpdate),
    /// No host that answers.
    Unknown,
}

/// Owners that recently did not answer this host.
#[derive(Debug, Clone, Default)]
pub struct SilentOwners {
    until: HashMap<IncarnationId, TimePoint>,
}

impl SilentOwners {
    /// Records that an owner did not answer.
    pub fn record(&mut self, now: TimePoint, owner: IncarnationId) {
        self.until.insert(owner, now + SILENCE_TIMEOUT);
    }

    /// Whether requests to an owner are suppressed.
    pub fn contains(&self, now: TimePoint, owner: IncarnationId) -> bool {
        self.until.get(&owner).is_some_and(|until| now < *until)
    }

    /// Drops owners to which requests may be sent again.
    pub fn expire(&mut self, now: TimePoint) {
        self.until.retain(|_, until| now < *until);
    }
}

/// Whether a host has owned `key` ever since `since`: none of the `others` in the failure domain that precede it in
/// rendezvous order is alive, or was alive at any time after `since`.
pub fn has_owned<'a>(
    key: NameKey,
    own: IncarnationId,
    others: impl Iterator<Item = &'a MemberRecord>,
    since: TimePoint,
) -> bool {
    let rank = |host: IncarnationId| (rendezvous_rank(key.0, host.0), host);
    let mut preceding = others.filter(|record| rank(record.update.incarnation) > rank(own));
    preceding.all(|record| !record.update.state.is_living() && record.since <= since)
}

/// Chooses the owner of an organisation's share among the living `hosts` of a failure domain. All hosts that know the
/// same hosts choose the same one. A host that has not contacted any other host yet (`is_alone`) never chooses itself:
/// otherwise, of hosts that start at the same time, each would grant the whole share of its domain.
pub fn choose_owner(
    now: TimePoint,
    org: OrgKey,
    own: IncarnationId,
    is_alone: bool,
    hosts: impl Iterator<Item = MemberUpdate>,
    silent: &SilentOwners,
) -> OwnerChoice {
    let owner = rendezvous_owner(org.0, hosts.map(|host| (host.incarnation.0, host)));
    match owner {
        Some(owner) if owner.incarnation == own && is_alone => OwnerChoice::Unknown,
        Some(owner) if owner.incarnation == own => OwnerChoice::Own,
        Some(owner) if silent.contains(now, owner.incarnation) => OwnerChoice::Unknown,
        Some(owner) => OwnerChoice::Other(owner),
        None => OwnerChoice::Unknown,
    }
}
