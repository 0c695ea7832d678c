use super::send_account::SendAccount;
use super::{PermitDecision, PermitRequest, ServerLimit};
use crate::keys::{IncarnationId, ServerKey, TimePoint};
use crate::limits::OwnerTerm;
use std::collections::HashMap;
use std::time::Duration;

/// Window in which an owner counts what was sent: the four seconds of a server's limit, and what a request takes
/// at most on its way.
pub(super) const COUNT_WINDOW: Duration = Duration::from_millis(4250);
/// A new owner grants nothing for this long, while hosts tell it what they sent: 300 hosts hear of a limit
/// within 0.4 s, and each tells what it sent within 0.25 s.
pub(super) const LEARN_TIME: Duration = Duration::from_millis(800);

/// What a host grants as the owner of servers that have a limit.
#[derive(Debug, Default)]
pub struct SendLedger {
    accounts: HashMap<ServerKey, SendAccount>,
    /// How long they have been kept without a break.
    term: OwnerTerm,
}

impl SendLedger {
    /// Decides on a question about a server that has `limit`.
    pub fn receive(
        &mut self,
        now: TimePoint,
        from: IncarnationId,
        ask: &PermitRequest,
        limit: ServerLimit,
    ) -> PermitDecision {
        let account = self.accounts.entry(ask.update.server);
        account.or_insert_with(|| SendAccount::new(now)).receive(now, from, ask, limit)
    }

    /// How long this owner has looked after its accounts.
    pub fn term(&self) -> OwnerTerm {
        self.term
    }

    /// Forgets servers that have no limit any more, or of which this host has not been the owner ever since the last look:
    /// what another one granted meanwhile is not known here. Called several times a second; if it was not, this host was
    /// suspended, others took its place, and it learns anew.
    pub fn retain(&mut self, now: TimePoint, has_owned: impl Fn(ServerKey) -> bool) {
        let is_unbroken = self.term.renew(now);
        self.accounts.retain(|server, account| {
            account.expire(now);
            is_unbroken && has_owned(*server)
        });
    }
}
