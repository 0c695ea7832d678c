use crate::keys::{IncarnationId, NameKey, OrgKey, TimePoint};
use crate::membership::{MemberRecord, MemberUpdate};
use crate::placement::{rendezvous_owner, rendezvous_rank};
use std::collections::HashMap;
use std::time::Duration;

/// An owner that did not answer is not asked again for this long. Nobody takes its place meanwhile: a second
/// owner that only some hosts believe in would hand out the same part again. The members take about 2.5 s
/// to agree that a host is gone.
const SILENCE_LIFE: Duration = Duration::from_millis(500);

/// Who owns an organisation's part in a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerChoice {
    /// This host does.
    Own,
    /// Another host does.
    Other(MemberUpdate),
    /// Nobody that answers.
    Unknown,
}

/// Owners that did not answer this host lately.
#[derive(Debug, Clone, Default)]
pub struct SilentOwners {
    until: HashMap<IncarnationId, TimePoint>,
}

impl SilentOwners {
    /// An owner did not answer.
    pub fn record(&mut self, now: TimePoint, owner: IncarnationId) {
        self.until.insert(owner, now + SILENCE_LIFE);
    }

    /// Whether an owner is passed over.
    pub fn contains(&self, now: TimePoint, owner: IncarnationId) -> bool {
        self.until.get(&owner).is_some_and(|until| now < *until)
    }

    /// Forgets those that may be asked again.
    pub fn expire(&mut self, now: TimePoint) {
        self.until.retain(|_, until| now < *until);
    }
}

/// Whether a host has been the owner of a thing ever since a moment: of the `others` in the failure domain nobody who goes
/// before it is there, or was there at any time after `since`.
pub fn has_owned<'a>(
    thing: NameKey,
    own: IncarnationId,
    others: impl Iterator<Item = &'a MemberRecord>,
    since: TimePoint,
) -> bool {
    let rank = |host: IncarnationId| (rendezvous_rank(thing.0, host.0), host);
    let mut before = others.filter(|record| rank(record.update.incarnation) > rank(own));
    before.all(|record| !record.update.state.is_living() && record.since <= since)
}

/// Chooses the owner of an organisation's part among the living `hosts` of a failure domain; the same on
/// all hosts that know the same ones. One that has not met any other host yet (`is_alone`) does not take
/// itself for the only one: of hosts that start together, each would hand out its domain's whole part.
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
