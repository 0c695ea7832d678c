use super::{CallOutcome, LogRecord};
use std::collections::{BTreeMap, HashMap};

/// Number of requests with the same route and outcome that arrived within the same time window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountRow {
    /// Seconds from the earliest line to the start of the window.
    pub window_start: u64,
    /// Name of the route; `-` for requests without one.
    pub route: String,
    /// How the requests ended.
    pub outcome: CallOutcome,
    /// Number of requests.
    pub requests: u64,
}

/// A run that a host has opened and not yet ended.
#[derive(Debug, Clone)]
struct OpenRun {
    host: String,
    route: String,
    arrived_at: f64,
}

/// Counts requests by the time window in which they arrived, their route and their outcome.
#[derive(Debug, Clone)]
pub struct CallAccount {
    window_s: f64,
    first_line_at: Option<f64>,
    open_runs: HashMap<String, OpenRun>,
    ended: Vec<(f64, String, CallOutcome)>,
}

impl CallAccount {
    /// Creates an empty account with time windows of `window_s` seconds.
    pub fn new(window_s: u32) -> Self {
        let window_s = f64::from(window_s.max(1));
        Self { window_s, first_line_at: None, open_runs: HashMap::new(), ended: Vec::new() }
    }

    /// Adds a log line; the lines of one host must be added in their order.
    pub fn add_record(&mut self, record: &LogRecord) {
        self.first_line_at =
            Some(self.first_line_at.map_or(record.time, |first| first.min(record.time)));
        let request = record.text("request");
        match record.event.as_str() {
            "started" => self.end_lost_runs(&record.host),
            "run_opened" => {
                let run = OpenRun {
                    host: record.host.clone(),
                    route: record.text("route").to_owned(),
                    arrived_at: arrival_time(record, "age_ms"),
                };
                self.open_runs.insert(request.to_owned(), run);
            }
            _ => {
                if let Some(outcome) = CallOutcome::from_record(record) {
                    self.open_runs.remove(request);
                    let route = record.text("route").to_owned();
                    self.ended.push((arrival_time(record, "took_ms"), route, outcome));
                }
            }
        }
    }

    /// Returns the rows, ordered by window, route and outcome. Runs that no line has ended are counted as lost
    /// with their hosts.
    pub fn rows(&self) -> Vec<AccountRow> {
        let first_line_at = self.first_line_at.unwrap_or_default();
        let mut counts: BTreeMap<(u64, String, CallOutcome), u64> = BTreeMap::new();
        let lost = self
            .open_runs
            .values()
            .map(|run| (run.arrived_at, run.route.clone(), CallOutcome::LostWithHost));
        for (arrived_at, route, outcome) in self.ended.iter().cloned().chain(lost) {
            let window_start =
                ((arrived_at - first_line_at).max(0.0) / self.window_s).floor() * self.window_s;
            *counts.entry((window_start as u64, route, outcome)).or_default() += 1;
        }
        counts
            .into_iter()
            .map(|((window_start, route, outcome), requests)| AccountRow {
                window_start,
                route,
                outcome,
                requests,
            })
            .collect()
    }

    /// Ends the open runs of a host that has restarted: they were lost with its previous process.
    fn end_lost_runs(&mut self, host: &str) {
        let open_runs = std::mem::take(&mut self.open_runs);
        for (request, run) in open_runs {
            if run.host == host {
                self.ended.push((run.arrived_at, run.route, CallOutcome::LostWithHost));
            } else {
                self.open_runs.insert(request, run);
            }
        }
    }
}

/// Returns when the request arrived: the time of the line minus the age that the field `age_field` holds.
fn arrival_time(record: &LogRecord, age_field: &str) -> f64 {
    record.time - record.millis(age_field).unwrap_or_default().as_secs_f64()
}
