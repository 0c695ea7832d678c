use super::{
    ChangeRecord, ClusterConfig, IntentSpec, PlanDraft, PlanStep, ServerRole, ServerSpec,
    StepAction,
};
use crate::keys::stable_hash;

/// Rate of the weight store, shared by all downloads (docs/OPERATIONS.md explains how to change
/// it).
const WEIGHT_STORE_BYTES_PER_SECOND: f64 = 2.0e9;

/// Why an intent has no plan, or a plan is no longer valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanRefusal {
    /// The intent contradicts the configuration; one line per finding.
    Findings(Vec<String>),
    /// The configuration has changed since; what changed, and by whom.
    Stale(Vec<String>),
    /// The plan differs from the one that was shown.
    DigestMismatch,
}

/// Drafts the plan that `intent` implies for `config`.
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
    add_remaining_steps(config, intent, &mut steps);
    schedule_downloads(&mut steps);
    let text: String = steps.iter().map(|step| step.text.as_str()).collect::<Vec<_>>().join("\n");
    let digest = stable_hash(format!("{}\n{:?}\n{text}", config.version, intent).as_bytes());
    let warnings = consequence_warnings(&next_config(config, intent));
    let operator = intent.operator.clone();
    Ok(PlanDraft { base_version: config.version, digest, operator, steps, warnings })
}

/// Returns the configuration that a confirmed plan results in.
///
/// # Errors
/// [`PlanRefusal::Stale`] if `config` is not the one that the plan was made from;
/// [`PlanRefusal::DigestMismatch`] if the intent's plan is not the one that was shown.
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
        return Err(PlanRefusal::DigestMismatch);
    }
    let mut next = next_config(config, intent);
    next.version = config.version + 1;
    let steps = plan.steps.into_iter().map(|step| step.text).collect();
    let operator = intent.operator.clone();
    next.history.push(ChangeRecord { version: next.version, change_id, operator, steps });
    let excess = next.history.len().saturating_sub(ClusterConfig::HISTORY_LIMIT);
    next.history.drain(..excess);
    Ok(next)
}

fn find_contradictions(config: &ClusterConfig, intent: &IntentSpec) -> Vec<String> {
    let mut findings = Vec::new();
    let find_server = |name: &str| config.servers.iter().find(|server| server.name == name);
    let knows_model = |name: &str| {
        config.model(name).is_some() || intent.models.iter().any(|model| model.name == name)
    };
    for server in &intent.join {
        if find_server(&server.name).is_some_and(|old| !old.leaving) {
            findings.push(format!("join: server {:?} is already part of the fleet", server.name));
        }
        let mentions = intent.join.iter().filter(|other| other.name == server.name).count();
        if mentions > 1 {
            findings.push(format!("join: server {:?} is named {mentions} times", server.name));
        }
        for model in server.models.iter().filter(|model| !knows_model(model)) {
            findings.push(format!("join: server {:?} wants unknown model {model:?}", server.name));
        }
    }
    for name in &intent.leave {
        match find_server(name) {
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
        match find_server(&change.server) {
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
        let seconds = if reload {
            holders.count() as f64 * download_seconds(model.weight_bytes)
        } else {
            0.0
        };
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
        let waits_for = Some("its models are loaded".to_owned());
        steps.push(step(
            StepAction::Join(server.name.clone()),
            text,
            download_seconds(bytes),
            waits_for,
        ));
    }
    for change in &intent.role {
        let text = format!("drain {} and make it a {} server", change.server, change.role.name());
        let waits_for = Some("its work in flight has ended".to_owned());
        let action = StepAction::ChangeRole(change.server.clone(), change.role);
        steps.push(step(action, text, 0.0, waits_for));
    }
    for name in &intent.leave {
        let text = format!("give {name} no new work and let it empty");
        let waits_for = Some("its work in flight has ended".to_owned());
        steps.push(step(StepAction::Leave(name.clone()), text, 0.0, waits_for));
    }
}

/// Adds the steps for services, classes and organisations.
fn add_remaining_steps(config: &ClusterConfig, intent: &IntentSpec, steps: &mut Vec<PlanStep>) {
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

fn download_seconds(bytes: u64) -> f64 {
    bytes as f64 / WEIGHT_STORE_BYTES_PER_SECOND
}

/// Schedules the weight downloads one after the other at full rate, in the order of the steps.
fn schedule_downloads(steps: &mut [PlanStep]) {
    let mut starts_after = 0.0;
    for step in steps.iter_mut().filter(|step| step.weight_store_seconds > 0.0) {
        step.starts_after_seconds = starts_after;
        starts_after += step.weight_store_seconds;
    }
}

fn next_config(config: &ClusterConfig, intent: &IntentSpec) -> ClusterConfig {
    let mut next = config.clone();
    upsert_by_name(&mut next.models, &intent.models, |model| model.name.as_str());
    upsert_by_name(&mut next.servers, &intent.join, |server| server.name.as_str());
    upsert_by_name(&mut next.services, &intent.services, |service| service.name.as_str());
    upsert_by_name(&mut next.classes, &intent.classes, |class| class.name.as_str());
    upsert_by_name(&mut next.organisations, &intent.organisations, |org| org.name.as_str());
    for server in &mut next.servers {
        server.leaving |= intent.leave.contains(&server.name);
        if let Some(change) = intent.role.iter().find(|change| change.server == server.name) {
            server.role = change.role;
        }
    }
    next
}

/// Replaces the entries of `list` that have the same name as a change and appends the others.
fn upsert_by_name<T: Clone>(list: &mut Vec<T>, changes: &[T], name: impl Fn(&T) -> &str) {
    for change in changes {
        match list.iter().position(|old| name(old) == name(change)) {
            Some(index) => list[index] = change.clone(),
            None => list.push(change.clone()),
        }
    }
}

fn consequence_warnings(next: &ClusterConfig) -> Vec<String> {
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
