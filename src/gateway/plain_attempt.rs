//! One attempt of a request at one server of a plain service.

use super::call_context::CallContext;
use super::call_end::{OVERLONG_ANSWER, ServerAnswer};
use super::load_guard::LoadGuard;
use super::place_guard::PlaceGuard;
use super::send_permit::SendPermit;
use super::server_call::{CallPurpose, send_request};
use crate::fleet::ServerEntry;
use crate::in_flight::RequestWait;
use crate::keys::ServerKey;
use crate::placement::{ServerEvent, ServerLoad};
use crate::platform::{AnswerKind, CallPart, contains_answer, read_answer};
use crate::server_slots::PlaceEnd;
use crate::{Error, Result};
use std::time::Duration;

/// Requests that must not be retried are sent on a connection only if it answered this recently.
const FRESH_CONNECTION_AGE: Duration = Duration::from_millis(1500);
/// Cause of an attempt that the server broke off after the request was sent.
const SERVER_BROKE_OFF: &str = "server_broke_off";

/// How one attempt at one server ended.
#[derive(Debug)]
pub(super) enum AttemptEnd {
    Answered(ServerAnswer),
    Failed(ServerAnswer),
    NotRun,
    NotSent,
    Unknown(&'static str),
    /// No answer came before the request's time was over.
    Silent,
}

/// Sends the request to one server and waits for its answer as long as the request has time. `silence_timeout` is the time
/// after which the server counts as silent; `is_silence_noted` tells whether that is recorded while the attempt goes on,
/// because the request may be sent to another server then.
pub(super) async fn attempt(
    context: &CallContext,
    server: ServerEntry,
    silence_timeout: Duration,
    is_silence_noted: bool,
    mut permit: SendPermit,
    mut place: Option<PlaceGuard>,
) -> (ServerKey, AttemptEnd) {
    let load = ServerLoad { requests: 1, ..ServerLoad::default() };
    let _load = LoadGuard::new(&context.host, server.key(), load);
    context.record_run(RequestWait::Answer, &server);
    context.host.record_server_event(&server, ServerEvent::Sent);
    let (sent_at, time_left) = (context.host.now(), context.time_left());
    let is_noted = is_silence_noted && silence_timeout < time_left;
    let first_timeout = if is_noted { silence_timeout } else { time_left };
    let mut exchange = std::pin::pin!(exchange(context, &server, &mut permit));
    let mut ended = tokio::time::timeout(first_timeout, &mut exchange).await;
    let was_silent = is_noted && ended.is_err();
    if was_silent {
        record_silence(context, &server, silence_timeout);
        ended = tokio::time::timeout(context.time_left(), &mut exchange).await;
    }
    // What is recorded below concerns this attempt, and the request may have been sent elsewhere since.
    context.record_sent(sent_at);
    let end = match ended {
        Ok(Ok(end)) => end,
        Ok(Err(Error::NotSent(_))) => AttemptEnd::NotSent,
        Ok(Err(Error::Foreign { .. })) => AttemptEnd::Unknown("foreign_answer"),
        Ok(Err(Error::TooLong { .. })) => AttemptEnd::Unknown(OVERLONG_ANSWER),
        Ok(Err(error)) => {
            context.record_failure(&server, &error);
            log::debug!("event=server_broke_off server={} cause=\"{error}\"", server.id);
            AttemptEnd::Unknown(SERVER_BROKE_OFF)
        }
        Err(_elapsed) => AttemptEnd::Silent,
    };
    if let Some(place) = &mut place {
        place.set_end(match &end {
            AttemptEnd::Answered(_) | AttemptEnd::Failed(_) => PlaceEnd::Served,
            AttemptEnd::NotRun => PlaceEnd::Rejected,
            AttemptEnd::NotSent | AttemptEnd::Unknown(_) | AttemptEnd::Silent => PlaceEnd::Unused,
        });
    }
    match &end {
        // The silence of this attempt was recorded when it began.
        AttemptEnd::Silent if was_silent => {}
        AttemptEnd::Silent if time_left < silence_timeout => {
            context.host.record_server_event(&server, ServerEvent::OutOfTime);
        }
        _ => context.host.record_server_event(&server, server_event(&end)),
    }
    log_end(context, &server, &end);
    (server.key(), end)
}

/// Records that a server has not answered for `silence`. The attempt goes on: if the server does so too, its answer counts,
/// and shows that the server serves again.
fn record_silence(context: &CallContext, server: &ServerEntry, silence: Duration) {
    context.host.record_server_event(server, ServerEvent::Unresponsive);
    context.host.pool.record_silence(server.address);
    log::info!(
        "event=server_silent request={} contents={} server={} silent_ms={}",
        context.id(),
        context.contents,
        server.id,
        silence.as_millis()
    );
}

async fn exchange(
    context: &CallContext,
    server: &ServerEntry,
    permit: &mut SendPermit,
) -> Result<AttemptEnd> {
    let max_idle = if context.route.is_retryable() { Duration::MAX } else { FRESH_CONNECTION_AGE };
    let (purpose, time_left) = (CallPurpose::Plain, context.time_left());
    let part = CallPart::Whole;
    let response =
        send_request(context, server, purpose, time_left, part, max_idle, permit).await?;
    let kind = read_answer(&response);
    let (parts, body) = response.into_parts();
    if kind == AnswerKind::Improper {
        return Ok(AttemptEnd::Unknown("improper_answer"));
    }
    if kind == AnswerKind::NotRun {
        body.read_all().await?;
        return Ok(AttemptEnd::NotRun);
    }
    let has_explicit_end = body.has_explicit_end();
    let body = body.read_all().await?;
    if !has_explicit_end && contains_answer(&body) {
        return Ok(AttemptEnd::Unknown("answer_with_another"));
    }
    context.record_success();
    let answer = ServerAnswer { status: parts.status, headers: parts.headers, body };
    Ok(if kind == AnswerKind::Success {
        AttemptEnd::Answered(answer)
    } else {
        AttemptEnd::Failed(answer)
    })
}

fn server_event(end: &AttemptEnd) -> ServerEvent {
    match end {
        AttemptEnd::Answered(_) => ServerEvent::Served,
        AttemptEnd::Unknown(SERVER_BROKE_OFF) => ServerEvent::BrokeOff,
        AttemptEnd::Failed(_) | AttemptEnd::NotRun | AttemptEnd::Unknown(_) => ServerEvent::Errored,
        AttemptEnd::NotSent | AttemptEnd::Silent => ServerEvent::Unresponsive,
    }
}

fn log_end(context: &CallContext, server: &ServerEntry, end: &AttemptEnd) {
    let name = match end {
        AttemptEnd::Answered(_) => return,
        AttemptEnd::Failed(_) => "failed",
        AttemptEnd::NotRun => "not_run",
        AttemptEnd::NotSent => "not_sent",
        AttemptEnd::Unknown(cause) => cause,
        AttemptEnd::Silent => "silent",
    };
    let (id, contents, server) = (context.id(), context.contents, &server.id);
    log::info!(
        "event=attempt_ended request={id} contents={contents} server={server} outcome={name}"
    );
}
