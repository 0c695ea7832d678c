//! Sums the repeats of a service as the users' platform does, over all servers and whichever host sent them.

use crate::retries::RetryBounds;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The arrival of a request at a server, whatever became of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestArrival {
    /// Request id.
    pub request: String,
    /// When it arrived.
    pub at: Instant,
    /// Whether the server took it up to read its prompt only.
    pub is_read: bool,
}

/// A window in which more repeats arrived than the bounds allow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatExcess {
    /// Repeats that arrived.
    pub repeats: usize,
    /// Repeats that were allowed.
    pub allowed: f64,
}

/// Repeats of the requests to a service: all arrivals of a request but its first one. The first read of its prompt that a
/// server takes up is not an arrival of its own; one that is rejected is.
#[derive(Debug, Clone, Default)]
pub struct RepeatSum {
    /// When the repeats arrived, in ascending order.
    repeats: Vec<Instant>,
}

impl RepeatSum {
    /// Sums the repeats among the arrivals at all servers of a service.
    pub fn of(arrivals: impl IntoIterator<Item = RequestArrival>) -> Self {
        let mut by_request: BTreeMap<String, Vec<RequestArrival>> = BTreeMap::new();
        for arrival in arrivals {
            by_request.entry(arrival.request.clone()).or_default().push(arrival);
        }
        Self::at(by_request.into_values().flat_map(repeats_of_request).collect())
    }

    /// The sum of repeats that arrived at these times.
    pub fn at(mut repeats: Vec<Instant>) -> Self {
        repeats.sort_unstable();
        Self { repeats }
    }

    /// Number of repeats.
    pub fn count(&self) -> usize {
        self.repeats.len()
    }

    /// The window in which repeats exceed the bounds most; `None` if they do in none. `asked` contains when callers sent
    /// requests to the service, in ascending order. A window's requests are those in it, in the one before it, or in the
    /// one half a window earlier, whichever are most.
    pub fn worst_excess(&self, bounds: &RetryBounds, asked: &[Instant]) -> Option<RepeatExcess> {
        let excesses = self.repeats.iter().filter_map(|start| {
            let repeats = count_in(&self.repeats, *start, bounds.window);
            let allowed = bounds.ratio * most_requests(asked, *start, bounds.window) as f64;
            let allowed = allowed + bounds.slack;
            (repeats as f64 > allowed).then_some(RepeatExcess { repeats, allowed })
        });
        excesses.max_by(|one, other| {
            (one.repeats as f64 - one.allowed).total_cmp(&(other.repeats as f64 - other.allowed))
        })
    }
}

fn repeats_of_request(mut arrivals: Vec<RequestArrival>) -> Vec<Instant> {
    arrivals.sort_by_key(|arrival| arrival.at);
    if let Some(read) = arrivals.iter().position(|arrival| arrival.is_read) {
        arrivals.remove(read);
    }
    arrivals.into_iter().skip(1).map(|arrival| arrival.at).collect()
}

fn count_in(times: &[Instant], start: Instant, length: Duration) -> usize {
    let first = times.partition_point(|at| *at < start);
    times.partition_point(|at| *at < start + length) - first
}

fn most_requests(asked: &[Instant], start: Instant, window: Duration) -> usize {
    let earlier = [Duration::ZERO, window / 2, window];
    let starts = earlier.into_iter().filter_map(|earlier| start.checked_sub(earlier));
    starts.map(|start| count_in(asked, start, window)).max().unwrap_or_default()
}
