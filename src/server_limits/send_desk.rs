use super::send_account::SendAccount;
use super::{SendAsk, SendDecision, ServerLimit};
use crate::keys::{IncarnationId, ServerKey, TimePoint};
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
pub struct SendDesk {
    accounts: HashMap<ServerKey, SendAccount>,
    kept_at: TimePoint,
}

impl SendDesk {
    /// Decides on a question about a server that has `limit`.
    pub fn receive(
        &mut self,
        now: TimePoint,
        from: IncarnationId,
        ask: &SendAsk,
        limit: ServerLimit,
    ) -> SendDecision {
        let account = self.accounts.entry(ask.news.server);
        account.or_insert_with(|| SendAccount::new(now)).receive(now, from, ask, limit)
    }

    /// Forgets servers that have no limit any more, or another owner: what that one grants meanwhile is not known
    /// here. Called several times a second; if it was not, this host was suspended, others took its place, and it
    /// learns anew.
    pub fn retain(&mut self, now: TimePoint, is_owned: impl Fn(ServerKey) -> bool) {
        if now.since(self.kept_at) > LEARN_TIME {
            self.accounts.clear();
        }
        self.kept_at = now;
        self.accounts.retain(|server, account| {
            account.expire(now);
            is_owned(*server)
        });
    }
}
