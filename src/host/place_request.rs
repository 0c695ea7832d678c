//! Builds the quote request for the owners of servers and evaluates their offers.

use super::CompletionRequest;
use super::attempt_guard::ServerLocation;
use super::completion_run::AnswerState;
use super::host_state::{HostState, micros};
use crate::intents::{ClusterConfig, ServerRole, ServerSpec};
use crate::keys::{AttemptId, NameKey, OrgKey, ServerKey, mix_hash, stable_hash};
use crate::peers::{PlaceOffers, PlaceRequest};
use crate::placement::{PairChoice, prefix_blocks, rank_pairs, rendezvous_rank};
use std::time::Duration;

/// Maximum number of servers of one role asked for a quote; today's fleets have fewer.
pub(super) const MAX_CANDIDATES: usize = 8;
/// Of these, the servers chosen because they are likely to have the prompt's first block cached.
const CACHE_CANDIDATES: usize = 3;
/// Time reserved between the handoff and the deadline for one decode step, the network hops and
/// an engine that overruns its estimate.
const FIRST_TOKEN_RESERVE: Duration = Duration::from_millis(110);

/// Number of prompt tokens, counted as the engines count them.
pub(super) fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.split_whitespace().count()).unwrap_or(u32::MAX)
}

fn prompt_blocks(model: &str, prompt: &str) -> Vec<u64> {
    let seed = std::iter::once(stable_hash(model.as_bytes()));
    let words = prompt.split_whitespace().map(|word| stable_hash(word.as_bytes()));
    // The model only salts the chain, so that equal prompts of two models have different blocks.
    let mut blocks = prefix_blocks(words);
    let salt = seed.fold(0, mix_hash);
    for block in &mut blocks {
        *block = mix_hash(*block, salt);
    }
    blocks
}

/// Builds the request for quotes for one attempt.
pub(super) fn build_place_request(
    host: &HostState,
    config: &ClusterConfig,
    request: &CompletionRequest,
    answer: &AnswerState,
    attempt: AttemptId,
) -> PlaceRequest {
    let generated = u32::try_from(answer.generated.len()).unwrap_or(u32::MAX);
    let tokens = prompt_tokens(&request.prompt).saturating_add(generated);
    let blocks = prompt_blocks(&request.model.name, &request.prompt);
    let kv_bytes = u64::from(tokens) * request.model.kv_bytes_per_token;
    let remaining = answer.deadline.since(host.now()).saturating_sub(FIRST_TOKEN_RESERVE);
    let first_block = blocks.first().copied().unwrap_or(attempt.serial);
    PlaceRequest {
        attempt,
        org: OrgKey::of(&request.organisation),
        model: format!("{}@{}", request.model.name, request.model.version),
        tokens,
        kv_bytes,
        not_before_in_micros: 0,
        finish_in_micros: micros(remaining.saturating_sub(estimate_transfer(config, kv_bytes))),
        target_micros: micros(request.first_token),
        prefills: candidates(
            config,
            ServerRole::Prefill,
            &request.model.name,
            host.domain(),
            first_block,
        ),
        decodes: candidates(
            config,
            ServerRole::Decode,
            &request.model.name,
            host.domain(),
            first_block,
        ),
        blocks,
    }
}

/// Time that a KV cache takes to transfer over the slowest link of the fleet.
fn estimate_transfer(config: &ClusterConfig, kv_bytes: u64) -> Duration {
    let slowest = config.servers.iter().map(|server| server.link_bytes_per_second).min();
    Duration::from_secs_f64(kv_bytes as f64 / slowest.unwrap_or(1).max(1) as f64)
}

/// Chooses the servers of one role to ask for quotes.
///
/// In a small fleet, all servers are asked. In a large one, some servers are chosen by cache
/// affinity to the prompt and the rest at random. Most are in the home domain and the others in one
/// single other domain, because a pair of prefill and decode servers needs both in the same domain.
fn candidates(
    config: &ClusterConfig,
    role: ServerRole,
    model: &str,
    home: NameKey,
    first_block: u64,
) -> Vec<ServerKey> {
    let serves = |server: &&ServerSpec| {
        server.role == role && !server.leaving && server.models.iter().any(|held| held == model)
    };
    let mut servers: Vec<(NameKey, ServerKey)> = config
        .servers
        .iter()
        .filter(serves)
        .map(|server| (server.domain_key(), server.key()))
        .collect();
    if servers.len() <= MAX_CANDIDATES {
        return servers.into_iter().map(|(_, key)| key).collect();
    }
    let random_salt: u64 = rand::random();
    let other_domain = servers
        .iter()
        .map(|(domain, _)| *domain)
        .filter(|domain| *domain != home)
        .max_by_key(|domain| rendezvous_rank(first_block, domain.0));
    servers.sort_by_key(|(_, key)| std::cmp::Reverse(rendezvous_rank(first_block, key.0)));
    let mut chosen: Vec<ServerKey> = servers
        .iter()
        .filter(|(domain, _)| *domain == home)
        .take(CACHE_CANDIDATES)
        .map(|(_, key)| *key)
        .collect();
    servers.sort_by_key(|(_, key)| mix_hash(random_salt, key.0));
    let mut add = |domain: Option<NameKey>, limit: usize| {
        for (server_domain, key) in &servers {
            if chosen.len() >= limit {
                break;
            }
            if Some(*server_domain) == domain && !chosen.contains(key) {
                chosen.push(*key);
            }
        }
    };
    add(Some(home), MAX_CANDIDATES - 2);
    add(other_domain, MAX_CANDIDATES);
    chosen
}

/// Ranks all pairs of offers that meet the deadline, best first.
pub(super) fn rank_offers(
    config: &ClusterConfig,
    offers: &PlaceOffers,
    placement: &PlaceRequest,
) -> Vec<PairChoice> {
    let domain = |key: ServerKey| config.server(key).map(|server| server.domain_key());
    let prefills: Vec<_> =
        offers.prefills.iter().filter_map(|quote| Some((domain(quote.server)?, *quote))).collect();
    let decodes: Vec<_> =
        offers.decodes.iter().filter_map(|quote| Some((domain(quote.server)?, *quote))).collect();
    let slowest = decodes.iter().map(|(_, quote)| quote.transfer_micros).max().unwrap_or(0);
    rank_pairs(&prefills, &decodes, placement.finish_in_micros + slowest)
}

/// Looks up both servers of a pair in the configuration.
pub(super) fn locate_pair(
    config: &ClusterConfig,
    pair: &PairChoice,
) -> Option<(ServerLocation, ServerLocation)> {
    Some((locate_server(config, pair.prefill.server)?, locate_server(config, pair.decode.server)?))
}

/// Looks up a server's domain and address in the configuration.
pub(super) fn locate_server(config: &ClusterConfig, key: ServerKey) -> Option<ServerLocation> {
    let server = config.server(key)?;
    Some(ServerLocation { key, domain: server.domain_key(), address: server.address })
}

/// Returns the reason to report to the caller and the shortest time, in microseconds, after which
/// an owner expects capacity.
pub(super) fn summarise_refusals(offers: &PlaceOffers) -> (&'static str, u64) {
    const FALLBACK_MICROS: u64 = 1_000_000;
    let soonest = offers.refusals.iter().min_by_key(|(_, _, retry_micros)| *retry_micros);
    match soonest {
        Some((_, reason, retry_micros)) => (reason.name(), *retry_micros),
        None if offers.prefills.is_empty() || offers.decodes.is_empty() => {
            ("no_server", FALLBACK_MICROS)
        }
        None => ("no_slot", FALLBACK_MICROS),
    }
}
