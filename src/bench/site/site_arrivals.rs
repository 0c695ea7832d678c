use super::repeat_sum::RequestArrival;
use super::site_http::{BufferedRequest, SiteAnswer, header};
use crate::host::lock;
use http::HeaderValue;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Length of the window in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time within which all hosts must apply a changed limit.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// A server may receive [`TOLERANCE`] times the requests that its limit allows in a window, plus [`SLACK`].
const TOLERANCE: f64 = 1.5;
const SLACK: f64 = 5.0;

/// How a stand-in server announces its limit in responses.
#[derive(Debug, Clone, Default)]
pub struct LimitAnnouncement {
    /// The limit in requests per second against which arrivals are checked.
    pub limit: Option<f64>,
    /// Values of the limit header, one header each.
    pub values: Vec<String>,
    /// Omits the headers from every n-th response; from none if this is zero.
    pub omit_every: usize,
}

impl LimitAnnouncement {
    /// Announces `limit` in every response.
    pub fn of(limit: f64) -> Self {
        Self { limit: Some(limit), values: vec![limit.to_string()], omit_every: 0 }
    }
}

/// A window in which a server received more requests than its limit allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitExcess {
    /// Requests that arrived.
    pub arrived: usize,
    /// Requests that were allowed.
    pub allowed: f64,
}

#[derive(Debug, Default)]
struct ArrivalHistory {
    announcement: LimitAnnouncement,
    /// The limits in the order in which responses announced them, with the time of the first such response; `None`
    /// if no limit was announced.
    announced: Vec<(Instant, Option<f64>)>,
    arrivals: Vec<Instant>,
    /// All requests that arrived, also those before the last [`SiteArrivals::clear`].
    requests: Vec<RequestArrival>,
    answers: usize,
}

/// Counts the requests that arrive at a stand-in server, whatever their outcome, and announces its limit.
#[derive(Debug, Default)]
pub struct SiteArrivals(Mutex<ArrivalHistory>);

impl SiteArrivals {
    /// Sets what later responses announce.
    pub fn set(&self, announcement: LimitAnnouncement) {
        lock(&self.0).announcement = announcement;
    }

    /// Clears the recorded arrivals and announced limits.
    pub fn clear(&self) {
        let mut history = lock(&self.0);
        history.arrivals.clear();
        history.announced.clear();
    }

    /// Records the arrival of a request. The router's own calls have no id and are not counted.
    pub(super) fn record(&self, request: &BufferedRequest) {
        if let Some(id) = header(request, "x-request-id") {
            let at = Instant::now();
            let mut history = lock(&self.0);
            history.arrivals.push(at);
            let request = id.to_owned();
            history.requests.push(RequestArrival { request, at, is_read: false });
        }
    }

    /// Records that the server took up the last arrival of a request to read its prompt only.
    pub(super) fn record_read(&self, id: &str) {
        let mut history = lock(&self.0);
        let last = history.requests.iter_mut().rev().find(|arrival| arrival.request == id);
        if let Some(arrival) = last {
            arrival.is_read = true;
        }
    }

    /// All requests that have arrived over all incarnations, oldest first.
    pub fn requests(&self) -> Vec<RequestArrival> {
        lock(&self.0).requests.clone()
    }

    /// Adds the limit headers to a response.
    pub(super) fn add_limit_headers(&self, answer: SiteAnswer) -> SiteAnswer {
        let mut answer = answer?;
        let mut history = lock(&self.0);
        let announcement = history.announcement.clone();
        if history.announced.last().and_then(|(_, limit)| *limit) != announcement.limit {
            history.announced.push((Instant::now(), announcement.limit));
        }
        history.answers += 1;
        if announcement.omit_every > 0 && history.answers.is_multiple_of(announcement.omit_every) {
            return Ok(answer);
        }
        for value in &announcement.values {
            if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
                answer.headers_mut().append("server-limit", value);
            }
        }
        Ok(answer)
    }

    /// Number of requests that have arrived.
    pub fn count(&self) -> usize {
        lock(&self.0).arrivals.len()
    }

    /// The window in which arrivals exceeded the allowed number most; `None` if no window exceeded it.
    ///
    /// A window is checked only if a limit was announced throughout its last three seconds; the highest of these limits
    /// applies. Requests that arrived in such a window before the limit was first announced count as well.
    pub fn worst_excess(&self) -> Option<LimitExcess> {
        let history = lock(&self.0);
        let ends = history.arrivals.iter().enumerate();
        let excesses = ends.filter_map(|(index, end)| {
            let limit = history.limit_until(*end)?;
            let window_start = history.arrivals.partition_point(|at| *end - *at >= WINDOW);
            let allowed = limit.mul_add(TOLERANCE * WINDOW.as_secs_f64(), SLACK);
            let arrived = index + 1 - window_start;
            (arrived as f64 > allowed).then_some(LimitExcess { arrived, allowed })
        });
        excesses.max_by(|one, other| {
            (one.arrived as f64 - one.allowed).total_cmp(&(other.arrived as f64 - other.allowed))
        })
    }
}

impl ArrivalHistory {
    /// The highest limit in the last [`PROPAGATION_TIME`] before `end`; `None` unless a limit was announced throughout.
    fn limit_until(&self, end: Instant) -> Option<f64> {
        let from = end.checked_sub(PROPAGATION_TIME)?;
        let first = self.announced.iter().rposition(|(at, _)| *at <= from)?;
        let in_force = self.announced[first..].iter().take_while(|(at, _)| *at <= end);
        in_force
            .map(|(_, limit)| *limit)
            .try_fold(0.0, |highest: f64, limit| limit.map(|limit| highest.max(limit)))
    }
}
