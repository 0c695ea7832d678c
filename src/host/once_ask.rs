use crate::claims::{ClaimKey, KeyStatus, StoredAnswer, TicketId};
use crate::intents::ServiceSpec;
use crate::keys::{mix_hash, stable_hash};
use crate::telemetry::TraceParent;

/// A checked call that must run at most once.
#[derive(Debug, Clone)]
pub struct OnceAsk {
    /// The service.
    pub service: ServiceSpec,
    /// Path within it.
    pub path: String,
    /// The caller's organisation; equal keys of others are other keys.
    pub organisation: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// The ticket, if the caller fetched one.
    pub ticket: Option<TicketId>,
    /// The body.
    pub body: Vec<u8>,
    /// Where its spans hang.
    pub trace: TraceParent,
}

/// What the caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceAnswer {
    /// The service's answer; no other connection gets it.
    Answer(StoredAnswer),
    /// The first attempt still runs.
    InProgress,
    /// The answer went to another connection.
    AlreadyAnswered,
    /// The key was used with another body.
    OtherBody,
    /// No attempt of this request ran.
    NotRun(&'static str),
    /// It may have run.
    Unknown(&'static str),
}

impl OnceAsk {
    /// What is claimed: the organisation's key or ticket.
    pub(super) fn claim_key(&self) -> ClaimKey {
        let name = match (&self.ticket, &self.key) {
            (Some(ticket), _) => ticket.to_string(),
            (None, key) => key.clone().unwrap_or_default(),
        };
        ClaimKey::of(&self.organisation, &name)
    }

    /// Hash of service, path and body.
    pub(super) fn body_hash(&self) -> u64 {
        let target = stable_hash(format!("{} {}", self.service.name, self.path).as_bytes());
        mix_hash(target, stable_hash(&self.body))
    }
}

impl From<KeyStatus> for OnceAnswer {
    fn from(presented: KeyStatus) -> Self {
        match presented {
            KeyStatus::Answer(answer) => Self::Answer(answer),
            KeyStatus::InProgress => Self::InProgress,
            KeyStatus::AlreadyAnswered => Self::AlreadyAnswered,
            KeyStatus::OtherBody => Self::OtherBody,
            KeyStatus::NotRun => Self::NotRun("service_unreachable"),
            KeyStatus::NeverSeen | KeyStatus::Unknown => Self::Unknown("may_have_run"),
        }
    }
}

impl OnceAnswer {
    /// The name used in traces.
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

    /// The counter that it raises.
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
