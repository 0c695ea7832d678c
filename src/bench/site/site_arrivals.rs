use super::site_http::{SiteAnswer, WholeRequest, header};
use crate::host::lock;
use http::HeaderValue;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Length of the windows in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// All hosts have to know of a change of the limit after this.
const CONTACT: Duration = Duration::from_secs(3);
/// What a server may get of what its limit allows in a window, and requests beyond that.
const TOLERANCE: f64 = 1.5;
const SLACK: f64 = 5.0;

/// What a stand-in server says of its limit.
#[derive(Debug, Clone, Default)]
pub struct LimitAnnouncement {
    /// The limit that it means, in requests a second.
    pub limit: Option<f64>,
    /// What stands in its answers, a header each.
    pub values: Vec<String>,
    /// One of so many answers says nothing; none of them, if this is zero.
    pub omit_every: usize,
}

impl LimitAnnouncement {
    /// Names `limit` in each answer.
    pub fn of(limit: f64) -> Self {
        Self { limit: Some(limit), values: vec![limit.to_string()], omit_every: 0 }
    }
}

/// A window in which a server got more than its limit allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitExcess {
    /// Requests that arrived.
    pub arrived: usize,
    /// Requests that were allowed.
    pub allowed: f64,
}

#[derive(Debug, Default)]
struct ArrivalBook {
    speech: LimitAnnouncement,
    /// When answers began to name each limit, or none.
    named: Vec<(Instant, Option<f64>)>,
    arrivals: Vec<Instant>,
    answers: usize,
}

/// Counts the requests that arrive at a stand-in server, whatever becomes of them, and names its limit.
#[derive(Debug, Default)]
pub struct SiteArrivals(Mutex<ArrivalBook>);

impl SiteArrivals {
    /// Changes what the server says from now on.
    pub fn set(&self, speech: LimitAnnouncement) {
        lock(&self.0).speech = speech;
    }

    /// Forgets what has arrived and was named.
    pub fn clear(&self) {
        let mut book = lock(&self.0);
        book.arrivals.clear();
        book.named.clear();
    }

    /// A request arrived; the router's own calls have no id.
    pub(super) fn note(&self, request: &WholeRequest) {
        if header(request, "x-request-id").is_some() {
            lock(&self.0).arrivals.push(Instant::now());
        }
    }

    /// Names the limit in an answer.
    pub(super) fn name(&self, answer: SiteAnswer) -> SiteAnswer {
        let mut answer = answer?;
        let mut book = lock(&self.0);
        let speech = book.speech.clone();
        if book.named.last().and_then(|(_, limit)| *limit) != speech.limit {
            book.named.push((Instant::now(), speech.limit));
        }
        book.answers += 1;
        if speech.omit_every > 0 && book.answers.is_multiple_of(speech.omit_every) {
            return Ok(answer);
        }
        for value in &speech.values {
            if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
                answer.headers_mut().append("server-limit", value);
            }
        }
        Ok(answer)
    }

    /// Requests that have arrived.
    pub fn count(&self) -> usize {
        lock(&self.0).arrivals.len()
    }

    /// The window of all in which it got most beyond what its limit allows.
    ///
    /// A window counts if a limit was named throughout its last three seconds; the highest of them is allowed. What
    /// arrived in a window before the limit was first named counts as well.
    pub fn worst_excess(&self) -> Option<LimitExcess> {
        let book = lock(&self.0);
        let ends = book.arrivals.iter().enumerate();
        let excesses = ends.filter_map(|(place, end)| {
            let limit = book.limit_until(*end)?;
            let began = book.arrivals.partition_point(|at| *end - *at >= WINDOW);
            let allowed = limit.mul_add(TOLERANCE * WINDOW.as_secs_f64(), SLACK);
            let arrived = place + 1 - began;
            (arrived as f64 > allowed).then_some(LimitExcess { arrived, allowed })
        });
        excesses.max_by(|one, other| {
            (one.arrived as f64 - one.allowed).total_cmp(&(other.arrived as f64 - other.allowed))
        })
    }
}

impl ArrivalBook {
    /// The highest limit in the last seconds before `end`, if there was one throughout.
    fn limit_until(&self, end: Instant) -> Option<f64> {
        let from = end.checked_sub(CONTACT)?;
        let first = self.named.iter().rposition(|(at, _)| *at <= from)?;
        let limits = self.named[first..].iter().take_while(|(at, _)| *at <= end);
        limits
            .map(|(_, limit)| *limit)
            .try_fold(0.0, |highest: f64, limit| limit.map(|limit| highest.max(limit)))
    }
}
