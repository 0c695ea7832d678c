//! The table's clock: whom to probe, and what silence means.

use super::{MemberState, MemberTable, MemberUpdate, ProbeKind, ProbeMessage, TableAction};
use crate::keys::{IncarnationId, TimePoint, mix_hash};
use std::net::SocketAddr;
use std::time::Duration;

const PROBE_PERIOD: Duration = Duration::from_millis(500);
const ACK_TIMEOUT: Duration = Duration::from_millis(150);
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(350);
const SUSPECT_TIME: Duration = Duration::from_millis(1000);
/// Shorter when the host's port refuses connections: its process is gone or wedged.
const REFUSED_SUSPECT_TIME: Duration = Duration::from_millis(300);
/// Every so many probes go to another failure domain.
const CROSS_DOMAIN_EVERY: u64 = 4;
/// Every so many probes go to a host believed dead, so that a healed cut is noticed.
const DEAD_EVERY: u64 = 16;
const INDIRECT_HELPERS: usize = 2;
const FORGET_DEAD: Duration = Duration::from_secs(3600);
/// Repeats of a suspicion or death, which must outrun the next probes.
const ALARM_REPEATS: u32 = 12;

/// A probe that waits for its answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct OpenProbe {
    pub target: IncarnationId,
    pub sequence: u32,
    pub sent_at: TimePoint,
    pub indirect: bool,
    pub cross_domain: bool,
}

/// A probe sent for another host.
#[derive(Debug, Clone, Copy)]
pub(super) struct Errand {
    pub asker: SocketAddr,
    pub asker_sequence: u32,
    pub target: IncarnationId,
    pub sequence: u32,
    pub at: TimePoint,
}

impl MemberTable {
    /// Works the clock: probes, timeouts, deaths.
    pub fn tick(&mut self, now: TimePoint) -> Vec<TableAction> {
        let mut orders = Vec::new();
        self.time_out_probes(now, &mut orders);
        self.time_out_suspects(now, &mut orders);
        self.errands.retain(|errand| now.since(errand.at) < PROBE_PERIOD);
        if now >= self.next_probe {
            self.next_probe = now + PROBE_PERIOD;
            self.probe_next(now, &mut orders);
        }
        orders
    }

    fn time_out_probes(&mut self, now: TimePoint, orders: &mut Vec<TableAction>) {
        let mut failed = Vec::new();
        let mut ask_for = Vec::new();
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
                ask_for.push((probe.target, probe.sequence));
            }
            true
        });
        for (target, sequence) in ask_for {
            for helper in self.helpers(target) {
                let message = self.message(sequence, ProbeKind::PingFor(target));
                orders.push(TableAction::Send(helper, message));
            }
        }
        for target in failed {
            if let Some(record) = self.members.get_mut(&target)
                && matches!(record.update.state, MemberState::Alive | MemberState::Leaving)
            {
                record.update.state = MemberState::Suspect;
                record.since = now;
                record.sends_left = ALARM_REPEATS;
            }
        }
    }

    fn time_out_suspects(&mut self, now: TimePoint, orders: &mut Vec<TableAction>) {
        let domain = self.own.domain;
        for record in self.members.values_mut() {
            let limit = if record.quick { REFUSED_SUSPECT_TIME } else { SUSPECT_TIME };
            let due = record.update.state == MemberState::Suspect
                && record.update.domain == domain
                && now.since(record.since) >= limit;
            if due {
                record.update.state = MemberState::Dead;
                record.since = now;
                record.sends_left = ALARM_REPEATS;
                orders.push(TableAction::Died(record.update.incarnation));
            }
        }
        self.members.retain(|_, record| {
            record.update.state != MemberState::Dead || now.since(record.since) < FORGET_DEAD
        });
    }

    fn probe_next(&mut self, now: TimePoint, orders: &mut Vec<TableAction>) {
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
            return self.probe_seed(orders);
        };
        self.sequence += 1;
        let sequence = self.sequence;
        let cross_domain = target.domain != self.own.domain;
        self.probes.push(OpenProbe {
            target: target.incarnation,
            sequence,
            sent_at: now,
            indirect: false,
            cross_domain,
        });
        let ping = self.message(sequence, ProbeKind::Ping);
        orders.push(TableAction::Send(target.address, ping));
    }

    fn probe_seed(&mut self, orders: &mut Vec<TableAction>) {
        if self.seeds.is_empty() {
            return;
        }
        let place = (mix_hash(self.salt, self.rounds) % self.seeds.len() as u64) as usize;
        let seed = self.seeds[place];
        let ping = self.message(0, ProbeKind::Ping);
        orders.push(TableAction::Send(seed, ping));
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
        orders: &mut Vec<TableAction>,
    ) {
        self.probes.retain(|probe| probe.target != from || probe.sequence != sequence);
        let done = self.errands.iter().position(|e| e.target == from && e.sequence == sequence);
        if let Some(errand) = done.map(|place| self.errands.swap_remove(place)) {
            let answer = self.message(errand.asker_sequence, ProbeKind::AckFor(from));
            orders.push(TableAction::Send(errand.asker, answer));
        }
    }

    pub(super) fn run_errand(
        &mut self,
        now: TimePoint,
        message: &ProbeMessage,
        target: IncarnationId,
        orders: &mut Vec<TableAction>,
    ) {
        let Some(record) = self.members.get(&target) else {
            return;
        };
        let address = record.update.address;
        self.sequence += 1;
        let sequence = self.sequence;
        self.errands.push(Errand {
            asker: message.sender.address,
            asker_sequence: message.sequence,
            target,
            sequence,
            at: now,
        });
        let ping = self.message(sequence, ProbeKind::Ping);
        orders.push(TableAction::Send(address, ping));
    }
}
