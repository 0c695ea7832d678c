//! Charges requests to their organisations: requests grants from the owners of limits, and grants them as an owner.

use super::call_context::CallContext;
use super::call_end::{CallEnd, NotRunReason};
use super::gateway_host::GatewayHost;
use super::gateway_state::GatewayState;
use super::peer_messages::GatewayDatagram;
use super::run_open::refuse;
use crate::keys::{IncarnationId, NameKey, OrgKey, TimePoint};
use crate::limits::{LimitLoan, LimitReply, LimitRequest, LimitShare, LoanRequest, OwnerChoice};
use crate::membership::{MemberState, MemberUpdate};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A host younger than this retries while it finds no owner, because owners have no configuration yet after a loss of
/// all hosts. Without this, hosts that decided alone granted an organisation at its limit 0.7 s of its rate.
const YOUNG_AGE: Duration = Duration::from_millis(1200);
const YOUNG_RETRY_PAUSE: Duration = Duration::from_millis(40);
/// How often use that no request has reported is reported to owners, and accounts owned by others are discarded.
const REPORT_PERIOD: Duration = Duration::from_millis(250);

/// What a request costs its organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LimitCharge {
    pub org: OrgKey,
    pub units: u32,
}

/// Charges a request to its organisation, or refuses it.
pub(super) async fn charge_request(
    host: &Arc<GatewayHost>,
    id: &str,
    charge: LimitCharge,
) -> Result<(), CallEnd> {
    let (org, units) = (charge.org.0, charge.units);
    match host.request_grant(id, charge).await {
        OwnerDecision::Granted => Ok(()),
        OwnerDecision::Refused(pause) => {
            let pause_ms = pause.as_millis();
            log::info!(
                "event=over_limit request={id} org={org:016x} units={units} come_back_ms={pause_ms}"
            );
            Err(CallEnd::OverLimit(pause))
        }
        OwnerDecision::Unknown => {
            log::info!("event=limit_unknown request={id} org={org:016x} units={units}");
            Err(refuse(NotRunReason::LimitUnknown))
        }
    }
}

impl CallContext {
    /// Refunds the charge of a request that did not run.
    pub fn refund_charge(&self) {
        let Some(charge) = self.charge else { return };
        let now = self.host.now();
        self.host.state().limit_meter.release(now, charge.org, charge.units);
    }
}

/// An owner's decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnerDecision {
    Granted,
    /// The request is over the limit; it may be retried after this pause.
    Refused(Duration),
    /// No owner can be reached, and this host's own share is used up.
    Unknown,
}

impl GatewayHost {
    async fn request_grant(self: &Arc<Self>, id: &str, charge: LimitCharge) -> OwnerDecision {
        let asked_at = self.now();
        let request = self.state().limit_meter.request_units(asked_at, charge.org, charge.units);
        let mut reply = self.query_owner(&request).await;
        while reply.is_none() && self.is_young() {
            tokio::time::sleep(YOUNG_RETRY_PAUSE).await;
            reply = self.query_owner(&request).await;
        }
        let now = self.now();
        let mut state = self.state();
        let Some(reply) = reply else {
            let Some(share) = state.whole_share(charge.org) else {
                return OwnerDecision::Granted;
            };
            let (_, hosts) = state.count_domain_hosts(self.domain());
            let allowed =
                state.limit_meter.use_without_owner(now, charge.org, charge.units, &share, hosts);
            let (org, units) = (charge.org.0, charge.units);
            log::info!(
                "event=limit_alone request={id} org={org:016x} units={units} allowed={allowed}"
            );
            return if allowed { OwnerDecision::Granted } else { OwnerDecision::Unknown };
        };
        state.limit_meter.apply_reply(now, &reply, charge.units);
        match reply.refused_ms {
            None => OwnerDecision::Granted,
            Some(millis) => OwnerDecision::Refused(Duration::from_millis(millis.into())),
        }
    }

    /// Whether this host has just started: hosts that start together find each other within a few hundred milliseconds.
    fn is_young(&self) -> bool {
        self.now().since(TimePoint::default()) < YOUNG_AGE
    }

    async fn query_owner(&self, request: &LimitRequest) -> Option<LimitReply> {
        let now = self.now();
        let owner = self.state().owner(now, request.org, self.domain());
        match owner {
            OwnerChoice::Own => self.grant(now, self.incarnation, request),
            OwnerChoice::Other(owner) => self.query_host(owner, request).await,
            OwnerChoice::Unknown => None,
        }
    }

    async fn query_host(&self, owner: MemberUpdate, request: &LimitRequest) -> Option<LimitReply> {
        let datagram = GatewayDatagram::LimitRequest(self.incarnation, *request);
        let reply =
            self.request_reply(&self.limit_replies, request.sequence, owner, &datagram).await;
        if reply.is_none() {
            let (owner, org) = (owner.incarnation, request.org.0);
            log::info!("event=limit_owner_silent owner={owner} org={org:016x}");
        }
        reply
    }

    /// Grants or refuses as the owner; `None` if the organisation has no limit here.
    fn grant(
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
    fn discard_unowned_accounts(&self) {
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

    fn report_use(&self) {
        let now = self.now();
        let unreported = self.state().limit_meter.unsent(now);
        for request in unreported {
            let owner = self.state().owner(now, request.org, self.domain());
            match owner {
                OwnerChoice::Own => drop(self.grant(now, self.incarnation, &request)),
                OwnerChoice::Other(owner) => {
                    let datagram = GatewayDatagram::LimitRequest(self.incarnation, request);
                    self.send(owner.address, &datagram);
                }
                OwnerChoice::Unknown => {}
            }
        }
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

/// Reports to owners the use that they do not know of (refunded, or granted while they were silent), and discards the
/// accounts of which this host is not the owner.
pub(super) async fn run_limit_charges(host: Arc<GatewayHost>) {
    let mut ticker = tokio::time::interval(REPORT_PERIOD);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticker.tick().await;
        host.discard_unowned_accounts();
        host.report_use();
    }
}

impl GatewayState {
    /// The owner of an organisation's limit in a failure domain.
    fn owner(&self, now: TimePoint, org: OrgKey, domain: NameKey) -> OwnerChoice {
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
    fn domain_share(&self, org: OrgKey, domain: NameKey) -> Option<LimitShare> {
        let (seen, known) = self.count_domain_hosts(domain);
        Some(self.whole_share(org)?.scaled(seen, known))
    }

    /// A failure domain's whole share of an organisation's limit.
    fn whole_share(&self, org: OrgKey) -> Option<LimitShare> {
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
