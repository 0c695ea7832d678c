//! Sends a request to run at one decode server.

use super::call_context::CallContext;
use super::call_end::{NotRunReason, OVERLONG_ANSWER, ServerAnswer};
use super::event_reader::EventReader;
use super::run_marks::RunMarks;
use super::send_permit::SendPermit;
use super::server_call::{CallPurpose, send_request};
use crate::Error;
use crate::fleet::ServerEntry;
use crate::keys::ServerKey;
use crate::placement::ServerEvent;
use crate::platform::{AnswerKind, CallPart, DecodePart, read_answer};
use crate::stream_origins::RunVersion;
use crate::streams::ServerSentEvent;
use http::{HeaderMap, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// A decode server that has the prompt makes its first event within a few steps; after a longer
/// silence a retryable request is sent to another server as well.
pub(super) const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Cause of a run whose first event did not arrive in time.
pub(super) const NO_FIRST_EVENT: &str = "no_first_event";
/// Cause of a run that was opened beside a silent one and was silent as well.
pub(super) const FURTHER_RUN_SILENT: &str = "further_run_silent";

/// Why a run did not open.
#[derive(Debug)]
pub(super) enum OpenFailure {
    /// Nothing ran; the request may be refused or sent again.
    NotRun(NotRunReason),
    /// The server rejected it with the prompt's result; it may read the prompt itself.
    Rejected(Box<ServerEntry>),
    /// The server ran it and failed.
    Failed(Box<ServerAnswer>),
    /// It may have run.
    Unknown(&'static str),
}

/// What happened to a request's runs so far.
#[derive(Debug, Default)]
pub(super) struct RunRecord {
    /// How many times it was sent to run.
    pub sent: u32,
    /// Servers that lost a run; no further run is opened there.
    pub lost: Vec<ServerKey>,
    /// Servers that are silent while a further run is opened beside a silent one.
    pub silent: Vec<ServerKey>,
    /// The software versions at which it may run.
    pub version: RunVersion,
    /// Whether one of its runs may have begun: the request can then no longer be reported as not run.
    pub may_have_run: bool,
}

impl RunRecord {
    /// Records that a server broke off a run.
    pub fn record_lost(&mut self, server: ServerKey) {
        self.lost.push(server);
    }

    /// Whether a further run may be opened at a server.
    pub fn admits(&self, server: ServerKey) -> bool {
        !self.lost.contains(&server) && !self.silent.contains(&server)
    }
}

/// Head, reader and first event of a run that began.
pub(super) type RunStart = ((StatusCode, HeaderMap), EventReader, Option<ServerSentEvent>);

/// A request to run, as it is sent to a decode server.
#[derive(Debug)]
pub(super) struct RunOrder {
    /// Where the result of reading its prompt is fetched.
    pub source: Option<(SocketAddr, String)>,
    /// The hold that reserves its memory.
    pub hold: Option<String>,
    /// The event after which it continues.
    pub after: Option<u64>,
    /// Its priority at the server.
    pub priority: Option<u8>,
}

impl RunOrder {
    fn part(&self) -> DecodePart<'_> {
        DecodePart {
            source: self.source.as_ref().map(|(address, name)| (*address, name.as_str())),
            hold: self.hold.as_deref(),
            after_event: self.after,
            priority: self.priority,
        }
    }
}

/// What the start of a run, or its failure after `waited`, shows of its server.
pub(super) fn start_event(
    started: &Result<RunStart, OpenFailure>,
    waited: Duration,
) -> ServerEvent {
    match started {
        Ok(_) => ServerEvent::Served,
        Err(OpenFailure::Unknown(NO_FIRST_EVENT)) if waited < FIRST_EVENT_TIMEOUT => {
            ServerEvent::OutOfTime
        }
        // Its server granted memory a moment before.
        Err(OpenFailure::Unknown(FURTHER_RUN_SILENT)) => ServerEvent::Answered,
        Err(OpenFailure::Unknown(_)) => ServerEvent::Unresponsive,
        Err(_) => ServerEvent::Errored,
    }
}

/// Logs where a run began and which stage read its prompt, or why it did not begin, and how long that took.
pub(super) fn log_start(
    context: &CallContext,
    server: &ServerEntry,
    prefilled: bool,
    waited: Duration,
    started: &Result<RunStart, OpenFailure>,
) {
    let (id, version, server) = (context.id(), &server.version, &server.id);
    let waited = waited.as_millis();
    let cause = match started {
        Ok(_) => {
            let reader = if prefilled { "prefill" } else { "decode" };
            let (route, age) = (&context.route.name, context.age().as_millis());
            log::info!(
                "event=run_opened request={id} route={route} server={server} version={version:?} \
                 reader={reader} age_ms={age} waited_ms={waited}"
            );
            return;
        }
        Err(OpenFailure::NotRun(reason)) => reason.name(),
        Err(OpenFailure::Rejected(_)) => "turned_away",
        Err(OpenFailure::Failed(_)) => "failed",
        Err(OpenFailure::Unknown(cause)) => cause,
    };
    let contents = context.contents;
    log::info!(
        "event=run_not_opened request={id} contents={contents} server={server} cause={cause} \
         waited_ms={waited}"
    );
}

fn break_off_failure(
    context: &CallContext,
    server: &ServerEntry,
    marks: RunMarks,
    error: &Error,
) -> OpenFailure {
    if matches!(error, Error::TooLong { .. }) {
        return OpenFailure::Unknown(OVERLONG_ANSWER);
    }
    context.record_run_failure(server, marks, error);
    OpenFailure::Unknown("server_broke_off")
}

/// Sends a request to run and waits for its first event.
pub(super) async fn start_run(
    context: &CallContext,
    server: &ServerEntry,
    order: &RunOrder,
    marks: RunMarks,
    permit: &mut SendPermit,
) -> Result<RunStart, OpenFailure> {
    let (purpose, time_left, part) =
        (CallPurpose::Run, context.time_left(), CallPart::Decode(order.part()));
    let sent = send_request(context, server, purpose, time_left, part, Duration::MAX, permit).await;
    let response = match sent {
        Ok(response) => response,
        Err(Error::NotSent(_)) => return Err(OpenFailure::Rejected(Box::new(server.clone()))),
        Err(Error::Foreign { .. }) => return Err(OpenFailure::Unknown("foreign_answer")),
        Err(error) => return Err(break_off_failure(context, server, marks, &error)),
    };
    let kind = read_answer(&response);
    let (parts, body) = response.into_parts();
    match kind {
        AnswerKind::Success => {
            let mut reader = EventReader::new(body);
            let first = reader.next().await;
            let first = first.map_err(|error| break_off_failure(context, server, marks, &error))?;
            Ok(((parts.status, parts.headers), reader, first))
        }
        AnswerKind::Improper => Err(OpenFailure::Unknown("improper_answer")),
        AnswerKind::NotRun => {
            // The connection is kept only if the answer is read to its end.
            match body.read_all().await {
                Err(error @ Error::TooLong { .. }) => {
                    Err(break_off_failure(context, server, marks, &error))
                }
                Ok(_) | Err(_) => Err(OpenFailure::Rejected(Box::new(server.clone()))),
            }
        }
        AnswerKind::Failed => {
            let body = body.read_all().await;
            let body = body.map_err(|error| break_off_failure(context, server, marks, &error))?;
            context.record_success();
            let answer = ServerAnswer { status: parts.status, headers: parts.headers, body };
            Err(OpenFailure::Failed(Box::new(answer)))
        }
    }
}
