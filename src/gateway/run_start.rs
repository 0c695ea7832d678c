//! Sends a request to run at one decode server.

use super::call_context::CallContext;
use super::call_end::{NotRunReason, OVERLONG_ANSWER, ServerAnswer};
use super::event_reader::EventReader;
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
use std::time::Duration;

/// A decode server that has the prompt makes its first event within a few steps; after a longer
/// silence a retryable request may be sent to another server.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Cause of a run whose first event did not arrive in time.
const NO_FIRST_EVENT: &str = "no_first_event";

/// Why a run did not open.
#[derive(Debug)]
pub(super) enum OpenFailure {
    /// Nothing ran; the request may be refused or sent again.
    NotRun(NotRunReason),
    /// The server rejected it with the prompt's result; it may read the prompt itself.
    Rejected(ServerEntry),
    /// The server ran it and failed.
    Failed(ServerAnswer),
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
    /// The software versions at which it may run.
    pub version: RunVersion,
    /// Whether one of its runs may have begun: the request can then no longer be reported as not run.
    pub may_have_run: bool,
}

impl RunRecord {
    /// Records that a server broke off a run or fell silent.
    pub fn record_lost(&mut self, server: ServerKey) {
        self.lost.push(server);
    }
}

/// Head, reader and first event of a run that began.
pub(super) type RunStart = ((StatusCode, HeaderMap), EventReader, Option<ServerSentEvent>);

/// Sends a request to run and waits for its first event.
pub(super) async fn run_at(
    context: &CallContext,
    server: &ServerEntry,
    part: DecodePart<'_>,
    runs: &mut RunRecord,
    permit: &mut SendPermit,
) -> Result<RunStart, OpenFailure> {
    runs.sent += 1;
    context.host.record_server_event(server, ServerEvent::Sent);
    let may_retry = context.route.is_retryable() && runs.sent < context.route.max_servers;
    let timeout =
        if may_retry { FIRST_EVENT_TIMEOUT.min(context.time_left()) } else { context.time_left() };
    let started =
        match tokio::time::timeout(timeout, start_run(context, server, part, permit)).await {
            Ok(started) => started,
            Err(_elapsed) => Err(OpenFailure::Unknown(NO_FIRST_EVENT)),
        };
    let event = match &started {
        Ok(_) => ServerEvent::Served,
        Err(OpenFailure::Unknown(NO_FIRST_EVENT)) if timeout < FIRST_EVENT_TIMEOUT => {
            ServerEvent::OutOfTime
        }
        Err(OpenFailure::Unknown(_)) => ServerEvent::Unresponsive,
        Err(_) => ServerEvent::Errored,
    };
    context.host.record_server_event(server, event);
    runs.may_have_run |=
        !matches!(&started, Err(OpenFailure::NotRun(_) | OpenFailure::Rejected(_)));
    log_start(context, server, part.source.is_some(), &started);
    started
}

/// Logs where a run began and which stage read its prompt, or why it did not begin.
fn log_start(
    context: &CallContext,
    server: &ServerEntry,
    prefilled: bool,
    started: &Result<RunStart, OpenFailure>,
) {
    let (id, version, server) = (context.id(), &server.version, &server.id);
    let cause = match started {
        Ok(_) => {
            let reader = if prefilled { "prefill" } else { "decode" };
            let (route, age) = (&context.route.name, context.age().as_millis());
            log::info!(
                "event=run_opened request={id} route={route} server={server} version={version:?} \
                 reader={reader} age_ms={age}"
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
        "event=run_not_opened request={id} contents={contents} server={server} cause={cause}"
    );
}

fn break_off_failure(context: &CallContext, server: &ServerEntry, error: &Error) -> OpenFailure {
    if matches!(error, Error::TooLong { .. }) {
        return OpenFailure::Unknown(OVERLONG_ANSWER);
    }
    context.record_failure(server, error);
    OpenFailure::Unknown("server_broke_off")
}

async fn start_run(
    context: &CallContext,
    server: &ServerEntry,
    part: DecodePart<'_>,
    permit: &mut SendPermit,
) -> Result<RunStart, OpenFailure> {
    let (purpose, time_left, part) =
        (CallPurpose::Run, context.time_left(), CallPart::Decode(part));
    let sent = send_request(context, server, purpose, time_left, part, Duration::MAX, permit).await;
    let response = match sent {
        Ok(response) => response,
        Err(Error::NotSent(_)) => return Err(OpenFailure::Rejected(server.clone())),
        Err(Error::Foreign { .. }) => return Err(OpenFailure::Unknown("foreign_answer")),
        Err(error) => return Err(break_off_failure(context, server, &error)),
    };
    let kind = read_answer(&response);
    let (parts, body) = response.into_parts();
    match kind {
        AnswerKind::Success => {
            let mut reader = EventReader::new(body);
            let first = reader.next().await;
            let first = first.map_err(|error| break_off_failure(context, server, &error))?;
            Ok(((parts.status, parts.headers), reader, first))
        }
        AnswerKind::Improper => Err(OpenFailure::Unknown("improper_answer")),
        AnswerKind::NotRun => {
            // The connection is kept only if the answer is read to its end.
            match body.read_all().await {
                Err(error @ Error::TooLong { .. }) => {
                    Err(break_off_failure(context, server, &error))
                }
                Ok(_) | Err(_) => Err(OpenFailure::Rejected(server.clone())),
            }
        }
        AnswerKind::Failed => {
            let body = body.read_all().await;
            let body = body.map_err(|error| break_off_failure(context, server, &error))?;
            context.record_success();
            let answer = ServerAnswer { status: parts.status, headers: parts.headers, body };
            Err(OpenFailure::Failed(answer))
        }
    }
}
