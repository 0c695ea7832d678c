//! Merges what other hosts report, by datagram or otherwise, into the member table.

use super::{
    MemberRecord, MemberState, MemberTable, MemberUpdate, ProbeKind, ProbeMessage, TableAction,
};
use crate::keys::{IncarnationId, TimePoint};

/// Each host sends an update this many times, multiplied by log2 of the table size.
const SEND_FACTOR: u32 = 3;

impl MemberTable {
    /// Handles a datagram whose signature was checked with the shared key.
    pub fn receive(&mut self, now: TimePoint, message: &ProbeMessage) -> Vec<TableAction> {
        let mut actions = Vec::new();
        let sender = message.sender;
        self.merge(now, sender, &mut actions);
        for update in &message.updates {
            self.merge(now, *update, &mut actions);
        }
        self.record_received(now, sender.incarnation);
        if self.view.is_behind(message.view) {
            actions.push(TableAction::FetchView(sender.address));
        }
        if self.should_compare(now, message.digest) {
            actions.push(TableAction::Compare(sender.address));
        }
        match message.kind {
            ProbeKind::Ping => {
                let mut ack = self.message(message.sequence, ProbeKind::Ack);
                // Informs a host that it is suspected or declared dead, so that it can refute this.
                let known = self.members.get(&sender.incarnation).map(|record| record.update);
                ack.updates.extend(known.filter(|update| update.state >= MemberState::Suspect));
                actions.push(TableAction::Send(sender.address, ack));
            }
            ProbeKind::Ack => self.on_ack(sender.incarnation, message.sequence, &mut actions),
            ProbeKind::AckFor(target) => {
                self.probes.retain(|p| p.target != target || p.sequence != message.sequence);
            }
            ProbeKind::PingFor(target) => self.relay_probe(now, message, target, &mut actions),
        }
        actions
    }

    /// Merges updates that were received in another way than by datagram.
    pub fn merge_all(&mut self, now: TimePoint, updates: &[MemberUpdate]) -> Vec<TableAction> {
        let mut actions = Vec::new();
        for update in updates {
            self.merge(now, *update, &mut actions);
        }
        actions
    }

    /// Records a refused connection to a host: the host is suspected at once, with a shorter suspicion timeout.
    pub fn record_refusal(&mut self, now: TimePoint, incarnation: IncarnationId) {
        let domain = self.own.domain;
        if let Some(record) = self.members.get_mut(&incarnation)
            && record.update.domain == domain
            && matches!(record.update.state, MemberState::Alive | MemberState::Leaving)
        {
            record.update.state = MemberState::Suspect;
            record.since = now;
            record.fast_suspicion = true;
            record.sends_left = SEND_FACTOR * 4;
        }
    }

    fn merge(&mut self, now: TimePoint, update: MemberUpdate, actions: &mut Vec<TableAction>) {
        if update.incarnation == self.own.incarnation {
            let is_disputed = matches!(update.state, MemberState::Suspect | MemberState::Dead);
            if is_disputed && update.version >= self.own.version {
                self.own.version = update.version + 1;
                if update.state == MemberState::Dead {
                    self.declared_dead_at = Some(now);
                }
            }
            return;
        }
        let sends = SEND_FACTOR * (usize::BITS - self.members.len().leading_zeros()).max(1);
        match self.members.get_mut(&update.incarnation) {
            Some(record) => {
                let known = (record.update.version, record.update.state);
                // A dead incarnation returns only with a higher version of its own, after a network partition ends.
                if (update.version, update.state) <= known {
                    return;
                }
                self.changed_at = now;
                let died = update.state == MemberState::Dead && known.1 != MemberState::Dead;
                let last_received = record.received_at;
                *record = MemberRecord {
                    update,
                    since: now,
                    received_at: last_received,
                    fast_suspicion: false,
                    sends_left: sends,
                };
                if died {
                    actions.push(TableAction::Died(update.incarnation));
                }
            }
            None => {
                let record = MemberRecord {
                    update,
                    since: now,
                    received_at: None,
                    fast_suspicion: false,
                    sends_left: sends,
                };
                self.changed_at = now;
                self.members.insert(update.incarnation, record);
                self.retire_older_incarnations(now, update, actions);
            }
        }
    }

    /// Declares earlier incarnations dead, since a later one at the same address proves that they ended.
    fn retire_older_incarnations(
        &mut self,
        now: TimePoint,
        newer: MemberUpdate,
        actions: &mut Vec<TableAction>,
    ) {
        for record in self.members.values_mut() {
            let is_older = record.update.address == newer.address
                && record.update.incarnation < newer.incarnation
                && record.update.state != MemberState::Dead;
            if is_older {
                record.update.state = MemberState::Dead;
                record.since = now;
                record.sends_left = SEND_FACTOR;
                actions.push(TableAction::Died(record.update.incarnation));
            }
        }
    }
}
