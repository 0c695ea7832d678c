//! Asks the owners of organisations' parts for what requests cost, and answers as one of them.

use super::call_context::CallContext;
use super::call_end::{CallEnd, NotRunReason};
use super::gateway_host::GatewayHost;
use super::gateway_state::GatewayState;
use super::peer_messages::GatewayDatagram;
use super::run_open::refuse;
use crate::keys::{IncarnationId, NameKey, OrgKey, TimePoint};
use crate::limits::{
    LimitLoan, LimitReply, LimitRequest, LimitShare, LoanRequest, OwnerChoice, choose_owner,
    has_owned,
};
use crate::membership::{MemberState, MemberUpdate};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A host younger than this asks again while it finds no owner: after a loss of all hosts owners have no
/// configuration yet. Of what hosts took alone then, an organisation at its limit had 0.7 s of its rate.
const YOUNG_AGE: Duration = Duration::from_millis(1200);
const YOUNG_PAUSE: Duration = Duration::from_millis(40);
/// How often owners are told of use that no question told them, and accounts that this host owns are looked after.
const TELL_LOOK: Duration = Duration::from_millis(250);

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
    match host.ask_owner(id, charge).await {
        OwnerReply::Granted => Ok(()),
        OwnerReply::Refused(pause) => {
            log::info!(
                "event=over_limit request={id} org={:016x} units={} come_back_ms={}",
                charge.org.0,
                charge.units,
                pause.as_millis()
            );
            Err(CallEnd::OverLimit(pause))
        }
        OwnerReply::Unknown => {
            log::info!(
                "event=limit_unknown request={id} org={:016x} units={}",
                charge.org.0,
                charge.units
            );
            Err(refuse(NotRunReason::LimitUnknown))
        }
    }
}

impl CallContext {
    /// The request did not run: what it cost is given back.
    pub fn refund_charge(&self) {
        let Some(charge) = self.charge else { return };
        let now = self.host.now();
        self.host.state().meter.release(now, charge.org, charge.units);
    }
}

/// What an owner says to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnerReply {
    Granted,
    /// It is over the limit; when it may come back.
    Refused(Duration),
    /// No owner can be reached, and this host's own part is used up.
    Unknown,
}

impl GatewayHost {
    async fn ask_owner(self: &Arc<Self>, id: &str, charge: LimitCharge) -> OwnerReply {
        let ask = {
            let now = self.now();
            self.state().meter.request_units(now, charge.org, charge.units)
        };
        let mut answer = self.ask_once(&ask).await;
        while answer.is_none() && self.is_young() {
            tokio::time::sleep(YOUNG_PAUSE).await;
            answer = self.ask_once(&ask).await;
        }
        let now = self.now();
        let mut state = self.state();
        let Some(answer) = answer else {
            let Some(share) = state.whole_share(charge.org) else {
                return OwnerReply::Granted;
            };
            let (_, hosts) = state.count_domain_hosts(self.domain());
            let allowed =
                state.meter.use_without_owner(now, charge.org, charge.units, &share, hosts);
            let (org, units) = (charge.org.0, charge.units);
            log::info!(
                "event=limit_alone request={id} org={org:016x} units={units} allowed={allowed}"
            );
            return if allowed { OwnerReply::Granted } else { OwnerReply::Unknown };
        };
        state.meter.apply_reply(now, &answer, charge.units);
        match answer.refused_ms {
            None => OwnerReply::Granted,
            Some(millis) => OwnerReply::Refused(Duration::from_millis(millis.into())),
        }
    }

    /// Hosts that start together find each other within some hundred milliseconds.
    fn is_young(&self) -> bool {
        self.now().since(TimePoint::default()) < YOUNG_AGE
    }

