use super::CircuitBreaker;
use crate::keys::{IdKey, NameKey, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

/// Two servers of a domain that fall silent within this time, without an answer of any between,
/// mean that the domain is cut off. A call behind a cut fails after 0.2 s.
const SILENCE_WINDOW: Duration = Duration::from_millis(1000);

#[derive(Debug, Clone, Default)]
struct DomainBreaker {
    gate: CircuitBreaker,
    /// The server that fell silent last, and when.
    silent: Option<(IdKey, TimePoint)>,
    /// The breaker is open: the domain is left out but for trials.
    is_open: bool,
}

/// Circuit breakers of whole failure domains.
///
/// Behind a cut, each server would have to fail twice before its own breaker opens, and each failure
/// costs some request 0.2 s. Two silent servers open the breaker of their domain until a trial is
/// answered.
#[derive(Debug, Clone, Default)]
pub struct DomainBreakers {
    gates: HashMap<NameKey, DomainBreaker>,
}

impl DomainBreakers {
    /// Whether servers of a domain may be offered work.
    pub fn admits(&self, now: TimePoint, domain: NameKey) -> bool {
        self.gates.get(&domain).is_none_or(|entry| !entry.is_open || entry.gate.admits(now))
    }

    /// Work is sent; consumes the trial of a half-open breaker.
    pub fn record_sent(&mut self, now: TimePoint, domain: NameKey) {
        if let Some(entry) = self.gates.get_mut(&domain) {
            entry.gate.record_sent(now);
        }
    }

    /// A server of the domain answered, in whatever way.
    pub fn record_answer(&mut self, domain: NameKey) {
        self.gates.remove(&domain);
    }

    /// A server of the domain did not answer; true if that opens the breaker.
    pub fn record_unresponsive(&mut self, now: TimePoint, domain: NameKey, server: IdKey) -> bool {
        let entry = self.gates.entry(domain).or_default();
        let second =
            entry.silent.is_some_and(|(id, at)| id != server && now.since(at) < SILENCE_WINDOW);
        entry.silent = Some((server, now));
        if !second && !entry.is_open {
            return false;
        }
        entry.gate.trip(now);
        !std::mem::replace(&mut entry.is_open, true)
    }
}
