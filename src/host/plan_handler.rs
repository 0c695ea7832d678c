//! Plans and confirms intents for operators.

use super::host_state::HostState;
use crate::Error;
use crate::intents::{ClusterConfig, IntentSpec, PlanDraft, PlanRefusal, apply_plan, draft_plan};
use crate::platform::WriteOutcome;
use crate::settings::SourceText;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

const CONFIRM_TRIES: u32 = 4;

/// What an operator confirms: the intent, and the plan that was shown.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfirmRequest {
    /// The intent's text.
    pub intent: String,
    /// The configuration version that the plan was made from.
    pub base_version: u64,
    /// The plan's digest.
    pub digest: u64,
}

/// An answer to an operator.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorReply {
    /// The plan.
    Plan(PlanDraft),
    /// Confirmed; this version will be in force everywhere.
    Confirmed(u64),
    /// The intent has findings, each with its place where it has one.
    Findings(Vec<String>),
    /// The plan is stale: what changed since, and by whom.
    Stale(Vec<String>),
    /// The store did not settle it; ask for the status before trying again.
    Unsettled(String),
}

impl HostState {
    /// Draws up the plan of an intent from the newest configuration that can be had.
    pub fn plan(self: &Arc<Self>, text: &str) -> OperatorReply {
        let intent = match read_intent(text) {
            Ok(intent) => intent,
            Err(answer) => return answer,
        };
        // The store knows the newest version; the one in force serves while it is away.
        if let Err(error) = self.runtime.block_on(self.read_config()) {
            log::info!("event=planned_without_store cause=\"{error}\"");
        }
        match draft_plan(&self.config(), &intent) {
            Ok(plan) => OperatorReply::Plan(plan),
            Err(refusal) => from_refusal(refusal),
        }
    }

    /// Confirms a plan by a conditional write, read back when its answer is lost.
    pub fn confirm(self: &Arc<Self>, ask: &ConfirmRequest) -> OperatorReply {
        let intent = match read_intent(&ask.intent) {
            Ok(intent) => intent,
            Err(answer) => return answer,
        };
        let change_id: u64 = rand::random();
        let mut last = "the store gave no answer".to_owned();
        for _ in 0..CONFIRM_TRIES {
            let current = match self.runtime.block_on(self.read_config()) {
                Ok(current) => current,
                Err(error) => {
                    last = error.to_string();
                    continue;
                }
            };
            // An earlier try whose answer was lost may have taken effect.
            if let Some(note) = current.history.iter().find(|note| note.change_id == change_id) {
                return OperatorReply::Confirmed(note.version);
            }
            let next = match apply_plan(&current, &intent, ask.base_version, ask.digest, change_id)
            {
                Ok(next) => next,
                Err(refusal) => return from_refusal(refusal),
            };
            match self.runtime.block_on(self.write_config(&current, &next)) {
                WriteOutcome::Written(object) => {
                    let version = object.revision;
                    self.adopt_config(ClusterConfig { version, ..next });
                    log::info!("event=confirmed version={version} operator={:?}", intent.operator);
                    return OperatorReply::Confirmed(version);
                }
                WriteOutcome::Conflict => {}
                WriteOutcome::Refused => last = "the store refused the write".to_owned(),
                WriteOutcome::Unknown => last = "the store's answer was lost".to_owned(),
            }
        }
        OperatorReply::Unsettled(last)
    }
}

fn read_intent(text: &str) -> std::result::Result<IntentSpec, OperatorReply> {
    let source = SourceText { name: "intent".to_owned(), text: text.to_owned() };
    IntentSpec::try_from(&source).map_err(|error| match error {
        Error::Settings(findings) => OperatorReply::Findings(findings.lines()),
        other => OperatorReply::Findings(vec![other.to_string()]),
    })
}

fn from_refusal(refusal: PlanRefusal) -> OperatorReply {
    match refusal {
        PlanRefusal::Findings(findings) => OperatorReply::Findings(findings),
        PlanRefusal::Stale(changes) => OperatorReply::Stale(changes),
        PlanRefusal::OtherPlan => OperatorReply::Findings(vec![
            "the intent differs from the one that was planned; plan it again".to_owned(),
        ]),
    }
}
