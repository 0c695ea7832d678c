use super::SlotAccount;
use crate::keys::{ServerKey, TimePoint};
use crate::limits::OwnerTerm;
use std::collections::HashMap;
use std::time::Duration;

/// The accounts from which a host grants places as the owner of contended servers.
#[derive(Debug, Default)]
pub struct SlotLedger {
    accounts: HashMap<ServerKey, SlotAccount>,
    /// How long this host has been checking its ownership without a gap.
    term: OwnerTerm,
}

impl SlotLedger {
    /// The account of a server with `slots` slots, which is opened if there is none. `answer_time` is the mean time of
    /// its answers, if this host knows it.
    pub fn open(
        &mut self,
        now: TimePoint,
        server: ServerKey,
        slots: u32,
        answer_time: Option<Duration>,
    ) -> &mut SlotAccount {
        let account = self.accounts.entry(server);
        account.or_insert_with(|| SlotAccount::new(now, slots, answer_time))
    }

    /// The account of a server, if there is one.
    pub fn get(&mut self, server: ServerKey) -> Option<&mut SlotAccount> {
        self.accounts.get_mut(&server)
    }

    /// Drops everything that this host granted if it was suspended since its last check: it may have been replaced, and
    /// the requests that waited have gone. Must be called before each decision, since messages that arrived during the
    /// suspension may be handled before the next check.
    pub fn drop_if_suspended(&mut self, now: TimePoint) {
        if self.term.is_broken(now) {
            self.term.renew(now);
            self.accounts.clear();
        }
    }

    /// All accounts.
    pub fn accounts(&mut self) -> impl Iterator<Item = (ServerKey, &mut SlotAccount)> {
        self.accounts.iter_mut().map(|(server, account)| (*server, account))
    }

    /// The term for which this host has been checking its ownership without a gap.
    pub fn term(&self) -> OwnerTerm {
        self.term
    }

    /// Drops servers for which `is_kept` returns false: those that are no longer contended, and those that this host has
    /// not owned ever since the last check. Must be called several times a second. After a longer gap this host was
    /// suspended and may have been replaced, so it drops everything that it granted.
    pub fn retain(&mut self, now: TimePoint, is_kept: impl Fn(ServerKey, &SlotAccount) -> bool) {
        let is_unbroken = self.term.renew(now);
        self.accounts.retain(|server, account| {
            account.expire(now);
            is_unbroken && is_kept(*server, account)
        });
    }
}
