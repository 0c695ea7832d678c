use super::{DomainBreakers, LoadTable, ServerHealth};
use crate::fleet::{ServerEntry, StageChanges};
use crate::keys::{NameKey, ServerKey, TimePoint, mix_hash};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Another failure domain counts like this part of a full server: what runs there is lost when the
/// domains are cut apart, its bytes are priced, and memory moves take twice as long.
pub const REMOTE_DOMAIN_PENALTY: f64 = 0.3;
/// Spreads equal choices of several hosts, as a part of a full server.
const JITTER: f64 = 0.06;
/// A server without an open connection counts like this part of a full one: less than one request, so
/// that it decides only between servers that are about equally full.
const COLD: f64 = 0.08;
/// A server that only errs counts like this many full ones.
const ERRORS: f64 = 3.0;

/// What a server is chosen for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RankingCriterion {
    /// Memory of a decode server of this many tokens.
    DecodeMemory(u32),
    /// The shortest queue of prompts; one of this many tokens counts as full.
    PromptQueue(u32),
    /// The fewest requests of a plain service.
    Requests,
}

/// What a choice looks at besides the candidates.
#[derive(Debug)]
pub struct RankingContext<'a> {
    /// Load of each server.
    pub loads: &'a LoadTable,
    /// Health of each server that was used.
    pub health: &'a HashMap<ServerKey, ServerHealth>,
    /// Failure domains that seem cut off.
    pub domains: &'a DomainBreakers,
    /// Engines that change their stage.
    pub stage_changes: &'a StageChanges,
    /// Addresses to which a connection is open.
    pub connected: &'a HashSet<SocketAddr>,
    /// The failure domain that the server should be in.
    pub local_domain: NameKey,
    /// Part of a full server that another failure domain counts.
    pub remote_penalty: f64,
    /// Differs between requests and hosts: with one that differed between hosts only, each took the same
    /// of equal servers again, which loaded them unevenly and opened no fewer connections.
    pub salt: u64,
}

/// Orders candidates from best to worst. Those that were silent lately are left out but for one
/// trial now and then: a request that would wait for them is refused at once instead. Engines that
/// change their stage are left out: they would turn the run away after its prompt was read.
pub fn rank_servers<'a>(
    now: TimePoint,
    view: &RankingContext<'_>,
    kind: RankingCriterion,
    candidates: impl Iterator<Item = &'a ServerEntry>,
) -> Vec<&'a ServerEntry> {
    let admitted = |server: &&ServerEntry| {
        let key = server.key();
        let answers = view.health.get(&key).is_none_or(|health| health.admits(now));
        let reached = view.domains.admits(now, server.domain);
        answers && reached && !view.stage_changes.is_changing(now, server)
    };
    let mut ranked: Vec<(f64, &ServerEntry)> = candidates
        .filter(admitted)
        .map(|server| (score(now, view, kind, server), server))
        .collect();
    ranked.sort_by(|left, right| left.0.total_cmp(&right.0));
    ranked.into_iter().map(|(_, server)| server).collect()
}

fn score(
    now: TimePoint,
    view: &RankingContext<'_>,
    kind: RankingCriterion,
    server: &ServerEntry,
) -> f64 {
    let key = server.key();
    let load = view.loads.total(key);
    let fullness = match kind {
        RankingCriterion::DecodeMemory(tokens) => part(load.memory_tokens, tokens),
        RankingCriterion::PromptQueue(tokens) => part(load.prompt_tokens, tokens),
        RankingCriterion::Requests => part(load.requests, server.slots),
    };
    let abroad = if server.domain == view.local_domain { 0.0 } else { view.remote_penalty };
    let jitter = mix_hash(view.salt, key.0) as f64 / u64::MAX as f64 * JITTER;
    let health = view.health.get(&key);
    let errors = health.map_or(0.0, |health| health.error_rate(now)) * ERRORS;
    let cold = if view.connected.contains(&server.address) { 0.0 } else { COLD };
    fullness + abroad + jitter + errors + cold
}

fn part(used: u32, whole: u32) -> f64 {
    f64::from(used) / f64::from(whole.max(1))
}
