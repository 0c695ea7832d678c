use super::caller_body::{CallerAnswer, CallerBody};
use crate::platform::{answer_headers, router_headers};
use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use std::time::Duration;

/// Why a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NotRunReason {
    /// This host has no configuration yet, or is shutting down.
    NotReady,
    /// No decode server has memory for it.
    NoMemory,
    /// No server of the service accepts requests.
    NoServer,
    /// The server that was chosen to run it rejected it.
    Rejected,
    /// It continues a stream, and the software version that began the stream is not known.
    VersionUnknown,
    /// It continues a stream, and no server of the software version that began the stream accepts requests.
    NoServerOfVersion,
    /// Its deadline passed before it was sent.
    OutOfTime,
    /// It has reached servers that did not run it, and the retry budget allows no further send.
    RetryBudget,
    /// The configuration is too old to tell whether its caller's key is still valid.
    ConfigTooOld,
    /// The configuration is too old to tell whether its route exists.
    RouteUnknown,
    /// No owner that could decide whether its organisation is within its limit can be reached.
    LimitUnknown,
    /// Servers crashed while they ran it.
    HeldBack,
    /// The servers that could run it already receive as many requests from all hosts together as their limits allow.
    ServersAtLimit,
    /// All places at the servers that could run it are in use.
    NoPlace,
    /// This host is shutting down, and the answer would not end before its exit.
    HostStopping,
    /// The bodies of the requests in flight leave no room for its own.
    NoBodyRoom,
    /// The connections and requests in flight leave no room for it.
    NoRoom,
}

impl NotRunReason {
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::NoMemory => "no_memory",
            Self::VersionUnknown => "version_unknown",
            Self::NoServerOfVersion => "no_server_of_version",
            Self::NoServer => "no_server",
            Self::Rejected => "turned_away",
            Self::OutOfTime => "out_of_time",
            Self::RetryBudget => "retry_budget",
            Self::ConfigTooOld => "config_too_old",
            Self::RouteUnknown => "route_unknown",
            Self::LimitUnknown => "limit_unknown",
            Self::HeldBack => "crashes_servers",
            Self::ServersAtLimit => "servers_at_limit",
            Self::NoPlace => "no_place",
            Self::NoBodyRoom => "no_body_room",
            Self::NoRoom => "no_room",
            Self::HostStopping => "host_stopping",
        }
    }
}

/// Cause of an attempt whose answer exceeds what the host holds of one. It proves no more than any other bytes that are
/// no answer: the request may have run, and the server has not crashed.
pub(super) const OVERLONG_ANSWER: &str = "overlong_answer";

/// A complete answer of a backend server.
#[derive(Debug, Clone)]
pub(super) struct ServerAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// How a request without a stream ended.
#[derive(Debug, Clone)]
pub(super) enum CallEnd {
    /// A backend server's own answer, success or failure.
    Answered(ServerAnswer),
    /// The request is invalid; it certainly did not run.
    Improper(StatusCode, &'static str),
    /// It certainly did not run; the caller may retry after the pause.
    NotRun(NotRunReason, Duration),
    /// It did not run because its organisation is at its limit; the pause lasts until the limit allows it.
    OverLimit(Duration),
    /// It may have run, but there is no answer.
    Unknown(&'static str),
    /// Its deadline passed while a server worked on it.
    TimedOut,
}

impl CallEnd {
    /// The outcome's name in logs and metrics.
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

    /// The cause of the outcome, for logs.
    pub fn cause(&self) -> &'static str {
        match self {
            Self::Answered(_) => "server",
            Self::NotRun(reason, _) => reason.name(),
            Self::Improper(_, cause) | Self::Unknown(cause) => cause,
            Self::OverLimit(_) => "organisation",
            Self::TimedOut => "time_limit",
        }
    }

    /// The status code of the answer to the caller.
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

    /// Builds the answer to the caller of the request `id`.
    pub fn into_answer(self, id: &str) -> CallerAnswer {
        let status = self.status();
        let (headers, body) = match self {
            Self::Answered(answer) => (answer_headers(&answer.headers), answer.body),
            Self::NotRun(_, pause) | Self::OverLimit(pause) => {
                (router_headers(id, Some(pause)), Bytes::new())
            }
            Self::Improper(..) | Self::Unknown(_) | Self::TimedOut => {
                (router_headers(id, None), Bytes::new())
            }
        };
        let mut answer = Response::new(CallerBody::Whole(Some(body)));
        *answer.status_mut() = status;
        *answer.headers_mut() = headers;
        answer
    }
}
