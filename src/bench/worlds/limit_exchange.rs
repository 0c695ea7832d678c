//! Messages between hosts of the limit world: requests for units, replies, loans and reports.

use super::InjectedBug;
use super::limit_parts::{LimitMessage, PendingRequest};
use super::limit_world::{BOUNDS, DOMAINS, LimitWorld, REPLY_TIMEOUT, org};
use super::world_host::domain_key;
use super::world_network::QueuedDatagram;
use crate::keys::{IncarnationId, NameKey};
use crate::limits::{LimitReply, LimitRequest, LimitShare, OwnerChoice, choose_owner};
use crate::membership::MemberUpdate;
use rand::Rng;
use std::time::Duration;

impl LimitWorld {
    pub fn request_units(&mut self, index: usize, request: LimitRequest) {
        match self.owner(index, self.hosts[index].update.domain) {
            OwnerChoice::Own => {
                let reply =
                    self.receive_request(index, self.hosts[index].update.incarnation, &request);
                self.apply_reply(index, &request, &reply);
            }
            OwnerChoice::Other(owner) => {
                let expires_at = self.now + REPLY_TIMEOUT;
                self.pending.push(PendingRequest {
                    host: index,
                    owner: owner.incarnation,
                    request,
                    expires_at,
                });
                self.send_datagram(index, owner, LimitMessage::Request(request));
            }
            OwnerChoice::Unknown => self.use_without_owner(index, &request),
        }
    }

    fn index_of(&self, host: MemberUpdate) -> usize {
        usize::try_from(host.incarnation.0).unwrap_or_default() % self.hosts.len()
    }

    pub fn owner(&self, index: usize, domain: NameKey) -> OwnerChoice {
        let host = &self.hosts[index];
        let living = host.living(self.now, domain);
        let (local_now, own) = (host.local_time(self.now), host.update.incarnation);
        choose_owner(
            local_now,
            org(),
            own,
            host.is_alone(),
            living.into_iter(),
            &host.silent_owners,
        )
    }

    fn share(&self, index: usize) -> LimitShare {
        let share = LimitShare::for_domain(&self.limit, &BOUNDS);
        let (seen, known) = self.hosts[index].domain_counts(self.now);
        if self.bug == InjectedBug::GrantWholeShare { share } else { share.scaled(seen, known) }
    }

    pub fn receive_request(
        &mut self,
        index: usize,
        from: IncarnationId,
        request: &LimitRequest,
    ) -> LimitReply {
        let (mut share, local_now) = (self.share(index), self.hosts[index].local_time(self.now));
        let is_owner = self.owner(index, self.hosts[index].update.domain) == OwnerChoice::Own;
        if !is_owner {
            share.initial = 0.0;
        }
        let is_settled = is_owner
            && self.hosts[index].is_settled(self.now, BOUNDS.window)
            && self.hosts[index].state.ledger.term().lasts_for(local_now, BOUNDS.window);
        let ledger = &mut self.hosts[index].state.ledger;
        let reply = ledger.receive(local_now, from, request, &share, is_settled);
        if ledger.wants_loan(local_now, org(), &share) {
            self.request_loans(index, &share);
        }
        reply
    }

    /// Drops the account of a host unless it has owned the organisation ever since its last check.
    pub fn check_ownership(&mut self, index: usize) {
        let is_owner = self.owner(index, self.hosts[index].update.domain) == OwnerChoice::Own;
        let host = &mut self.hosts[index];
        let (local_now, renewed_at) =
            (host.local_time(self.now), host.state.ledger.term().renewed_at());
        // The host's own clock started with its incarnation.
        let since = self.now - local_now.since(renewed_at);
        let has_owned = is_owner && host.has_owned(org(), since);
        if self.bug != InjectedBug::KeepStaleAccounts {
            host.state.ledger.check_ownership(local_now, |_| has_owned);
        }
    }

