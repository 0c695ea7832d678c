use super::{
    ChangeNote, ClusterConfig, IntentSpec, PlanDraft, PlanStep, ServerRole, ServerSpec, StepAction,
};
use crate::keys::stable_hash;

/// Rate of the weight store, shared by all pulls (docs/OPERATIONS.md tells how to change it).
const WEIGHT_STORE_BYTES_PER_SECOND: f64 = 2.0e9;

/// Why an intent has no plan, or a plan is no longer valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanRefusal {
    /// The intent contradicts the configuration; one line a finding.
    Findings(Vec<String>),
    /// The configuration moved on; what changed and by whom.
    Stale(Vec<String>),
    /// The steps differ from the ones that were shown.
    OtherPlan,
}

/// Draws up the plan that `intent` implies on `config`.
///
/// # Errors
/// All findings together, if the intent contradicts the configuration or itself.
pub fn draft_plan(config: &ClusterConfig, intent: &IntentSpec) -> Result<PlanDraft, PlanRefusal> {
    let findings = find_contradictions(config, intent);
    if !findings.is_empty() {
        return Err(PlanRefusal::Findings(findings));
    }
    let mut steps = Vec::new();
    add_model_steps(config, intent, &mut steps);
    add_server_steps(config, intent, &mut steps);
    add_promise_steps(config, intent, &mut steps);
    schedule_pulls(&mut steps);
    let text: String = steps.iter().map(|step| step.text.as_str()).collect::<Vec<_>>().join("\n");
    let digest = stable_hash(format!("{}\n{:?}\n{text}", config.version, intent).as_bytes());
    let warnings = warn_of_consequences(&next_config(config, intent));
    let operator = intent.operator.clone();
    Ok(PlanDraft { base_version: config.version, digest, operator, steps, warnings })
}

/// The configuration that a confirmed plan makes.
///
/// # Errors
/// [`PlanRefusal::Stale`] if `config` is not the one that the plan was made from.
pub fn apply_plan(
    config: &ClusterConfig,
    intent: &IntentSpec,
    base_version: u64,
    digest: u64,
    change_id: u64,
) -> Result<ClusterConfig, PlanRefusal> {
    if config.version != base_version {
        return Err(PlanRefusal::Stale(config.changes_since(base_version)));
    }
    let plan = draft_plan(config, intent)?;
    if plan.digest != digest {
        return Err(PlanRefusal::OtherPlan);
    }
    let mut next = next_config(config, intent);
    next.version = config.version + 1;
    let steps = plan.steps.into_iter().map(|step| step.text).collect();
    let operator = intent.operator.clone();
    next.history.push(ChangeNote { version: next.version, change_id, operator, steps });
    let excess = next.history.len().saturating_sub(ClusterConfig::HISTORY);
    next.history.drain(..excess);
    Ok(next)
}

fn find_contradictions(config: &ClusterConfig, intent: &IntentSpec) -> Vec<String> {
    let mut findings = Vec::new();
    let known = |name: &str| config.servers.iter().find(|server| server.name == name);
    let model_known = |name: &str| {
        config.model(name).is_some() || intent.models.iter().any(|model| model.name == name)
    };
    for server in &intent.join {
        if known(&server.name).is_some_and(|old| !old.leaving) {
            findings.push(format!("join: server {:?} is already part of the fleet", server.name));
        }
        let twins = intent.join.iter().filter(|other| other.name == server.name).count();
        if twins > 1 {
            findings.push(format!("join: server {:?} is named {twins} times", server.name));
        }
        for model in server.models.iter().filter(|model| !model_known(model)) {
            findings.push(format!("join: server {:?} wants unknown model {model:?}", server.name));
        }
    }
    for name in &intent.leave {
        match known(name) {
            None => findings.push(format!("leave: no server {name:?}")),
            Some(old) if old.leaving => {
                findings.push(format!("leave: server {name:?} is leaving already"));
            }
            Some(_) => {}
        }
        if intent.role.iter().any(|change| change.server == *name) {
            findings.push(format!("leave: server {name:?} is also to change role"));
        }
    }
    for change in &intent.role {
        match known(&change.server) {
            None => findings.push(format!("role: no server {:?}", change.server)),
            Some(old) if old.role == change.role => findings.push(format!(
                "role: server {:?} has the role {} already",
                change.server,
                change.role.name()
            )),
            Some(_) => {}
        }
    }
    findings
}

fn add_model_steps(config: &ClusterConfig, intent: &IntentSpec, steps: &mut Vec<PlanStep>) {
    for model in &intent.models {
        let holders = config.servers.iter().filter(|server| server.models.contains(&model.name));
        let old = config.model(&model.name);
        let reload = old.is_some_and(|old| old.version != model.version);
        let seconds =
            if reload { holders.count() as f64 * pull_seconds(model.weight_bytes) } else { 0.0 };
        let text = match old {
            None => format!("serve model {} in version {}", model.name, model.version),
            Some(old) if reload => {
                format!(
                    "move model {} from version {} to {}",
                    model.name, old.version, model.version
                )
            }
            Some(_) => {
                format!("change model {}: adapters {}", model.name, model.adapters.join(", "))
            }
        };
        steps.push(step(StepAction::SetModel(model.name.clone()), text, seconds, None));
    }
}