    async fn ask_once(&self, ask: &LimitRequest) -> Option<LimitReply> {
        let now = self.now();
        let owner = self.state().owner(now, ask.org, self.domain());
        match owner {
            OwnerChoice::Own => self.grant(now, self.incarnation, ask),
            OwnerChoice::Other(owner) => self.ask_other(owner, ask).await,
            OwnerChoice::Unknown => None,
        }
    }

    async fn ask_other(&self, owner: MemberUpdate, ask: &LimitRequest) -> Option<LimitReply> {
        let question = GatewayDatagram::LimitRequest(self.incarnation, *ask);
        let answer = self.ask_twice(&self.limit_waits, ask.sequence, owner, &question).await;
        if answer.is_none() {
            let (owner, org) = (owner.incarnation, ask.org.0);
            log::info!("event=limit_owner_silent owner={owner} org={org:016x}");
        }
        answer
    }

    /// Grants or refuses as the owner; nothing if the organisation has no limit here.
    fn grant(&self, now: TimePoint, from: IncarnationId, ask: &LimitRequest) -> Option<LimitReply> {
        let (answer, share, is_short) = {
            let mut state = self.state();
            let is_owner = state.owner(now, ask.org, self.domain()) == OwnerChoice::Own;
            let mut share = state.domain_share(ask.org, self.domain())?;
            if !is_owner {
                // The host that asks believes in another owner than this one does, and perhaps it alone: this one may go
                // on from what the last owner had left, and has nothing to begin with.
                share.initial = 0.0;
            }
            let is_new = !state.ledger.has_account(ask.org);
            let window = state.bounds.limits.window;
            let is_settled = is_owner
                && state.members.is_settled(now, window)
                && state.ledger.term().lasts_for(now, window);
            let answer = state.ledger.receive(now, from, ask, &share, is_settled);
            if is_new {
                log_account(ask, &share, &answer, is_owner, is_settled);
            }
            (answer, share, state.ledger.wants_loan(now, ask.org, &share))
        };
        if is_short {
            self.ask_loans(now, ask.org, &share);
        }
        Some(answer)
    }

    fn ask_loans(&self, now: TimePoint, org: OrgKey, share: &LimitShare) {
        let lenders = self.other_owners(now, org);
        let loans = self.state().ledger.request_loans(now, org, share, lenders.len());
        for (owner, loan) in lenders.iter().zip(loans) {
            self.send(owner.address, &GatewayDatagram::LoanRequest(loan));
        }
    }

    /// Answers another host's question as the owner.
    pub(super) fn receive_limit_request(
        &self,
        from: SocketAddr,
        host: IncarnationId,
        ask: &LimitRequest,
    ) {
        let Some(answer) = self.grant(self.now(), host, ask) else { return };
        if ask.sequence != 0 {
            self.send(from, &GatewayDatagram::LimitReply(answer));
        }
    }

    /// Owners of an organisation's part in the other failure domains.
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

    /// Lends to the owner of another failure domain.
    pub(super) fn receive_loan_request(&self, from: SocketAddr, ask: &LoanRequest) {
        let now = self.now();
        let loan = {
            let mut state = self.state();
            let Some(share) = state.domain_share(ask.org, self.domain()) else { return };
            state.ledger.lend(now, ask, &share)
        };
        if let Some(loan) = loan {
            self.send(from, &GatewayDatagram::LimitLoan(loan));
        }
    }

    /// Takes over a loan.
    pub(super) fn receive_loan(&self, loan: &LimitLoan) {
        let now = self.now();
        let mut state = self.state();
        let Some(share) = state.domain_share(loan.org, self.domain()) else { return };
        state.ledger.accept_loan(now, loan, &share);
    }

    /// Forgets what this host granted for organisations, and of repeats, of which it was not the owner all the time.
    fn discard_unowned_accounts(&self) {
        let (now, domain) = (self.now(), self.domain());
        let mut state = self.state();
        let mut ledger = std::mem::take(&mut state.ledger);
        let since = ledger.term().renewed_at();
        ledger.check_ownership(now, |org| state.has_owned_share(now, org, domain, since));
        state.ledger = ledger;
        let mut pools = std::mem::take(&mut state.retry_pools);
        let since = pools.term().renewed_at();
        pools.check_ownership(now, |service| state.has_owned_share(now, service, domain, since));
        state.retry_pools = pools;
    }

