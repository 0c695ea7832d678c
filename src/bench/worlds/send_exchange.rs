//! Messages between hosts of the send world: permit requests, replies, limit updates and reports of sends.

use super::InjectedBug;
use super::send_parts::{CallerRequest, PendingSend, SendMessage};
use super::send_world::{DOMAINS, SendWorld};
use super::world_host::domain_key;
use super::world_network::QueuedDatagram;
use crate::keys::TimePoint;
use crate::limits::{OwnerChoice, choose_owner};
use crate::membership::MemberUpdate;
use crate::server_limits::{CallRank, LOG_RETENTION, PermitPurpose, PermitReply, SendHistory};
use rand::Rng;
use std::time::Duration;

/// An owner that has not replied within this time counts as silent.
const REPLY_TIMEOUT: Duration = Duration::from_millis(65);
/// Number of hosts that each update is sent to.
const UPDATE_FANOUT: usize = 6;
/// Share of the datagrams that are lost.
const LOSS_RATE: f64 = 0.02;

impl SendWorld {
    /// Sends a request to the first of its servers for which a permit is granted or that has no limit.
    pub fn route_request(&mut self, index: usize, request: CallerRequest) {
        let mut request = request;
        while let Some(server) = request.servers.pop() {
            let (local_now, key) =
                (self.hosts[index].local_time(self.now), self.servers[server].key);
            let control = &mut self.hosts[index].state;
            if control.limits.limit(key).is_none() {
                control.log.record(local_now, key);
                return self.dispatch(index, server, local_now);
            }
            if !control.is_open(local_now, key, request.rank) {
                continue;
            }
            let mut permit_request =
                control.permit_request(local_now, key, request.rank, PermitPurpose::Send);
            if self.bug == InjectedBug::OmitSendHistory {
                permit_request.history = SendHistory::default();
            }
            match self.owner(index, server) {
                OwnerChoice::Own => {
                    let incarnation = self.hosts[index].update.incarnation;
                    let (reply, _) = self.hosts[index].state.receive(
                        local_now,
                        incarnation,
                        &permit_request,
                        true,
                    );
                    if self.hosts[index].state.apply_reply(local_now, &permit_request, Some(&reply))
                    {
                        return self.dispatch(index, server, local_now);
                    }
                }
                OwnerChoice::Other(owner) => {
                    request.servers.push(server);
                    self.pending.push(PendingSend {
                        host: index,
                        owner: owner.incarnation,
                        permit_request: permit_request.clone(),
                        expires_at: self.now + REPLY_TIMEOUT,
                        request,
                    });
                    return self.send_datagram(
                        index,
                        owner,
                        SendMessage::PermitRequest(permit_request),
                    );
                }
                OwnerChoice::Unknown => {
                    self.hosts[index].state.apply_reply(local_now, &permit_request, None);
                }
            }
        }
    }

    pub fn owner(&self, index: usize, server: usize) -> OwnerChoice {
        let host = &self.hosts[index];
        let own = host.update.incarnation;
        if self.bug == InjectedBug::GrantLocally {
            return OwnerChoice::Own;
        }
        let server = &self.servers[server];
        let mut living = host.living(self.now, domain_key(server.domain));
        if living.is_empty() {
            let domains = (0..DOMAINS).map(domain_key);
            living = domains.flat_map(|domain| host.living(self.now, domain)).collect();
        }
        let local_now = host.local_time(self.now);
        choose_owner(
            local_now,
            server.key,
            own,
            host.is_alone(),
            living.into_iter(),
            &host.silent_owners,
        )
    }

    pub fn send_updates(&mut self, index: usize) {
        if !self.hosts[index].is_running(self.now) {
            return;
        }
        let local_now = self.hosts[index].local_time(self.now);
        let updates = self.hosts[index].state.limits.unsent(local_now);
        if updates.is_empty() {
            return;
        }
        for _ in 0..UPDATE_FANOUT {
            let target = self.rng.random_range(0..self.hosts.len());
            let target = self.hosts[target].update;
            self.send_datagram(index, target, SendMessage::Updates(updates.clone()));
        }
    }

    pub fn report_sends(&mut self) {
        for index in 0..self.hosts.len() {
            if !self.hosts[index].is_running(self.now) {
                continue;
            }
            let local_now = self.hosts[index].local_time(self.now);
            let owned: Vec<_> = (0..self.servers.len())
                .filter(|server| self.owner(index, *server) == OwnerChoice::Own)
                .map(|server| self.servers[server].key)
                .collect();
            self.hosts[index].state.ledger.retain(local_now, |server| owned.contains(&server));
            for server in 0..self.servers.len() {
                self.report_server_sends(index, server, local_now);
            }
        }
    }

