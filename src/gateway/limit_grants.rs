//! Grants requests as the owner of an organisation's limit, and lends to and borrows from its other owners.

use super::gateway_host::GatewayHost;
use super::peer_messages::GatewayDatagram;
use crate::keys::{IncarnationId, NameKey, OrgKey, TimePoint};
use crate::limits::{LimitLoan, LimitReply, LimitRequest, LimitShare, LoanRequest, OwnerChoice};
use crate::membership::MemberUpdate;
use std::collections::HashSet;
use std::net::SocketAddr;

impl GatewayHost {
    /// Grants or refuses as the owner; `None` if the organisation has no limit here.
    pub(super) fn grant(
        &self,
        now: TimePoint,
        from: IncarnationId,
        request: &LimitRequest,
    ) -> Option<LimitReply> {
        let (reply, share, is_short) = {
            let mut state = self.state();
            let is_owner = state.owner(now, request.org, self.domain()) == OwnerChoice::Own;
            let mut share = state.domain_share(request.org, self.domain())?;
            if !is_owner {
                // The requesting host considers this one the owner, but this one does not. It may continue from the
                // balance that the last owner left, but adds no initial balance of its own.
                share.initial = 0.0;
            }
            let is_new = !state.limit_ledger.has_account(request.org);
            let window = state.bounds.limits.window;
            let is_settled = is_owner
                && state.members.is_settled(now, window)
                && state.limit_ledger.term().lasts_for(now, window);
            let reply = state.limit_ledger.receive(now, from, request, &share, is_settled);
            if is_new {
                log_account(request, &share, &reply, is_owner, is_settled);
            }
            (reply, share, state.limit_ledger.wants_loan(now, request.org, &share))
        };
        if is_short {
            self.request_loans(now, request.org, &share);
        }
        Some(reply)
    }

    fn request_loans(&self, now: TimePoint, org: OrgKey, share: &LimitShare) {
        let lenders = self.other_owners(now, org);
        let loans = self.state().limit_ledger.request_loans(now, org, share, lenders.len());
        for (owner, loan) in lenders.iter().zip(loans) {
            self.send(owner.address, &GatewayDatagram::LoanRequest(loan));
        }
    }

    /// Handles another host's request as the owner.
    pub(super) fn receive_limit_request(
        &self,
        from: SocketAddr,
        host: IncarnationId,
        request: &LimitRequest,
    ) {
        let Some(reply) = self.grant(self.now(), host, request) else { return };
        if request.sequence != 0 {
            self.send(from, &GatewayDatagram::LimitReply(reply));
        }
    }

    /// The owners of an organisation's limit in the other failure domains.
    fn other_owners(&self, now: TimePoint, org: OrgKey) -> Vec<MemberUpdate> {
        let state = self.state();
        let domains: HashSet<NameKey> =
            state.members.reachable(now).map(|host| host.domain).collect();
        let others = domains.into_iter().filter(|domain| *domain != self.domain());
        let owners = others.map(|domain| state.owner(now, org, domain));
        owners
            .filter_map(|owner| match owner {
                OwnerChoice::Other(owner) => Some(owner),
                OwnerChoice::Own | OwnerChoice::Unknown => None,
            })
            .collect()
    }

    /// Lends to the owner of the limit in another failure domain.
    pub(super) fn receive_loan_request(&self, from: SocketAddr, request: &LoanRequest) {
        let now = self.now();
        let loan = {
            let mut state = self.state();
            let Some(share) = state.domain_share(request.org, self.domain()) else { return };
            state.limit_ledger.lend(now, request, &share)
        };
        if let Some(loan) = loan {
            self.send(from, &GatewayDatagram::LoanReply(loan));
        }
    }

    /// Applies a loan.
    pub(super) fn receive_loan(&self, loan: &LimitLoan) {
        let now = self.now();
        let mut state = self.state();
        let Some(share) = state.domain_share(loan.org, self.domain()) else { return };
        state.limit_ledger.accept_loan(now, loan, &share);
    }

    /// Discards the accounts of limits and retry pools that this host has not owned without a break.
    pub(super) fn discard_unowned_accounts(&self) {
        let (now, domain) = (self.now(), self.domain());
        let mut state = self.state();
        let mut ledger = std::mem::take(&mut state.limit_ledger);
        let since = ledger.term().renewed_at();
        ledger.check_ownership(now, |org| state.has_owned_share(now, org, domain, since));
        state.limit_ledger = ledger;
        let mut pools = std::mem::take(&mut state.retry_pools);
        let since = pools.term().renewed_at();
        pools.check_ownership(now, |service| state.has_owned_share(now, service, domain, since));
        state.retry_pools = pools;
    }
}

/// Logs the balance that a new owner starts with, and where it comes from.
fn log_account(
    request: &LimitRequest,
    share: &LimitShare,
    reply: &LimitReply,
    is_owner: bool,
    is_settled: bool,
) {
    let (org, units, seen) = (request.org.0, request.units, request.seen_level.is_some());
    let (rate, burst, left) = (share.rate, share.burst, reply.level);
    log::info!(
        "event=limit_owned org={org:016x} rate={rate:.0} burst={burst:.0} seen={seen} \
         owner={is_owner} settled={is_settled} units={units} left={left}"
    );
}
