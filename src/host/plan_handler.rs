//! Handles the operators' requests to plan and confirm intents.

use super::host_state::HostState;
use crate::Error;
use crate::intents::{ClusterConfig, IntentSpec, PlanDraft, PlanRefusal, apply_plan, draft_plan};
use crate::platform::WriteOutcome;
use crate::settings::SourceText;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

const CONFIRM_TRIES: u32 = 4;

/// An operator's confirmation of an intent and of the plan that was shown for it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfirmRequest {
    /// Text of the intent.
    pub intent: String,
    /// Configuration version that the plan was made from.
    pub base_version: u64,
    /// Digest of the plan.
    pub digest: u64,
}

/// The reply to an operator.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorReply {
    /// The plan.
    Plan(PlanDraft),
    /// The plan is confirmed; every host will adopt this configuration version.
    Confirmed(u64),
    /// The intent has errors; each finding states its position, if it has one.
    Findings(Vec<String>),
    /// The plan is stale; what has changed since, and by whom.
    Stale(Vec<String>),
    /// It is unknown whether the store applied the write; check the status before trying again.
    Unsettled(String),
}

impl HostState {
    /// Drafts the plan of an intent from the newest configuration available.
    pub fn plan(self: &Arc<Self>, text: &str) -> OperatorReply {
        let intent = match parse_intent(text) {
            Ok(intent) => intent,
            Err(reply) => return reply,
        };
        // The store has the newest version; while it is unavailable, the version in force is used.
        if let Err(error) = self.runtime.block_on(self.read_config()) {
            log::info!("event=planned_without_store cause=\"{error}\"");
        }
        match draft_plan(&self.config(), &intent) {
            Ok(plan) => OperatorReply::Plan(plan),
            Err(refusal) => refusal_reply(refusal),
        }
    }

    /// Confirms a plan by a conditional write; if the answer is lost, reads the result back.
    pub fn confirm(self: &Arc<Self>, request: &ConfirmRequest) -> OperatorReply {
        let intent = match parse_intent(&request.intent) {
            Ok(intent) => intent,
            Err(reply) => return reply,
        };
        let change_id: u64 = rand::random();
        let mut last_cause = "the store gave no answer".to_owned();
        for _ in 0..CONFIRM_TRIES {
            let current = match self.runtime.block_on(self.read_config()) {
                Ok(current) => current,
                Err(error) => {
                    last_cause = error.to_string();
                    continue;
                }
            };
            // An earlier write whose answer was lost may have taken effect.
            if let Some(change) =
                current.history.iter().find(|change| change.change_id == change_id)
            {
                return OperatorReply::Confirmed(change.version);
            }
            let next = match apply_plan(
                &current,
                &intent,
                request.base_version,
                request.digest,
                change_id,
            ) {
                Ok(next) => next,
                Err(refusal) => return refusal_reply(refusal),
            };
            match self.runtime.block_on(self.write_config(&current, &next)) {
                WriteOutcome::Written(object) => {
                    let version = object.revision;
                    self.adopt_config(ClusterConfig { version, ..next });
                    log::info!("event=confirmed version={version} operator={:?}", intent.operator);
                    return OperatorReply::Confirmed(version);
                }
                WriteOutcome::Conflict => {}
                WriteOutcome::Refused => last_cause = "the store refused the write".to_owned(),
                WriteOutcome::Unknown => last_cause = "the store's answer was lost".to_owned(),
            }
        }
        OperatorReply::Unsettled(last_cause)
    }
}

fn parse_intent(text: &str) -> std::result::Result<IntentSpec, OperatorReply> {
    let source = SourceText { name: "intent".to_owned(), text: text.to_owned() };
    IntentSpec::try_from(&source).map_err(|error| match error {
        Error::Settings(findings) => OperatorReply::Findings(findings.lines()),
        other => OperatorReply::Findings(vec![other.to_string()]),
    })
}

fn refusal_reply(refusal: PlanRefusal) -> OperatorReply {
    match refusal {
        PlanRefusal::Findings(findings) => OperatorReply::Findings(findings),
        PlanRefusal::Stale(changes) => OperatorReply::Stale(changes),
        PlanRefusal::DigestMismatch => OperatorReply::Findings(vec![
            "the intent differs from the one that was planned; plan it again".to_owned(),
        ]),
    }
}
