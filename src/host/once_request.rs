use crate::claims::{ClaimKey, KeyStatus, StoredAnswer, TicketId};
use crate::intents::ServiceSpec;
use crate::keys::{mix_hash, stable_hash};
use crate::telemetry::TraceParent;

/// A validated call that must run at most once.
#[derive(Debug, Clone)]
pub struct OnceRequest {
    /// Service that runs the call.
    pub service: ServiceSpec,
    /// Path within the service.
    pub path: String,
    /// Organisation of the caller; the same key used by another organisation is a different key.
    pub organisation: String,
    /// Idempotency key, if the caller sent one.
    pub key: Option<String>,
    /// Ticket, if the caller sent one.
    pub ticket: Option<TicketId>,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Parent of its trace spans.
    pub trace: TraceParent,
}

/// Outcome of the call, as reported to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceOutcome {
    /// The service's answer, delivered to this connection only.
    Answer(StoredAnswer),
    /// The first attempt is still running.
    InProgress,
    /// The answer was delivered to another connection.
    AlreadyAnswered,
    /// The key was used before with a different body.
    OtherBody,
    /// No attempt of this request ran.
    NotRun(&'static str),
    /// An attempt may have run.
    Unknown(&'static str),
}

impl OnceRequest {
    /// Key to claim: the organisation with its ticket or idempotency key.
    pub(super) fn claim_key(&self) -> ClaimKey {
        let name = match (&self.ticket, &self.key) {
            (Some(ticket), _) => ticket.to_string(),
            (None, key) => key.clone().unwrap_or_default(),
        };
        ClaimKey::of(&self.organisation, &name)
    }

    /// Hash of the service, the path and the body.
    pub(super) fn body_hash(&self) -> u64 {
        let target = stable_hash(format!("{} {}", self.service.name, self.path).as_bytes());
        mix_hash(target, stable_hash(&self.body))
    }
}

impl From<KeyStatus> for OnceOutcome {
    fn from(status: KeyStatus) -> Self {
        match status {
            KeyStatus::Answer(answer) => Self::Answer(answer),
            KeyStatus::InProgress => Self::InProgress,
            KeyStatus::AlreadyAnswered => Self::AlreadyAnswered,
            KeyStatus::OtherBody => Self::OtherBody,
            KeyStatus::NotRun => Self::NotRun("service_unreachable"),
            KeyStatus::NeverSeen | KeyStatus::Unknown => Self::Unknown("may_have_run"),
        }
    }
}

impl OnceOutcome {
    /// Name in trace spans.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Answer(_) => "answer",
            Self::InProgress => "in_progress",
            Self::AlreadyAnswered => "already_answered",
            Self::OtherBody => "other_body",
            Self::NotRun(_) => "not_run",
            Self::Unknown(_) => "unknown",
        }
    }

    /// Metric counter that it increments.
    pub(super) const fn counter(&self) -> &'static str {
        match self {
            Self::Answer(_) => "once_answered",
            Self::InProgress => "once_in_progress",
            Self::AlreadyAnswered => "once_already_answered",
            Self::OtherBody => "once_other_body",
            Self::NotRun(_) => "once_not_run",
            Self::Unknown(_) => "once_unknown",
        }
    }
}
