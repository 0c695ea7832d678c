use super::{CallOutcome, LogRecord};
use std::collections::{BTreeMap, HashMap};

/// How many requests ended in one way, on one route, within one window of time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountRow {
    /// Seconds from the first line to the beginning of the window.
    pub window: u64,
    /// Name of the route; `-` for requests that were on none.
    pub route: String,
    /// How they ended.
    pub outcome: CallOutcome,
    /// How many.
    pub requests: u64,
}

/// A run that a host has opened and not yet ended.
#[derive(Debug, Clone)]
struct OpenRun {
    host: String,
    route: String,
    came_at: f64,
}

/// Requests counted by the window in which they came, their route and how they ended.
#[derive(Debug, Clone)]
pub struct CallAccount {
    window: f64,
    began: Option<f64>,
    open: HashMap<String, OpenRun>,
    ended: Vec<(f64, String, CallOutcome)>,
}

impl CallAccount {
    /// An empty account whose windows last so many seconds.
    pub fn new(window_s: u32) -> Self {
        let window = f64::from(window_s.max(1));
        Self { window, began: None, open: HashMap::new(), ended: Vec::new() }
    }

    /// Takes a line in; the lines of one host must come in their order.
    pub fn note(&mut self, record: &LogRecord) {
        self.began = Some(self.began.map_or(record.time, |began| began.min(record.time)));
        let request = record.text("request");
        match record.event.as_str() {
            "started" => self.end_runs_of(&record.host),
            "run_opened" => {
                let run = OpenRun {
                    host: record.host.clone(),
                    route: record.text("route").to_owned(),
                    came_at: came_at(record, "age_ms"),
                };
                self.open.insert(request.to_owned(), run);
            }
            _ => {
                if let Some(outcome) = CallOutcome::read(record) {
                    self.open.remove(request);
                    let route = record.text("route").to_owned();
                    self.ended.push((came_at(record, "took_ms"), route, outcome));
                }
            }
        }
    }

    /// The rows, by window, route and outcome. Runs that no line has ended are counted as lost with
    /// their hosts.
    pub fn rows(&self) -> Vec<AccountRow> {
        let began = self.began.unwrap_or_default();
        let mut counts: BTreeMap<(u64, String, CallOutcome), u64> = BTreeMap::new();
        let lost = self
            .open
            .values()
            .map(|run| (run.came_at, run.route.clone(), CallOutcome::LostWithHost));
        for (came_at, route, outcome) in self.ended.iter().cloned().chain(lost) {
            let window = ((came_at - began).max(0.0) / self.window).floor() * self.window;
            *counts.entry((window as u64, route, outcome)).or_default() += 1;
        }
        counts
            .into_iter()
            .map(|((window, route, outcome), requests)| AccountRow {
                window,
                route,
                outcome,
                requests,
            })
            .collect()
    }

    /// A host began a new life: what it ran in the last one is lost.
    fn end_runs_of(&mut self, host: &str) {
        let open = std::mem::take(&mut self.open);
        for (request, run) in open {
            if run.host == host {
                self.ended.push((run.came_at, run.route, CallOutcome::LostWithHost));
            } else {
                self.open.insert(request, run);
            }
        }
    }
}

/// When a request came: the line's time less the age that it states.
fn came_at(record: &LogRecord, age: &str) -> f64 {
    record.time - record.millis(age).unwrap_or_default().as_secs_f64()
}
