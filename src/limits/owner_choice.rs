use crate::keys::{IncarnationId, NameKey, OrgKey, TimePoint};
use crate::membership::MemberUpdate;
use crate::placement::rendezvous_owner;
use std::collections::HashMap;
use std::time::Duration;

/// A host that did not answer is passed over for this long; the members take about 2.5 s to agree that it
/// is gone.
const SILENCE_LIFE: Duration = Duration::from_millis(1500);
/// A host that knows no other one of its failure domain does not take itself for the only one before it
/// is this old: of hosts that start together each would hand out its domain's whole part.
const ALONE_AGE: Duration = Duration::from_millis(2000);

/// Who owns an organisation's part in a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerChoice {
    /// This host does.
    Own,
    /// Another host does.
    Other(MemberUpdate),
    /// Nobody that can be told.
    Unknown,
}

/// Owners that did not answer this host lately.
#[derive(Debug, Clone, Default)]
pub struct SilentOwners {
    until: HashMap<IncarnationId, TimePoint>,
}

impl SilentOwners {
    /// An owner did not answer.
    pub fn note(&mut self, now: TimePoint, owner: IncarnationId) {
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

/// Chooses the owner of an organisation's part among the living `hosts` of a failure domain; the same on
/// all hosts that know the same ones. `now` is also the age of this host, `own`.
pub fn choose_owner(
    now: TimePoint,
    org: OrgKey,
    domain: NameKey,
    own: MemberUpdate,
    hosts: impl Iterator<Item = MemberUpdate>,
    silent: &SilentOwners,
) -> OwnerChoice {
    let mut count = 0;
    let candidates = hosts
        .inspect(|_| count += 1)
        .filter(|host| !silent.contains(now, host.incarnation))
        .map(|host| (host.incarnation.0, host));
    let owner = rendezvous_owner(org.0, candidates);
    let is_young = now.since(TimePoint::default()) < ALONE_AGE;
    match owner {
        Some(owner) if owner.incarnation != own.incarnation => OwnerChoice::Other(owner),
        Some(_) if own.domain == domain && !(count <= 1 && is_young) => OwnerChoice::Own,
        _ => OwnerChoice::Unknown,
    }
}
