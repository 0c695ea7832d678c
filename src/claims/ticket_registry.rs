use crate::keys::{IncarnationId, TimePoint};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

const TICKET_LIFETIME: Duration = Duration::from_secs(600);
const MAX_TICKETS: usize = 20_000;

/// Permission to run one request once, on the incarnation that issued the ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TicketId {
    /// The only incarnation where the ticket can be spent.
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
        let invalid = || format!("{text:?} is not a ticket");
        let rest = text.strip_prefix("ticket-").ok_or_else(invalid)?;
        let (holder, secret) = rest.split_once('-').ok_or_else(invalid)?;
        let holder = u64::from_str_radix(holder, 16).map_err(|_error| invalid())?;
        let secret = u64::from_str_radix(secret, 16).map_err(|_error| invalid())?;
        Ok(Self { holder: IncarnationId(holder), secret })
    }
}

/// Result of presenting a ticket to its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketVerdict {
    /// The ticket had not been spent: the request may run here now.
    Spend,
    /// The ticket was spent before; the outcome table has the status of its request.
    Spent,
    /// This incarnation did not issue the ticket, or the ticket has expired.
    Void,
}

/// Tickets that this incarnation issued. They need neither the store nor synchronised clocks, and a
/// ticket never has two holders.
#[derive(Debug, Default)]
pub struct TicketRegistry {
    issued: HashMap<u64, (TimePoint, bool)>,
}

impl TicketRegistry {
    /// Issues a ticket with a fresh random `secret`, or `None` if too many tickets are outstanding.
    pub fn issue(
        &mut self,
        now: TimePoint,
        holder: IncarnationId,
        secret: u64,
    ) -> Option<TicketId> {
        self.issued.retain(|_, (at, _)| now.since(*at) < TICKET_LIFETIME);
        if self.issued.len() >= MAX_TICKETS {
            return None;
        }
        self.issued.insert(secret, (now, false));
        Some(TicketId { holder, secret })
    }

    /// Spends a ticket, if it is valid and unspent.
    pub fn present(&mut self, now: TimePoint, ticket: TicketId) -> TicketVerdict {
        match self.issued.get_mut(&ticket.secret) {
            Some((at, spent)) if now.since(*at) < TICKET_LIFETIME => {
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
