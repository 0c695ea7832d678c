use crate::keys::{IncarnationId, TimePoint};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

const KEEP: Duration = Duration::from_secs(600);
const MOST_TICKETS: usize = 20_000;

/// A permission to run one request once, on the incarnation that issued it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TicketId {
    /// The incarnation that alone may spend it.
    pub holder: IncarnationId,
    /// Unguessable number.
    pub secret: u64,
}

impl std::fmt::Display for TicketId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "ticket-{}-{:016x}", self.holder, self.secret)
    }
}

impl std::str::FromStr for TicketId {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = || format!("{text:?} is not a ticket");
        let rest = text.strip_prefix("ticket-").ok_or_else(wrong)?;
        let (holder, secret) = rest.split_once('-').ok_or_else(wrong)?;
        let holder = u64::from_str_radix(holder, 16).map_err(|_error| wrong())?;
        let secret = u64::from_str_radix(secret, 16).map_err(|_error| wrong())?;
        Ok(Self { holder: IncarnationId(holder), secret })
    }
}

/// What a presented ticket meets at its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketVerdict {
    /// It was never spent: the request may run now, here.
    Spend,
    /// It was spent before; the outcome book knows the rest.
    Spent,
    /// This incarnation never issued it, or it lapsed.
    Void,
}

/// Tickets that this incarnation issued; no store, no clock agreement, never two owners.
#[derive(Debug, Default)]
pub struct TicketRegistry {
    issued: HashMap<u64, (TimePoint, bool)>,
}

impl TicketRegistry {
    /// Issues a ticket with a fresh random `secret`; none if too many are out.
    pub fn issue(
        &mut self,
        now: TimePoint,
        holder: IncarnationId,
        secret: u64,
    ) -> Option<TicketId> {
        self.issued.retain(|_, (at, _)| now.since(*at) < KEEP);
        if self.issued.len() >= MOST_TICKETS {
            return None;
        }
        self.issued.insert(secret, (now, false));
        Some(TicketId { holder, secret })
    }

    /// Presents a ticket for running.
    pub fn present(&mut self, now: TimePoint, ticket: TicketId) -> TicketVerdict {
        match self.issued.get_mut(&ticket.secret) {
            Some((at, spent)) if now.since(*at) < KEEP => {
                if std::mem::replace(spent, true) {
                    TicketVerdict::Spent
                } else {
                    TicketVerdict::Spend
                }
            }
            _ => TicketVerdict::Void,
        }
    }
}