    fn request_loans(&mut self, index: usize, share: &LimitShare) {
        let domain = self.hosts[index].update.domain;
        let lenders: Vec<MemberUpdate> = (0..DOMAINS)
            .map(domain_key)
            .filter(|other| *other != domain)
            .filter_map(|domain| match self.owner(index, domain) {
                OwnerChoice::Other(owner) => Some(owner),
                OwnerChoice::Own | OwnerChoice::Unknown => None,
            })
            .collect();
        let local_now = self.hosts[index].local_time(self.now);
        let loans =
            self.hosts[index].state.ledger.request_loans(local_now, org(), share, lenders.len());
        for (lender, loan) in lenders.into_iter().zip(loans) {
            self.send_datagram(index, lender, LimitMessage::LoanRequest(loan));
        }
    }

    pub fn send_datagram(&mut self, index: usize, to: MemberUpdate, body: LimitMessage) {
        let from = self.hosts[index].update;
        let delay = Duration::from_millis(self.rng.random_range(0..25));
        let is_lost = self.rng.random_bool(0.02);
        if !is_lost {
            self.network.send(QueuedDatagram { due: self.now + delay, from, to, body });
        }
    }

    pub fn deliver_datagram(&mut self, datagram: QueuedDatagram<LimitMessage>) {
        let index = self.index_of(datagram.to);
        let from = self.index_of(datagram.from);
        let host = &self.hosts[index];
        if host.update.incarnation != datagram.to.incarnation
            || !self.network.is_connected(from, index)
        {
            return;
        }
        if host.suspended_until > self.now {
            // The datagram stays in the socket buffer until the host resumes.
            return self.network.send(QueuedDatagram { due: host.suspended_until, ..datagram });
        }
        let local_now = host.local_time(self.now);
        let share = self.share(index);
        match datagram.body {
            LimitMessage::Request(request) => {
                let reply = self.receive_request(index, datagram.from.incarnation, &request);
                self.send_datagram(index, datagram.from, LimitMessage::Reply(reply));
            }
            LimitMessage::Reply(reply) => {
                let is_match = |pending: &PendingRequest| {
                    pending.host == index
                        && pending.request.sequence == reply.sequence
                        && pending.owner == datagram.from.incarnation
                };
                if let Some(position) = self.pending.iter().position(is_match) {
                    let pending = self.pending.swap_remove(position);
                    self.apply_reply(index, &pending.request, &reply);
                }
            }
            LimitMessage::LoanRequest(request) => {
                let loan = self.hosts[index].state.ledger.lend(local_now, &request, &share);
                if let Some(loan) = loan {
                    self.send_datagram(index, datagram.from, LimitMessage::Loan(loan));
                }
            }
            LimitMessage::Loan(loan) => {
                self.hosts[index].state.ledger.accept_loan(local_now, &loan, &share)
            }
        }
    }

    fn apply_reply(&mut self, index: usize, request: &LimitRequest, reply: &LimitReply) {
        let local_now = self.hosts[index].local_time(self.now);
        self.hosts[index].state.meter.apply_reply(local_now, reply, request.units);
        if reply.refused_ms.is_none() {
            self.record_admitted(request.units);
        }
    }

    fn use_without_owner(&mut self, index: usize, request: &LimitRequest) {
        let local_now = self.hosts[index].local_time(self.now);
        let (_, known) = self.hosts[index].domain_counts(self.now);
        let share = LimitShare::for_domain(&self.limit, &BOUNDS);
        if self.hosts[index].state.meter.use_without_owner(
            local_now,
            org(),
            request.units,
            &share,
            known,
        ) {
            self.record_admitted(request.units);
        }
    }

    fn record_admitted(&mut self, units: u32) {
        self.report.done += u64::from(units);
        self.window.record(self.now, units);
    }

    pub fn expire_pending(&mut self) {
        let now = self.now;
        let (expired, pending): (Vec<PendingRequest>, Vec<PendingRequest>) =
            self.pending.drain(..).partition(|pending| now >= pending.expires_at);
        self.pending = pending;
        for pending in expired {
            let host = &mut self.hosts[pending.host];
            // Requests of hosts that have been restarted or suspended since are dropped.
            if host.is_running(now) {
                let local_now = host.local_time(now);
                host.silent_owners.record(local_now, pending.owner);
                self.use_without_owner(pending.host, &pending.request);
            }
        }
    }
}
