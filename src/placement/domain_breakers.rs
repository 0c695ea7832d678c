use super::CircuitBreaker;
use crate::keys::{IdKey, NameKey, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

/// Two different servers of a domain that stop responding within this time, with no answer from the
/// domain in between, indicate a network partition. A call into a partitioned domain fails after
/// 0.2 s.
const UNRESPONSIVE_WINDOW: Duration = Duration::from_millis(1000);

#[derive(Debug, Clone, Default)]
struct DomainBreaker {
    breaker: CircuitBreaker,
    /// The server that failed to respond most recently, and when.
    last_unresponsive: Option<(IdKey, TimePoint)>,
    /// Whether the breaker is open: the domain then receives trial requests only.
    is_open: bool,
}

/// Circuit breakers of whole failure domains.
///
/// In a partitioned domain, each server would have to fail twice before its own breaker opens, and
/// each failure delays a request by 0.2 s. Two unresponsive servers therefore open the breaker of
/// their domain, which stays open until a trial request is answered.
#[derive(Debug, Clone, Default)]
pub struct DomainBreakers {
    breakers: HashMap<NameKey, DomainBreaker>,
}

impl DomainBreakers {
    /// Whether work may be sent to servers of `domain`.
    pub fn admits(&self, now: TimePoint, domain: NameKey) -> bool {
        self.breakers.get(&domain).is_none_or(|entry| !entry.is_open || entry.breaker.admits(now))
    }

    /// Records that work is sent, which uses up the trial of a half-open breaker.
    pub fn record_sent(&mut self, now: TimePoint, domain: NameKey) {
        if let Some(entry) = self.breakers.get_mut(&domain) {
            entry.breaker.record_sent(now);
        }
    }

    /// Records any answer from a server of the domain, which closes the breaker.
    pub fn record_answer(&mut self, domain: NameKey) {
        self.breakers.remove(&domain);
    }

    /// Records that a server of the domain did not respond; returns whether this opens the breaker. A host that reaches no
    /// server on its own paths learns nothing of a domain from that: the host that forwarded the call may be cut off too.
    pub fn record_unresponsive(
        &mut self,
        now: TimePoint,
        domain: NameKey,
        server: IdKey,
        is_cut_off: bool,
    ) -> bool {
        if is_cut_off {
            return false;
        }
        let entry = self.breakers.entry(domain).or_default();
        let is_second = entry
            .last_unresponsive
            .is_some_and(|(id, at)| id != server && now.since(at) < UNRESPONSIVE_WINDOW);
        entry.last_unresponsive = Some((server, now));
        if !is_second && !entry.is_open {
            return false;
        }
        entry.breaker.trip(now);
        !std::mem::replace(&mut entry.is_open, true)
    }
}
