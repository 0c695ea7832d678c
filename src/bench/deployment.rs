use super::{EnginePlan, ServicePlan, StandinAddresses, StandinPlan};
use crate::intents::ServerRole;
use serde_json::json;

/// Name of a failure domain, and its numbers of prefill servers, decode servers and entry hosts.
type DomainSize = (&'static str, u32, u32, u32);

/// A deployment that the load generator measures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeploymentKind {
    /// The reader platform: 12 language workers, 3 reader-app servers, 9 hosts.
    Panelbridge,
    /// Moving dispatch: 20 drafting workers, 3 booking servers, 8 hosts.
    Halvorsen,
    /// Two domains with three hosts and four workers, for the demo and tests.
    Small,
}

impl std::str::FromStr for DeploymentKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "panelbridge" => Ok(Self::Panelbridge),
            "halvorsen" => Ok(Self::Halvorsen),
            "small" => Ok(Self::Small),
            _ => Err(format!("unknown deployment {text:?}; use panelbridge, halvorsen or small")),
        }
    }
}

/// The sizes and names of a deployment, from the brief.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Which deployment it is.
    pub kind: DeploymentKind,
    domains: Vec<DomainSize>,
    /// Model name.
    pub model: &'static str,
    /// Service name.
    pub service: &'static str,
    /// Path of the service whose POST calls must run at most once.
    pub once_path: &'static str,
    /// Organisations; each sends an equal share of the calls.
    pub organisations: &'static [&'static str],
    /// Target for the time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Target for the time between tokens, in milliseconds.
    pub between_tokens_ms: u64,
    /// Share of the completions that have long prompts.
    pub long_share: f64,
    /// Shortest and longest long prompt, in tokens.
    pub long_tokens: (u32, u32),
    /// Shortest and longest short prompt, in tokens.
    pub short_tokens: (u32, u32),
}

impl Deployment {
    /// The deployment of a kind.
    pub fn new(kind: DeploymentKind) -> Self {
        match kind {
            DeploymentKind::Panelbridge => Self {
                kind,
                domains: vec![("gasan", 2, 2, 3), ("pangyo", 2, 2, 3), ("mokdong", 2, 2, 3)],
                model: "inkmind",
                service: "reader-app",
                once_path: "/comments",
                organisations: &["hanbit", "moonpanel", "garamtoon"],
                first_token_ms: 1500,
                between_tokens_ms: 60,
                long_share: 0.12,
                long_tokens: (1100, 1700),
                short_tokens: (40, 300),
            },
            DeploymentKind::Halvorsen => Self {
                kind,
                domains: vec![("tukwila", 4, 3, 3), ("everett", 4, 3, 3), ("tacoma", 4, 2, 2)],
                model: "draftroom",
                service: "bookdesk",
                once_path: "/bookings",
                organisations: &["halvorsen"],
                first_token_ms: 2000,
                between_tokens_ms: 60,
                long_share: 0.30,
                long_tokens: (1200, 2000),
                short_tokens: (20, 100),
            },
            DeploymentKind::Small => Self {
                kind,
                domains: vec![("gasan", 1, 1, 2), ("pangyo", 1, 1, 1)],
                organisations: &["hanbit", "moonpanel"],
                ..Self::new(DeploymentKind::Panelbridge)
            },
        }
    }

    /// A deployment of `domains` domains of equal size, four at most. It serves to measure how costs
    /// grow with the size.
    pub fn sized(domains: u32, hosts_each: u32, prefills_each: u32, decodes_each: u32) -> Self {
        const NAMES: [&str; 4] = ["d0", "d1", "d2", "d3"];
        let base = Self::new(DeploymentKind::Small);
        let domains = (0..domains.min(4))
            .map(|index| (NAMES[index as usize], prefills_each, decodes_each, hosts_each))
            .collect();
        Self { domains, ..base }
    }

    /// Name and failure domain of each entry host.
    pub fn hosts(&self) -> Vec<(String, String)> {
        let mut hosts = Vec::new();
        for (domain, _, _, count) in &self.domains {
            for index in 1..=*count {
                hosts.push((format!("{domain}-{index}"), (*domain).to_owned()));
            }
        }
        hosts
    }

    /// Plan of the stand-ins that the deployment needs.
    pub fn standins(&self) -> StandinPlan {
        let mut engines = Vec::new();
        for (domain, prefills, decodes, _) in &self.domains {
            for (role, count) in [(ServerRole::Prefill, *prefills), (ServerRole::Decode, *decodes)]
            {
                for index in 1..=count {
                    engines.push(EnginePlan {
                        name: format!("{domain}-{}-{index}", role.name()),
                        domain: (*domain).to_owned(),
                        role,
                        models: vec![format!("{}@1", self.model)],
                        slots: 20,
                        // Not all servers check fences: one in three does not.
                        checks_fence: index % 3 != 0,
                    });
                }
            }
        }
        let services = vec![ServicePlan { name: self.service.to_owned(), servers: 3 }];
        StandinPlan { engines, services }
    }

    /// The intent that brings the deployment into service.
    pub fn intent(&self, addresses: &StandinAddresses) -> String {
        let join: Vec<_> = self
            .standins()
            .engines
            .iter()
            .map(|engine| {
                json!({"name": engine.name, "domain": engine.domain,
                    "address": addresses.engines.get(&engine.name).map(ToString::to_string),
                    "role": engine.role.name(), "models": [self.model], "slots": engine.slots,
                    "prefill_tokens_per_second": 2000, "link_bytes_per_second": 4_000_000_000_u64,
                    "checks_fence": engine.checks_fence})
            })
            .collect();
        let servers: Vec<String> =
            addresses.services[self.service].iter().map(ToString::to_string).collect();
        json!({"kind": "intent", "operator": "bench",
            "models": [{"name": self.model, "version": "1", "adapters": ["plain"],
                "weight_bytes": 40_000_000_000_u64, "kv_bytes_per_token": 200_000}],
            "join": join,
            "services": [{"name": self.service, "addresses": servers,
                "once_paths": [self.once_path]}],
            "classes": [{"name": "interactive", "first_token_ms": self.first_token_ms,
                "between_tokens_ms": self.between_tokens_ms}],
            "organisations": self.organisations.iter().map(|name| json!({"name": name}))
                .collect::<Vec<_>>()})
        .to_string()
    }

    /// Numbers of prefill and decode servers.
    pub fn pools(&self) -> (u32, u32) {
        self.domains.iter().fold((0, 0), |sum, domain| (sum.0 + domain.1, sum.1 + domain.2))
    }

    /// Mean length of a prompt in tokens.
    pub fn mean_prompt_tokens(&self) -> f64 {
        let midpoint = |(low, high): (u32, u32)| f64::from(low + high) / 2.0;
        self.long_share * midpoint(self.long_tokens)
            + (1.0 - self.long_share) * midpoint(self.short_tokens)
    }

    /// Requests per second that the smaller of the two pools can serve without cache hits, for
    /// answers of `mean_answer` tokens; docs/MEASUREMENTS.md derives it.
    pub fn capacity(&self, mean_answer: f64) -> f64 {
        let timing = super::EngineTiming::STANDARD;
        let (prefills, decodes) = self.pools();
        let prefill =
            f64::from(prefills) * timing.prefill_tokens_per_second / self.mean_prompt_tokens();
        let step = timing.step_base + timing.step_per_request * 20;
        let decode = f64::from(decodes) * 20.0 / (mean_answer * step.as_secs_f64());
        prefill.min(decode)
    }
}
