use crate::keys::TimePoint;
use std::collections::VecDeque;
use std::time::Duration;

/// Parts of the window that are counted together; finer ones only cost memory.
const PARTS: u32 = 20;
/// Part of the ratio that this host uses, so that all hosts together stay below it although
/// windows slide and requests of one window are repeated in the next.
const RATIO_MARGIN: f64 = 0.7;
/// Part of the slack that hosts share out evenly, for repeats that need no question. The rest is in the pools of the
/// failure domains.
pub(super) const OWN_PART: f64 = 0.25;

/// Bounds on repeats, which hold over all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beyond that, over all hosts.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Failure domains that have hosts; each has a pool of the slack.
    pub domains: usize,
}

#[derive(Debug, Clone, Copy)]
struct WindowPart {
    started_at: TimePoint,
    requests: u32,
    retries: u32,
}

/// Repeats that this host may make of one service's requests without asking anybody: a ratio of its own requests, and
/// its even share of a part of the slack.
#[derive(Debug, Clone, Default)]
pub struct RetryWindow {
    parts: VecDeque<WindowPart>,
}

impl RetryWindow {
    /// A request came in.
    pub fn record_request(&mut self, now: TimePoint, bounds: &RetryBounds) {
        self.part(now, bounds).requests += 1;
    }

    /// Takes `count` repeats if the window has room for all of them; `hosts` share that part of the slack.
    pub fn try_take(
        &mut self,
        now: TimePoint,
        bounds: &RetryBounds,
        hosts: usize,
        count: u32,
    ) -> bool {
        let allowed = self.room(now, bounds, hosts) >= f64::from(count);
        if allowed {
            self.part(now, bounds).retries += count;
        }
        allowed
    }

    fn room(&mut self, now: TimePoint, bounds: &RetryBounds, hosts: usize) -> f64 {
        self.forget(now, bounds);
        let requests: u32 = self.parts.iter().map(|part| part.requests).sum();
        let repeats: u32 = self.parts.iter().map(|part| part.retries).sum();
        let share = bounds.slack * OWN_PART / hosts.max(1) as f64;
        bounds.ratio * RATIO_MARGIN * f64::from(requests) + share - f64::from(repeats)
    }

    fn part(&mut self, now: TimePoint, bounds: &RetryBounds) -> &mut WindowPart {
        self.forget(now, bounds);
        let length = bounds.window / PARTS;
        let current = self.parts.back().is_some_and(|part| now.since(part.started_at) < length);
        if !current {
            self.parts.push_back(WindowPart { started_at: now, requests: 0, retries: 0 });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }

    fn forget(&mut self, now: TimePoint, bounds: &RetryBounds) {
        let kept = bounds.window + bounds.window / PARTS;
        while self.parts.front().is_some_and(|part| now.since(part.started_at) > kept) {
            self.parts.pop_front();
        }
    }
}
