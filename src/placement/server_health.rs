use super::CircuitBreaker;
use crate::keys::TimePoint;
use std::time::Duration;

/// Weight of one answer in the error share; about the last eight answers count.
const SHARE_WEIGHT: f64 = 0.12;
/// The error share halves in this time without answers, so that a mended server is tried again.
const SHARE_HALF_LIFE: Duration = Duration::from_secs(3);

/// What happened between this host and a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerEvent {
    /// Something is sent.
    Sent,
    /// It answered a call that tells nothing of how it serves, as one for a hold.
    Answered,
    /// It served a request.
    Served,
    /// It answered, but with an error or a refusal.
    Errored,
    /// No connection, no answer in time, or a broken one.
    Unresponsive,
}

/// How a server answered lately: a circuit breaker for silence, an error share for the rest.
#[derive(Debug, Clone, Default)]
pub struct ServerHealth {
    gate: CircuitBreaker,
    share: f64,
    noted_at: TimePoint,
}

impl ServerHealth {
    /// Takes note of what happened.
    pub fn record(&mut self, now: TimePoint, note: ServerEvent) {
        match note {
            ServerEvent::Sent => self.record_sent(now),
            ServerEvent::Answered => self.record_abandoned(),
            ServerEvent::Served => self.record_success(now),
            ServerEvent::Errored => self.record_error(now),
            ServerEvent::Unresponsive => self.record_unresponsive(now),
        }
    }

    /// Whether new work may be offered.
    pub fn admits(&self, now: TimePoint) -> bool {
        self.gate.admits(now)
    }

    /// Work is sent; consumes the trial of a half-open gate.
    pub fn record_sent(&mut self, now: TimePoint) {
        self.gate.record_sent(now);
    }

    /// A proper answer came.
    pub fn record_success(&mut self, now: TimePoint) {
        self.gate.record_success();
        self.weigh(now, 0.0);
    }

    /// An answer came, but it was an error; errors alone do not open the gate.
    pub fn record_error(&mut self, now: TimePoint) {
        self.gate.record_abandoned();
        self.weigh(now, 1.0);
    }

    /// No connection, no answer in time, or a broken one.
    pub fn record_unresponsive(&mut self, now: TimePoint) {
        self.gate.record_failure(now);
        self.weigh(now, 1.0);
    }

    /// The work was given up for reasons of its own.
    pub fn record_abandoned(&mut self) {
        self.gate.record_abandoned();
    }

    /// Share of the latest answers that were errors, from 0 to 1.
    pub fn error_rate(&self, now: TimePoint) -> f64 {
        let halves = now.since(self.noted_at).as_secs_f64() / SHARE_HALF_LIFE.as_secs_f64();
        self.share * 0.5_f64.powf(halves)
    }

    fn weigh(&mut self, now: TimePoint, error: f64) {
        let share = self.error_rate(now);
        self.share = share + (error - share) * SHARE_WEIGHT;
        self.noted_at = now;
    }
}
