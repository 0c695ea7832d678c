//! Asks hosts what is in force there.

use super::soak_check::{SoakRecord, SoakRoute, SoakViolation};
use super::soak_config::{dropped_mark, mark_path};
use super::soak_run::SoakStage;
use crate::bench::site::{SiteCall, call_site};
use http::StatusCode;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// A host that refuses a request for now is asked again for this long: what is in force there must show.
const ASK_PATIENCE: Duration = Duration::from_millis(2500);
const ASK_PAUSE: Duration = Duration::from_millis(100);
/// Requests to each host that may go to the server that leaves.
const PLAIN_CALLS: usize = 4;
/// Stands in the ids of requests that a leaving server must not get.
const LEAVING_MARK: &str = "leaving";

/// What hosts are asked.
#[derive(Debug, Clone)]
pub(super) struct ForceQuestion {
    /// Tells the requests of this question from all others.
    pub name: String,
    /// The newest version confirmed.
    pub version: u64,
    /// A server of the plain service that leaves.
    pub leaving: usize,
}

/// What one host showed.
#[derive(Debug, Default)]
struct HostAnswers {
    violations: Vec<SoakViolation>,
    records: Vec<SoakRecord>,
}

impl SoakStage {
    /// Asks the hosts at these places all at once: what was confirmed is in force at each, and each shows so.
    pub async fn ask_hosts(
        &self,
        question: &ForceQuestion,
        places: &[usize],
        records: &mut Vec<SoakRecord>,
    ) -> Vec<SoakViolation> {
        let before = self.leaving_runs(question);
        let mut asked = JoinSet::new();
        for place in places {
            asked.spawn(ask_host(question.clone(), *place, self.hosts[*place].callers));
        }
        let mut violations = Vec::new();
        for answers in asked.join_all().await {
            violations.extend(answers.violations);
            records.extend(answers.records);
        }
        let after = self.leaving_runs(question);
        if after > before {
            let detail = format!("{}: {} runs", question.name, after - before);
            violations
                .push(SoakViolation { guarantee: "a draining server gets no new work", detail });
        }
        violations
    }

    /// Runs at the leaving server of requests that were sent after its leaving was in force.
    fn leaving_runs(&self, question: &ForceQuestion) -> usize {
        let mark = format!("{}-{LEAVING_MARK}-", question.name);
        self.site.services[question.leaving]
            .runs()
            .iter()
            .filter(|id| id.starts_with(&mark))
            .count()
    }
}

async fn ask_host(question: ForceQuestion, place: usize, host: SocketAddr) -> HostAnswers {
    let mut answers = HostAnswers::default();
    let dropped = dropped_mark(question.version);
    answers.ask_mark(&question, place, host, question.version, true).await;
    answers.ask_mark(&question, place, host, dropped, false).await;
    for serial in 0..PLAIN_CALLS {
        let id = format!("{}-{LEAVING_MARK}-{place}-{serial}", question.name);
        answers.ask("/safe/", id, host).await;
    }
    answers
}

impl HostAnswers {
    /// Asks on the route that a version added until the answer tells whether the route is in force.
    async fn ask_mark(
        &mut self,
        question: &ForceQuestion,
        place: usize,
        host: SocketAddr,
        version: u64,
        is_there: bool,
    ) {
        let path = mark_path(version);
        let ends = Instant::now() + ASK_PATIENCE;
        let mut serial = 0;
        let (guarantee, status) = loop {
            serial += 1;
            let id = format!("{}-force-{place}-{is_there}-{serial}", question.name);
            let status = self.ask(&path, id, host).await;
            let is_found = status.filter(|status| *status == 404 || is_success(*status));
            match is_found.map(|status| status != 404) {
                Some(found) if found == is_there => return,
                Some(_) => break ("what was confirmed is in force at each host", status),
                None if Instant::now() >= ends => {
                    break ("each host shows that what was confirmed is in force", status);
                }
                None => sleep(ASK_PAUSE).await,
            }
        };
        let detail = format!("{}, host-{place}: {path} was answered {status:?}", question.name);
        self.violations.push(SoakViolation { guarantee, detail });
    }

    async fn ask(&mut self, path: &str, id: String, host: SocketAddr) -> Option<u16> {
        let call = SiteCall {
            method: "GET",
            path: format!("{path}x"),
            id: id.clone(),
            headers: vec![("x-deadline-ms", "5000".to_owned())],
            body: "",
        };
        let reply = call_site(host, &call).await;
        let status = reply.ok().map(|reply| reply.status.as_u16());
        self.records.push(SoakRecord { id, route: SoakRoute::Safe, status });
        status
    }
}

fn is_success(status: u16) -> bool {
    StatusCode::from_u16(status).is_ok_and(|status| status.is_success())
}
