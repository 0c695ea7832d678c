use super::{CircuitBreaker, ErrorRate};
use crate::keys::TimePoint;

/// An event in the communication with a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerEvent {
    /// Work was sent to the server.
    Sent,
    /// The server answered a call that does not show how well it serves, such as one for a hold.
    Answered,
    /// The server served a request.
    Served,
    /// The server answered with an error or a refusal.
    Errored,
    /// The server broke off the connection after the request was sent. Its own circuit breaker counts this as an error,
    /// since a single connection may have failed; the reports of several hosts tell the two apart.
    BrokeOff,
    /// The connection failed, or the answer was late or incomplete.
    Unresponsive,
    /// The request's own deadline passed before an answer could be called late. The circuit breaker of this host counts
    /// it as [`Self::Unresponsive`], but it is no evidence for other hosts.
    OutOfTime,
}

/// Recent health of a server: a circuit breaker for missing answers and an error rate for the answers
/// that arrive.
#[derive(Debug, Clone, Default)]
pub struct ServerHealth {
    breaker: CircuitBreaker,
    error_rate: ErrorRate,
}

impl ServerHealth {
    /// Records an event.
    pub fn record(&mut self, now: TimePoint, event: ServerEvent) {
        match event {
            ServerEvent::Sent => self.record_sent(now),
            ServerEvent::Answered => self.record_abandoned(),
            ServerEvent::Served => self.record_success(now),
            ServerEvent::Errored | ServerEvent::BrokeOff => self.record_error(now),
            ServerEvent::Unresponsive | ServerEvent::OutOfTime => self.record_unresponsive(now),
        }
    }

    /// Whether new work may be sent.
    pub fn admits(&self, now: TimePoint) -> bool {
        self.breaker.admits(now)
    }

    /// Records that work is sent, which uses up the trial of a half-open breaker.
    pub fn record_sent(&mut self, now: TimePoint) {
        self.breaker.record_sent(now);
    }

    /// Records a successful answer.
    pub fn record_success(&mut self, now: TimePoint) {
        self.breaker.record_success();
        self.error_rate.record(now, false);
    }

    /// Records an answer with an error. Errors alone do not open the breaker.
    pub fn record_error(&mut self, now: TimePoint) {
        self.breaker.record_abandoned();
        self.error_rate.record(now, true);
    }

    /// Records that the connection failed, or that the answer was late or incomplete.
    pub fn record_unresponsive(&mut self, now: TimePoint) {
        self.breaker.record_failure(now);
        self.error_rate.record(now, true);
    }

    /// Records that work was abandoned for reasons unrelated to the server.
    pub fn record_abandoned(&mut self) {
        self.breaker.record_abandoned();
    }

    /// Decaying fraction of recent answers that were errors, from 0 to 1.
    pub fn error_rate(&self, now: TimePoint) -> f64 {
        self.error_rate.at(now)
    }
}
