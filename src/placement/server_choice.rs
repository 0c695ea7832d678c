use super::{DomainBreakers, LoadTable, ServerHealth};
use crate::fleet::{ServerEntry, StageChanges};
use crate::keys::{NameKey, ServerKey, TimePoint, mix_hash};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Penalty for a server in another failure domain, as a fraction of a full server. Requests that
/// run there are lost when a network partition separates the domains, and memory transfers take
/// twice as long.
pub const REMOTE_DOMAIN_PENALTY: f64 = 0.3;
/// Random spread that keeps several hosts from choosing the same of equal servers, as a fraction of
/// a full server.
const JITTER: f64 = 0.06;
/// Penalty for a server without an open connection, as a fraction of a full server. It is less than
/// one request, so that it decides only between servers that are about equally loaded.
const NEW_CONNECTION_PENALTY: f64 = 0.08;
/// Penalty for a server that answers with errors only, in full servers.
const ERROR_PENALTY: f64 = 3.0;
/// Weight of the logarithm of the pace, in full servers. The time for which a request holds memory is inverse to the
/// pace, so that equal factors between two paces count alike. A server that is 2.3 times as fast as another one goes
/// first unless it is fuller by 0.22, or one to two requests. Even with the random part of the score, a fast server in another
/// failure domain does not make up for [`REMOTE_DOMAIN_PENALTY`]: a request there may be lost with the link.
const PACE_WEIGHT: f64 = 0.26;
/// Largest factor from the median that is considered, so that a wrong measurement moves a server by a quarter at most.
const MAX_PACE_FACTOR: f64 = 2.5;

/// Spread of the random choice among servers of a plain service, in full servers: a server that is fuller by this much
/// is chosen e times less often. The known loads are up to 1.5 s old, so with a smaller spread the hosts together would
/// correct more than the difference that they see, and overload the server that seemed empty.
const REQUEST_SPREAD: f64 = 0.5;

/// The resource by which servers are ranked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RankingCriterion {
    /// Most free memory on a decode server with a capacity of this many tokens.
    DecodeMemory(u32),
    /// Shortest prompt queue, where a queue of this many tokens counts as full.
    PromptQueue(u32),
    /// Fewest requests on a server of a plain service.
    Requests,
}

/// Inputs of the ranking besides the candidates.
#[derive(Debug)]
pub struct RankingContext<'a> {
    /// Load of each server.
    pub loads: &'a LoadTable,
    /// Health of each server that has been used.
    pub health: &'a HashMap<ServerKey, ServerHealth>,
    /// Circuit breakers of the failure domains.
    pub domains: &'a DomainBreakers,
    /// Engines that are changing their stage.
    pub stage_changes: &'a StageChanges,
    /// Addresses with an open connection.
    pub connected: &'a HashSet<SocketAddr>,
    /// Pace of servers over the median of their service; `None` if it is not considered.
    pub relative_paces: Option<&'a HashMap<ServerKey, f64>>,
    /// The preferred failure domain.
    pub local_domain: NameKey,
    /// Penalty for servers in other failure domains, as a fraction of a full server.
    pub remote_penalty: f64,
    /// Weights of servers of a plain service in a random choice; `None` if the best server is always chosen.
    pub weights: Option<&'a HashMap<ServerKey, f64>>,
    /// Seed of the random spread, different for each request and host. If it differed between hosts
    /// only, each host would always choose the same of equal servers, which loads the servers
    /// unevenly without opening fewer connections.
    pub salt: u64,
}

impl RankingContext<'_> {
    /// Whether neither the circuit breakers of this host nor a change of stage keep requests from a server.
    pub fn admits(&self, now: TimePoint, server: &ServerEntry) -> bool {
        let server_admits = self.health.get(&server.key()).is_none_or(|health| health.admits(now));
        let domain_admits = self.domains.admits(now, server.domain);
        server_admits && domain_admits && !self.stage_changes.is_changing(now, server)
    }
}

/// Ranks candidates from best to worst.
///
/// Servers that recently failed to respond are excluded except for occasional trials, so that a
/// request is refused at once rather than waiting for them. Engines that are changing their stage
/// are excluded because they would reject a run after its prompt has been processed.
pub fn rank_servers<'a>(
    now: TimePoint,
    context: &RankingContext<'_>,
    criterion: RankingCriterion,
    candidates: impl Iterator<Item = &'a ServerEntry>,
) -> Vec<&'a ServerEntry> {
    let mut ranked: Vec<(f64, &ServerEntry)> = candidates
        .filter(|server| context.admits(now, server))
        .map(|server| (score(now, context, criterion, server), server))
        .collect();
    ranked.sort_by(|left, right| left.0.total_cmp(&right.0));
    ranked.into_iter().map(|(_, server)| server).collect()
}

fn score(
    now: TimePoint,
    context: &RankingContext<'_>,
    criterion: RankingCriterion,
    server: &ServerEntry,
) -> f64 {
    let key = server.key();
    let load = context.loads.total(key);
    let fullness = match criterion {
        RankingCriterion::DecodeMemory(tokens) => {
            fraction(load.memory_tokens, tokens) + pace_penalty(context, key)
        }
        RankingCriterion::PromptQueue(tokens) => fraction(load.prompt_tokens, tokens),
        RankingCriterion::Requests => fraction(load.requests, server.slots),
    };
    let remote = if server.domain == context.local_domain { 0.0 } else { context.remote_penalty };
    let draw = mix_hash(context.salt, key.0) as f64 / u64::MAX as f64;
    let jitter = match (criterion, context.weights) {
        (RankingCriterion::Requests, Some(weights)) => {
            random_score(draw, weights.get(&key).copied().unwrap_or(1.0))
        }
        _ => draw * JITTER,
    };
    let health = context.health.get(&key);
    let errors = health.map_or(0.0, |health| health.error_rate(now)) * ERROR_PENALTY;
    let new_connection =
        if context.connected.contains(&server.address) { 0.0 } else { NEW_CONNECTION_PENALTY };
    fullness + remote + jitter + errors + new_connection
}

/// Random part of the score of a plain server. The server with the lowest score is then chosen with a probability
/// proportional to its weight, times `exp(-score / REQUEST_SPREAD)` for the rest of its score (Gumbel's method).
fn random_score(draw: f64, weight: f64) -> f64 {
    let draw = draw.clamp(f64::EPSILON, 1.0 - f64::EPSILON);
    -REQUEST_SPREAD * (weight.max(f64::EPSILON).ln() - (-draw.ln()).ln())
}

/// Penalty for the time for which a request occupies memory at a server, compared to one of median pace, as a fraction
/// of a full server; negative for a fast one.
fn pace_penalty(context: &RankingContext<'_>, key: ServerKey) -> f64 {
    let relative = context.relative_paces.and_then(|paces| paces.get(&key)).copied();
    let relative = relative.unwrap_or(1.0).clamp(1.0 / MAX_PACE_FACTOR, MAX_PACE_FACTOR);
    -PACE_WEIGHT * relative.ln()
}

fn fraction(used: u32, capacity: u32) -> f64 {
    f64::from(used) / f64::from(capacity.max(1))
}
