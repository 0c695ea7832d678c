//! Owners of limits and retry pools, and the shares that they may grant.

use super::gateway_state::GatewayState;
use crate::keys::{NameKey, OrgKey, TimePoint};
use crate::limits::{LimitShare, OwnerChoice};
use crate::membership::MemberState;
use std::collections::HashSet;
use std::sync::Arc;

impl GatewayState {
    /// The owner of an organisation's limit in a failure domain.
    pub(super) fn owner(&self, now: TimePoint, org: OrgKey, domain: NameKey) -> OwnerChoice {
        let hosts = self.members.living_in(domain).map(|(_, host)| host);
        let is_alone = self.members.is_alone();
        let own = self.members.own().incarnation;
        crate::limits::choose_owner(now, org, own, is_alone, hosts, &self.silent_owners)
    }

    /// Whether this host owns a failure domain's share of a limit or retry pool, without a break since `since`.
    pub(super) fn has_owned_share(
        &self,
        now: TimePoint,
        key: NameKey,
        domain: NameKey,
        since: TimePoint,
    ) -> bool {
        let own = self.members.own().incarnation;
        let others = self.members.records().filter(|record| record.update.domain == domain);
        self.owner(now, key, domain) == OwnerChoice::Own
            && !self.members.was_declared_dead(since)
            && crate::limits::has_owned(key, own, others, since)
    }

    /// What this host may grant as an owner: its failure domain's share, scaled by the fraction of the domain's known
    /// hosts that it sees. The others may be partitioned from it, and grant the rest.
    pub(super) fn domain_share(&self, org: OrgKey, domain: NameKey) -> Option<LimitShare> {
        let (seen, known) = self.count_domain_hosts(domain);
        Some(self.whole_share(org)?.scaled(seen, known))
    }

    /// A failure domain's whole share of an organisation's limit.
    pub(super) fn whole_share(&self, org: OrgKey) -> Option<LimitShare> {
        let limit = self.routes.organisations().organisation(org)?.limit?;
        Some(LimitShare::for_domain(&limit, &self.bounds.limits))
    }

    /// Counts the hosts of a failure domain that are not dead, and all that this one ever knew of, itself included.
    pub(super) fn count_domain_hosts(&self, domain: NameKey) -> (usize, usize) {
        let (mut seen, mut known) = (HashSet::new(), HashSet::new());
        for host in self.members.all().filter(|host| host.domain == domain) {
            known.insert(host.address);
            if host.state != MemberState::Dead {
                seen.insert(host.address);
            }
        }
        (seen.len(), known.len())
    }

    /// Applies the limits of a changed configuration, which may be lower.
    pub(super) fn lower_limits(&mut self, now: TimePoint) {
        let (routes, bounds) = (Arc::clone(&self.routes), self.bounds.limits);
        self.limit_ledger.clamp_levels(now, |org| {
            let limit = routes.organisations().organisation(org)?.limit?;
            Some(LimitShare::for_domain(&limit, &bounds))
        });
    }
}
