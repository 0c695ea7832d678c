//! Charges requests to their organisations with grants from the owners of their limits.

use super::call_context::CallContext;
use super::call_end::{CallEnd, NotRunReason};
use super::gateway_host::GatewayHost;
use super::peer_messages::GatewayDatagram;
use super::run_open::refuse;
use crate::keys::{OrgKey, TimePoint};
use crate::limits::{LimitReply, LimitRequest, OwnerChoice};
use crate::membership::MemberUpdate;
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
        self.now().since(TimePoint::CLOCK_START) < YOUNG_AGE
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
