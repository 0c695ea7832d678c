use super::OwnShare;
use crate::keys::TimePoint;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of parts into which the window is divided for counting. More of them would only cost memory.
const PART_COUNT: u32 = 20;
/// Fraction of the ratio that this host uses. The margin keeps all hosts together below the ratio although windows slide
/// and requests of one window are retried in the next.
const RATIO_MARGIN: f64 = 0.7;
/// Bounds on retries, which apply to all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in addition to the ratio, over all hosts.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Failure domains that have hosts; each has its own pool.
    pub domains: usize,
}

#[derive(Debug, Clone, Copy)]
struct WindowPart {
    started_at: TimePoint,
    requests: u32,
    retries: u32,
}

/// Retries of one service's requests that this host may make without a grant of an owner: a ratio of its own requests,
/// plus its share of the slack.
#[derive(Debug, Clone, Default)]
pub struct RetryWindow {
    parts: VecDeque<WindowPart>,
}

impl RetryWindow {
    /// Records that a request arrived.
    pub fn record_request(&mut self, now: TimePoint, bounds: &RetryBounds) {
        self.part(now, bounds).requests += 1;
    }

    /// Takes `count` retries if the window has room for all of them.
    pub fn try_take(
        &mut self,
        now: TimePoint,
        bounds: &RetryBounds,
        share: OwnShare,
        count: u32,
    ) -> bool {
        let is_allowed = self.has_room(now, bounds, share, count);
        if is_allowed {
            self.part(now, bounds).retries += count;
        }
        is_allowed
    }

    /// Whether the window has room for `count` retries.
    pub fn has_room(
        &mut self,
        now: TimePoint,
        bounds: &RetryBounds,
        share: OwnShare,
        count: u32,
    ) -> bool {
        self.room(now, bounds, share) >= f64::from(count)
    }

    fn room(&mut self, now: TimePoint, bounds: &RetryBounds, share: OwnShare) -> f64 {
        self.drop_old(now, bounds);
        let requests: u32 = self.parts.iter().map(|part| part.requests).sum();
        let retries: u32 = self.parts.iter().map(|part| part.retries).sum();
        bounds.ratio * RATIO_MARGIN * f64::from(requests) + share.retries() - f64::from(retries)
    }

    fn part(&mut self, now: TimePoint, bounds: &RetryBounds) -> &mut WindowPart {
        self.drop_old(now, bounds);
        let length = bounds.window / PART_COUNT;
        let has_current = self.parts.back().is_some_and(|part| now.since(part.started_at) < length);
        if !has_current {
            self.parts.push_back(WindowPart { started_at: now, requests: 0, retries: 0 });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }

    fn drop_old(&mut self, now: TimePoint, bounds: &RetryBounds) {
        let max_age = bounds.window + bounds.window / PART_COUNT;
        while self.parts.front().is_some_and(|part| now.since(part.started_at) > max_age) {
            self.parts.pop_front();
        }
    }
}
