use super::send_account::SendAccount;
use super::{PermitDecision, PermitRequest, ServerLimit};
use crate::keys::{IncarnationId, ServerKey, TimePoint};
use crate::limits::OwnerTerm;
use std::collections::HashMap;
use std::time::Duration;

/// Window in which an owner counts sent requests: the four seconds over which a server's limit applies, plus the longest
/// time that a request takes to reach the server.
pub(super) const COUNT_WINDOW: Duration = Duration::from_millis(4250);
/// How long a new owner grants nothing while hosts report what they sent: 300 hosts learn of a limit within 0.4 s, and
/// each of them reports its sends within 0.25 s.
pub(super) const LEARN_TIME: Duration = Duration::from_millis(800);

/// The accounts from which a host grants permits as the owner of servers that have a limit.
#[derive(Debug, Default)]
pub struct SendLedger {
    accounts: HashMap<ServerKey, SendAccount>,
    /// How long this host has been checking its ownership without a gap.
    term: OwnerTerm,
}

impl SendLedger {
    /// Decides on a permit request for a server that has `limit`.
    pub fn receive(
        &mut self,
        now: TimePoint,
        from: IncarnationId,
        request: &PermitRequest,
        limit: ServerLimit,
    ) -> PermitDecision {
        let account = self.accounts.entry(request.update.server);
        account.or_insert_with(|| SendAccount::new(now)).receive(now, from, request, limit)
    }

    /// The term for which this host has been checking its ownership without a gap.
    pub fn term(&self) -> OwnerTerm {
        self.term
    }

    /// Drops servers that no longer have a limit, or that this host has not owned ever since the last check: what another
    /// owner granted in between is unknown here. Must be called several times a second. After a longer gap, this host was
    /// suspended and may have been replaced, so it drops all servers and learns their sends again.
    pub fn retain(&mut self, now: TimePoint, has_owned: impl Fn(ServerKey) -> bool) {
        let is_unbroken = self.term.renew(now);
        self.accounts.retain(|server, account| {
            account.expire(now);
            is_unbroken && has_owned(*server)
        });
    }
}