    fn report_server_sends(&mut self, index: usize, server: usize, local_now: TimePoint) {
        let key = self.servers[server].key;
        let control = &mut self.hosts[index].state;
        let has_report = control.limits.limit(key).is_some()
            && control.log.recent(local_now, key, LOG_RETENTION) > 0;
        if !has_report || self.bug == InjectedBug::OmitSendHistory {
            return;
        }
        let permit_request =
            control.permit_request(local_now, key, CallRank::default(), PermitPurpose::Report);
        match self.owner(index, server) {
            OwnerChoice::Own => {
                let incarnation = self.hosts[index].update.incarnation;
                self.hosts[index].state.receive(local_now, incarnation, &permit_request, true);
            }
            OwnerChoice::Other(owner) => {
                self.send_datagram(index, owner, SendMessage::PermitRequest(permit_request))
            }
            OwnerChoice::Unknown => {}
        }
    }

    fn index_of(&self, host: MemberUpdate) -> usize {
        usize::try_from(host.incarnation.0).unwrap_or_default() % self.hosts.len()
    }

    pub fn send_datagram(&mut self, index: usize, to: MemberUpdate, body: SendMessage) {
        let from = self.hosts[index].update;
        let delay = Duration::from_millis(self.rng.random_range(0..25));
        if !self.rng.random_bool(LOSS_RATE) {
            self.network.send(QueuedDatagram { due: self.now + delay, from, to, body });
        }
    }

    pub fn deliver_datagram(&mut self, datagram: QueuedDatagram<SendMessage>) {
        let index = self.index_of(datagram.to);
        let from = self.index_of(datagram.from);
        let host = &self.hosts[index];
        if host.update.incarnation != datagram.to.incarnation
            || !self.network.is_connected(from, index)
        {
            return;
        }
        if !host.is_running(self.now) {
            // The datagram stays in the socket buffer until the host resumes.
            return self.network.send(QueuedDatagram { due: host.suspended_until, ..datagram });
        }
        let local_now = host.local_time(self.now);
        match datagram.body {
            SendMessage::Updates(updates) => {
                let limits = &mut self.hosts[index].state.limits;
                let merged_count =
                    updates.iter().filter_map(|update| limits.merge(local_now, update)).count();
                if merged_count > 0 {
                    self.send_updates(index);
                }
            }
            SendMessage::Observation(observation) => {
                self.hosts[index].state.apply_observation(local_now, &observation);
            }
            SendMessage::PermitRequest(permit_request) => {
                let server = self
                    .servers
                    .iter()
                    .position(|server| server.key == permit_request.update.server);
                let Some(server) = server else { return };
                let is_owner = self.owner(index, server) == OwnerChoice::Own;
                let incarnation = datagram.from.incarnation;
                let (reply, _) = self.hosts[index].state.receive(
                    local_now,
                    incarnation,
                    &permit_request,
                    is_owner,
                );
                if permit_request.purpose.wants_reply() {
                    self.send_datagram(index, datagram.from, SendMessage::PermitReply(reply));
                }
            }
            SendMessage::PermitReply(reply) => {
                let is_match = |pending: &PendingSend| {
                    pending.host == index
                        && pending.permit_request.sequence == reply.sequence
                        && pending.owner == datagram.from.incarnation
                };
                if let Some(position) = self.pending.iter().position(is_match) {
                    let pending = self.pending.swap_remove(position);
                    self.finish_permit(pending, Some(&reply));
                }
            }
        }
    }

    pub fn expire_pending(&mut self) {
        let now = self.now;
        let (expired, pending): (Vec<PendingSend>, Vec<PendingSend>) =
            self.pending.drain(..).partition(|pending| now >= pending.expires_at);
        self.pending = pending;
        for pending in expired {
            let host = &mut self.hosts[pending.host];
            if host.is_running(now) {
                let local_now = host.local_time(now);
                host.silent_owners.record(local_now, pending.owner);
                self.finish_permit(pending, None);
            }
        }
    }

    /// Handles the reply to a permit request, or its timeout: sends the request to that server or tries the next one.
    fn finish_permit(&mut self, pending: PendingSend, reply: Option<&PermitReply>) {
        let PendingSend { host: index, permit_request, mut request, .. } = pending;
        let local_now = self.hosts[index].local_time(self.now);
        let control = &mut self.hosts[index].state;
        let Some(server) = request.servers.pop() else { return };
        if control.apply_reply(local_now, &permit_request, reply) {
            return self.dispatch(index, server, local_now);
        }
        self.route_request(index, request);
    }
}