    fn tell_use(&self) {
        let now = self.now();
        let untold = self.state().meter.unsent(now);
        for ask in untold {
            let owner = self.state().owner(now, ask.org, self.domain());
            match owner {
                OwnerChoice::Own => drop(self.grant(now, self.incarnation, &ask)),
                OwnerChoice::Other(owner) => {
                    self.send(owner.address, &GatewayDatagram::LimitRequest(self.incarnation, ask));
                }
                OwnerChoice::Unknown => {}
            }
        }
    }
}

/// The line that tells what a new owner began with, and from where.
fn log_account(
    ask: &LimitRequest,
    share: &LimitShare,
    answer: &LimitReply,
    is_owner: bool,
    is_settled: bool,
) {
    let seen = ask.seen_level.is_some();
    log::info!(
        "event=limit_owned org={:016x} rate={:.0} burst={:.0} seen={seen} owner={is_owner} \
         settled={is_settled} units={} left={}",
        ask.org.0,
        share.rate,
        share.burst,
        ask.units,
        answer.level
    );
}

/// Tells owners of use that they do not know of: given back, or taken while they were silent. Looks after the accounts of
/// which this host is the owner.
pub(super) async fn run_limit_charges(host: Arc<GatewayHost>) {
    let mut ticker = tokio::time::interval(TELL_LOOK);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticker.tick().await;
        host.discard_unowned_accounts();
        host.tell_use();
    }
}

impl GatewayState {
    /// Who owns an organisation's part in a failure domain.
    fn owner(&self, now: TimePoint, org: OrgKey, domain: NameKey) -> OwnerChoice {
        let hosts = self.members.owners(domain).map(|(_, host)| host);
        let is_alone = self.members.is_alone();
        choose_owner(now, org, self.members.own().incarnation, is_alone, hosts, &self.silent)
    }

    /// Whether this host is the owner of a failure domain's part of something, and has been ever since a moment.
    pub(super) fn has_owned_share(
        &self,
        now: TimePoint,
        thing: NameKey,
        domain: NameKey,
        since: TimePoint,
    ) -> bool {
        let own = self.members.own().incarnation;
        let others = self.members.records().filter(|record| record.update.domain == domain);
        self.owner(now, thing, domain) == OwnerChoice::Own
            && !self.members.was_declared_dead(since)
            && has_owned(thing, own, others, since)
    }

    /// What this host may hand out as the owner of an organisation's part: of the part of its failure
    /// domain as much as the hosts that it sees there are of all that it ever saw there. The others may be
    /// cut off, and have the rest.
    fn domain_share(&self, org: OrgKey, domain: NameKey) -> Option<LimitShare> {
        let (seen, known) = self.count_domain_hosts(domain);
        Some(self.whole_share(org)?.scaled(seen, known))
    }

    /// A failure domain's whole part of an organisation's limit.
    fn whole_share(&self, org: OrgKey) -> Option<LimitShare> {
        let limit = self.routes.organisations().organisation(org)?.limit?;
        Some(LimitShare::for_domain(&limit, &self.bounds.limits))
    }

    /// Hosts of a failure domain that are there, and all that this one ever heard of, itself included.
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

    /// A changed configuration may lower limits.
    pub(super) fn lower_limits(&mut self, now: TimePoint) {
        let (routes, bounds) = (Arc::clone(&self.routes), self.bounds.limits);
        self.ledger.clamp_levels(now, |org| {
            let limit = routes.organisations().organisation(org)?.limit?;
            Some(LimitShare::for_domain(&limit, &bounds))
        });
    }
}