fn add_server_steps(config: &ClusterConfig, intent: &IntentSpec, steps: &mut Vec<PlanStep>) {
    for server in &intent.join {
        let bytes: u64 = server.models.iter().map(|name| weight_bytes(config, intent, name)).sum();
        let text = join_text(server);
        let wait = Some("its models are loaded".to_owned());
        steps.push(step(StepAction::Join(server.name.clone()), text, pull_seconds(bytes), wait));
    }
    for change in &intent.role {
        let text = format!("drain {} and make it a {} server", change.server, change.role.name());
        let wait = Some("its work in flight has ended".to_owned());
        let action = StepAction::ChangeRole(change.server.clone(), change.role);
        steps.push(step(action, text, 0.0, wait));
    }
    for name in &intent.leave {
        let text = format!("give {name} no new work and let it empty");
        let wait = Some("its work in flight has ended".to_owned());
        steps.push(step(StepAction::Leave(name.clone()), text, 0.0, wait));
    }
}

fn add_promise_steps(config: &ClusterConfig, intent: &IntentSpec, steps: &mut Vec<PlanStep>) {
    for service in &intent.services {
        let verb = if config.service(&service.name).is_some() { "change" } else { "add" };
        let text =
            format!("{verb} service {} on {} servers", service.name, service.addresses.len());
        steps.push(step(StepAction::SetService(service.name.clone()), text, 0.0, None));
    }
    for class in &intent.classes {
        let text = format!(
            "promise class {} its first token in {} ms and {} ms between tokens",
            class.name, class.first_token_ms, class.between_tokens_ms
        );
        steps.push(step(StepAction::SetClass(class.name.clone()), text, 0.0, None));
    }
    for org in &intent.organisations {
        let text = format!("admit organisation {}", org.name);
        steps.push(step(StepAction::AddOrganisation(org.name.clone()), text, 0.0, None));
    }
}

fn step(action: StepAction, text: String, seconds: f64, waits_for: Option<String>) -> PlanStep {
    PlanStep { action, text, weight_store_seconds: seconds, starts_after_seconds: 0.0, waits_for }
}

fn join_text(server: &ServerSpec) -> String {
    let fence = if server.checks_fence { "checks fences" } else { "does not check fences" };
    format!(
        "join {} in {} as a {} server with {} ({fence})",
        server.name,
        server.domain,
        server.role.name(),
        server.models.join(", ")
    )
}

fn weight_bytes(config: &ClusterConfig, intent: &IntentSpec, name: &str) -> u64 {
    let stated = intent.models.iter().find(|model| model.name == name);
    stated.or_else(|| config.model(name)).map_or(0, |model| model.weight_bytes)
}

fn pull_seconds(bytes: u64) -> f64 {
    bytes as f64 / WEIGHT_STORE_BYTES_PER_SECOND
}

/// The weight store serves one pull at full rate after the other, in the order of the steps.
fn schedule_pulls(steps: &mut [PlanStep]) {
    let mut clock = 0.0;
    for step in steps.iter_mut().filter(|step| step.weight_store_seconds > 0.0) {
        step.starts_after_seconds = clock;
        clock += step.weight_store_seconds;
    }
}

fn next_config(config: &ClusterConfig, intent: &IntentSpec) -> ClusterConfig {
    let mut next = config.clone();
    replace_by(&mut next.models, &intent.models, |model| model.name.as_str());
    replace_by(&mut next.servers, &intent.join, |server| server.name.as_str());
    replace_by(&mut next.services, &intent.services, |service| service.name.as_str());
    replace_by(&mut next.classes, &intent.classes, |class| class.name.as_str());
    replace_by(&mut next.organisations, &intent.organisations, |org| org.name.as_str());
    for server in &mut next.servers {
        server.leaving |= intent.leave.contains(&server.name);
        if let Some(change) = intent.role.iter().find(|change| change.server == server.name) {
            server.role = change.role;
        }
    }
    next
}

fn replace_by<T: Clone>(list: &mut Vec<T>, changes: &[T], name: impl Fn(&T) -> &str) {
    for change in changes {
        match list.iter().position(|old| name(old) == name(change)) {
            Some(place) => list[place] = change.clone(),
            None => list.push(change.clone()),
        }
    }
}

fn warn_of_consequences(next: &ClusterConfig) -> Vec<String> {
    let mut warnings = Vec::new();
    for model in &next.models {
        for role in [ServerRole::Prefill, ServerRole::Decode] {
            let serves = |server: &&ServerSpec| {
                server.role == role && !server.leaving && server.models.contains(&model.name)
            };
            if next.servers.iter().filter(serves).count() == 0 {
                warnings.push(format!("model {} will have no {} server", model.name, role.name()));
            }
        }
    }
    for server in next.servers.iter().filter(|server| !server.checks_fence && !server.leaving) {
        warnings.push(format!(
            "server {} does not check fences: only its book's owner orders it, and only within 5 s of hearing the store",
            server.name
        ));
    }
    warnings
}
