//! Periodic work of the member table: selects the hosts to probe and handles missing answers.

use super::{MemberState, MemberTable, MemberUpdate, ProbeKind, ProbeMessage, TableAction};
use crate::keys::{IncarnationId, TimePoint, mix_hash};
use std::net::SocketAddr;
use std::time::Duration;

const PROBE_PERIOD: Duration = Duration::from_millis(500);
const ACK_TIMEOUT: Duration = Duration::from_millis(150);
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(350);
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1000);
/// Suspicion timeout of a host whose port refuses connections: its process has ended or hangs.
const REFUSED_SUSPICION_TIMEOUT: Duration = Duration::from_millis(300);
/// One of this many probes goes to another failure domain.
const CROSS_DOMAIN_EVERY: u64 = 4;
/// One of this many probes goes to a host declared dead, so that the end of a network partition is noticed.
const DEAD_EVERY: u64 = 16;
const INDIRECT_HELPERS: usize = 2;
const DEAD_RETENTION: Duration = Duration::from_secs(3600);
/// How many times a suspicion or death is sent; it must spread faster than the next probes.
const ALARM_SENDS: u32 = 12;

/// A probe without an answer so far.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingProbe {
    pub target: IncarnationId,
    pub sequence: u32,
    pub sent_at: TimePoint,
    pub indirect: bool,
    pub cross_domain: bool,
}

/// A probe sent on behalf of another host.
#[derive(Debug, Clone, Copy)]
pub(super) struct RelayedProbe {
    pub requester: SocketAddr,
    pub requester_sequence: u32,
    pub target: IncarnationId,
    pub sequence: u32,
    pub sent_at: TimePoint,
}

impl MemberTable {
    /// Performs the periodic work that is due: probes, timeouts and deaths.
    pub fn tick(&mut self, now: TimePoint) -> Vec<TableAction> {
        let mut actions = Vec::new();
        self.time_out_probes(now, &mut actions);
        self.time_out_suspects(now, &mut actions);
        self.relayed_probes.retain(|probe| now.since(probe.sent_at) < PROBE_PERIOD);
        if now >= self.next_probe_at {
            self.next_probe_at = now + PROBE_PERIOD;
            self.probe_next(now, &mut actions);
        }
        actions
    }

    fn time_out_probes(&mut self, now: TimePoint, actions: &mut Vec<TableAction>) {
        let mut failed = Vec::new();
        let mut indirect = Vec::new();
        self.probes.retain_mut(|probe| {
            let age = now.since(probe.sent_at);
            if age >= INDIRECT_TIMEOUT + ACK_TIMEOUT {
                if !probe.cross_domain {
                    failed.push(probe.target);
                }
                return false;
            }
            if age >= ACK_TIMEOUT && !probe.indirect && !probe.cross_domain {
                probe.indirect = true;
                indirect.push((probe.target, probe.sequence));
            }
            true
        });
        for (target, sequence) in indirect {
            for helper in self.helpers(target) {
                let message = self.message(sequence, ProbeKind::PingFor(target));
                actions.push(TableAction::Send(helper, message));
            }
        }
        for target in failed {
            if let Some(record) = self.members.get_mut(&target)
                && matches!(record.update.state, MemberState::Alive | MemberState::Leaving)
            {
                record.update.state = MemberState::Suspect;
                record.since = now;
                record.sends_left = ALARM_SENDS;
            }
        }
    }

    fn time_out_suspects(&mut self, now: TimePoint, actions: &mut Vec<TableAction>) {
        let domain = self.own.domain;
        for record in self.members.values_mut() {
            let limit =
                if record.fast_suspicion { REFUSED_SUSPICION_TIMEOUT } else { SUSPICION_TIMEOUT };
            let due = record.update.state == MemberState::Suspect
                && record.update.domain == domain
                && now.since(record.since) >= limit;
            if due {
                record.update.state = MemberState::Dead;
                record.since = now;
                record.sends_left = ALARM_SENDS;
                actions.push(TableAction::Died(record.update.incarnation));
            }
        }
        self.members.retain(|_, record| {
            record.update.state != MemberState::Dead || now.since(record.since) < DEAD_RETENTION
        });
    }

