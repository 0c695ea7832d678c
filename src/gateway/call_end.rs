use super::caller_body::{CallerAnswer, CallerBody};
use crate::platform::{answer_headers, own_headers};
use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use std::time::Duration;

/// Why a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NotRunReason {
    /// This host has no configuration yet, or stops.
    NotReady,
    /// No decode server holds memory for it.
    NoMemory,
    /// No server of the service takes work.
    NoServer,
    /// Reading its prompt failed.
    PromptNotRead,
    /// The server that was to run it turned it away.
    Rejected,
    /// Its time ran out before it was sent.
    OutOfTime,
    /// Whether its caller's key is still good cannot be told.
    ConfigTooOld,
    /// Whether its route is there cannot be told.
    RouteUnknown,
    /// Whether its organisation is within its limit cannot be told.
    LimitUnknown,
    /// Servers crashed under it.
    HeldBack,
    /// The servers that could run it get as much already as they take from all hosts together.
    ServersAtLimit,
}

impl NotRunReason {
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::NoMemory => "no_memory",
            Self::NoServer => "no_server",
            Self::PromptNotRead => "prompt_not_read",
            Self::Rejected => "turned_away",
            Self::OutOfTime => "out_of_time",
            Self::ConfigTooOld => "config_too_old",
            Self::RouteUnknown => "route_unknown",
            Self::LimitUnknown => "limit_unknown",
            Self::HeldBack => "crashes_servers",
            Self::ServersAtLimit => "servers_at_limit",
        }
    }
}

/// A whole answer of a backend server.
#[derive(Debug, Clone)]
pub(super) struct ServerAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// How a request ended that has no stream.
#[derive(Debug, Clone)]
pub(super) enum CallEnd {
    /// A backend server's own answer, success or failure.
    Answered(ServerAnswer),
    /// The request is not proper; it certainly did not run.
    Improper(StatusCode, &'static str),
    /// It certainly did not run; the caller may come back after the pause.
    NotRun(NotRunReason, Duration),
    /// It did not run, since its organisation is at its limit; the pause is until that allows it.
    OverLimit(Duration),
    /// It may have run, and there is no answer.
    Unknown(&'static str),
    /// Its time ran out while a server worked on it.
    TimedOut,
}

impl CallEnd {
    /// The name used in logs.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Improper(..) => "improper",
            Self::NotRun(..) => "not_run",
            Self::OverLimit(_) => "over_limit",
            Self::Unknown(_) => "unknown",
            Self::TimedOut => "timed_out",
        }
    }

    /// What decided it, for logs.
    pub fn cause(&self) -> &'static str {
        match self {
            Self::Answered(_) => "server",
            Self::NotRun(reason, _) => reason.name(),
            Self::Improper(_, cause) | Self::Unknown(cause) => cause,
            Self::OverLimit(_) => "organisation",
            Self::TimedOut => "time_limit",
        }
    }

    /// The status that the caller gets.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Answered(answer) => answer.status,
            Self::Improper(status, _) => *status,
            Self::NotRun(..) => StatusCode::SERVICE_UNAVAILABLE,
            Self::OverLimit(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::Unknown(_) => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The answer to the caller of the request `id`.
    pub fn into_answer(self, id: &str) -> CallerAnswer {
        let status = self.status();
        let (headers, body) = match self {
            Self::Answered(answer) => (answer_headers(&answer.headers), answer.body),
            Self::NotRun(_, pause) | Self::OverLimit(pause) => {
                (own_headers(id, Some(pause)), Bytes::new())
            }
            Self::Improper(..) | Self::Unknown(_) | Self::TimedOut => {
                (own_headers(id, None), Bytes::new())
            }
        };
        let mut answer = Response::new(CallerBody::Whole(Some(body)));
        *answer.status_mut() = status;
        *answer.headers_mut() = headers;
        answer
    }
}