    fn probe_next(&mut self, now: TimePoint, actions: &mut Vec<TableAction>) {
        self.rounds += 1;
        let target = if self.rounds.is_multiple_of(DEAD_EVERY) {
            self.pick(|update, _| update.state == MemberState::Dead)
        } else if self.rounds.is_multiple_of(CROSS_DOMAIN_EVERY) {
            self.pick(|update, own| {
                update.domain != own.domain && update.state != MemberState::Dead
            })
        } else {
            self.pick(|update, own| {
                update.domain == own.domain && update.state != MemberState::Dead
            })
        };
        let Some(target) = target else {
            return self.probe_seed(actions);
        };
        self.sequence += 1;
        let sequence = self.sequence;
        let cross_domain = target.domain != self.own.domain;
        self.probes.push(PendingProbe {
            target: target.incarnation,
            sequence,
            sent_at: now,
            indirect: false,
            cross_domain,
        });
        let ping = self.message(sequence, ProbeKind::Ping);
        actions.push(TableAction::Send(target.address, ping));
    }

    fn probe_seed(&mut self, actions: &mut Vec<TableAction>) {
        if self.seeds.is_empty() {
            return;
        }
        let index = (mix_hash(self.salt, self.rounds) % self.seeds.len() as u64) as usize;
        let seed = self.seeds[index];
        let ping = self.message(0, ProbeKind::Ping);
        actions.push(TableAction::Send(seed, ping));
    }

    fn pick(&self, wanted: impl Fn(&MemberUpdate, &MemberUpdate) -> bool) -> Option<MemberUpdate> {
        let salt = mix_hash(self.salt, self.rounds);
        self.members
            .values()
            .map(|record| record.update)
            .filter(|update| wanted(update, &self.own))
            .min_by_key(|update| mix_hash(salt, update.incarnation.0))
    }

    fn helpers(&self, target: IncarnationId) -> Vec<SocketAddr> {
        let salt = mix_hash(self.salt, self.rounds ^ target.0);
        let mut helpers: Vec<MemberUpdate> = self
            .members
            .values()
            .map(|record| record.update)
            .filter(|update| {
                update.domain == self.own.domain
                    && update.state == MemberState::Alive
                    && update.incarnation != target
            })
            .collect();
        helpers.sort_by_key(|update| mix_hash(salt, update.incarnation.0));
        helpers.into_iter().take(INDIRECT_HELPERS).map(|update| update.address).collect()
    }

    pub(super) fn on_ack(
        &mut self,
        from: IncarnationId,
        sequence: u32,
        actions: &mut Vec<TableAction>,
    ) {
        self.probes.retain(|probe| probe.target != from || probe.sequence != sequence);
        let done =
            self.relayed_probes.iter().position(|p| p.target == from && p.sequence == sequence);
        if let Some(probe) = done.map(|index| self.relayed_probes.swap_remove(index)) {
            let ack = self.message(probe.requester_sequence, ProbeKind::AckFor(from));
            actions.push(TableAction::Send(probe.requester, ack));
        }
    }

    pub(super) fn relay_probe(
        &mut self,
        now: TimePoint,
        message: &ProbeMessage,
        target: IncarnationId,
        actions: &mut Vec<TableAction>,
    ) {
        let Some(record) = self.members.get(&target) else {
            return;
        };
        let address = record.update.address;
        self.sequence += 1;
        let sequence = self.sequence;
        self.relayed_probes.push(RelayedProbe {
            requester: message.sender.address,
            requester_sequence: message.sequence,
            target,
            sequence,
            sent_at: now,
        });
        let ping = self.message(sequence, ProbeKind::Ping);
        actions.push(TableAction::Send(address, ping));
    }
}
