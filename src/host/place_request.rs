//! What a request asks of the owners, and what their offers amount to.

use super::CompletionAsk;
use super::attempt_guard::UsedServer;
use super::completion_run::AnswerState;
use super::host_state::{HostState, micros};
use crate::intents::{ClusterConfig, ServerRole, ServerSpec};
use crate::keys::{AttemptId, NameKey, OrgKey, ServerKey, mix_hash, stable_hash};
use crate::peers::{PlaceOffers, PlaceRequest};
use crate::placement::{PairChoice, prefix_blocks, rank_pairs, rendezvous_rank};
use std::time::Duration;

/// Servers of one role asked for a quote; more than today's fleets have.
pub(super) const CANDIDATES: usize = 8;
/// Of these, so many lie where the prompt's first block is likely cached.
const AFFINE_CANDIDATES: usize = 3;
/// Kept free between the handoff and the deadline: a decode step, the hops, an engine's overrun.
const FIRST_STEP: Duration = Duration::from_millis(110);

/// Prompt tokens as the engines count them.
pub(super) fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.split_whitespace().count()).unwrap_or(u32::MAX)
}

fn prompt_blocks(model: &str, prompt: &str) -> Vec<u64> {
    let seed = std::iter::once(stable_hash(model.as_bytes()));
    let words = prompt.split_whitespace().map(|word| stable_hash(word.as_bytes()));
    // The model counts as nothing but the beginning of the chain.
    let mut blocks = prefix_blocks(words);
    let salt = seed.fold(0, mix_hash);
    for block in &mut blocks {
        *block = mix_hash(*block, salt);
    }
    blocks
}

/// The question to the owners for one attempt.
pub(super) fn place_ask(
    host: &HostState,
    config: &ClusterConfig,
    ask: &CompletionAsk,
    answer: &AnswerState,
    attempt: AttemptId,
) -> PlaceRequest {
    let generated = u32::try_from(answer.generated.len()).unwrap_or(u32::MAX);
    let tokens = prompt_tokens(&ask.prompt).saturating_add(generated);
    let blocks = prompt_blocks(&ask.model.name, &ask.prompt);
    let kv_bytes = u64::from(tokens) * ask.model.kv_bytes_per_token;
    let left = answer.deadline.since(host.now()).saturating_sub(FIRST_STEP);
    let first = blocks.first().copied().unwrap_or(attempt.serial);
    PlaceRequest {
        attempt,
        org: OrgKey::of(&ask.organisation),
        model: format!("{}@{}", ask.model.name, ask.model.version),
        tokens,
        kv_bytes,
        not_before_in_micros: 0,
        finish_in_micros: micros(left.saturating_sub(transfer_guess(config, kv_bytes))),
        target_micros: micros(ask.first_token),
        prefills: candidates(config, ServerRole::Prefill, &ask.model.name, host.domain(), first),
        decodes: candidates(config, ServerRole::Decode, &ask.model.name, host.domain(), first),
        blocks,
    }
}

fn transfer_guess(config: &ClusterConfig, kv_bytes: u64) -> Duration {
    let slowest = config.servers.iter().map(|server| server.link_bytes_per_second).min();
    Duration::from_secs_f64(kv_bytes as f64 / slowest.unwrap_or(1).max(1) as f64)
}

/// All servers of small fleets; of large ones some by affinity to the prompt and the rest by
/// chance, most of them in the home domain and the others in one other domain, so that pairs form.
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
    if servers.len() <= CANDIDATES {
        return servers.into_iter().map(|(_, key)| key).collect();
    }
    let chance: u64 = rand::random();
    let abroad = servers
        .iter()
        .map(|(domain, _)| *domain)
        .filter(|domain| *domain != home)
        .max_by_key(|domain| rendezvous_rank(first_block, domain.0));
    servers.sort_by_key(|(_, key)| std::cmp::Reverse(rendezvous_rank(first_block, key.0)));
    let mut chosen: Vec<ServerKey> = servers
        .iter()
        .filter(|(domain, _)| *domain == home)
        .take(AFFINE_CANDIDATES)
        .map(|(_, key)| *key)
        .collect();
    servers.sort_by_key(|(_, key)| mix_hash(chance, key.0));
    let mut add = |domain: Option<NameKey>, limit: usize| {
        for (place, key) in &servers {
            if chosen.len() >= limit {
                break;
            }
            if Some(*place) == domain && !chosen.contains(key) {
                chosen.push(*key);
            }
        }
    };
    add(Some(home), CANDIDATES - 2);
    add(abroad, CANDIDATES);
    chosen
}

/// All pairs that meet the deadline, the best first.
pub(super) fn choose(
    config: &ClusterConfig,
    offers: &PlaceOffers,
    place: &PlaceRequest,
) -> Vec<PairChoice> {
    let domain = |key: ServerKey| config.server(key).map(|server| server.domain_key());
    let prefills: Vec<_> =
        offers.prefills.iter().filter_map(|q| Some((domain(q.server)?, *q))).collect();
    let decodes: Vec<_> =
        offers.decodes.iter().filter_map(|q| Some((domain(q.server)?, *q))).collect();
    let slowest = decodes.iter().map(|(_, quote)| quote.transfer_micros).max().unwrap_or(0);
    rank_pairs(&prefills, &decodes, place.finish_in_micros + slowest)
}

/// Where both servers of a pair are.
pub(super) fn used_pair(
    config: &ClusterConfig,
    pair: &PairChoice,
) -> Option<(UsedServer, UsedServer)> {
    Some((used(config, pair.prefill.server)?, used(config, pair.decode.server)?))
}

/// Where a server is, as the configuration tells.
pub(super) fn used(config: &ClusterConfig, key: ServerKey) -> Option<UsedServer> {
    let server = config.server(key)?;
    Some(UsedServer { key, domain: server.domain_key(), address: server.address })
}

/// The reason to tell the caller, and the earliest time at which an owner expects room.
pub(super) fn why_refused(offers: &PlaceOffers) -> (&'static str, u64) {
    const FALLBACK_MICROS: u64 = 1_000_000;
    let soonest = offers.refusals.iter().min_by_key(|(_, _, again)| *again);
    match soonest {
        Some((_, reason, again)) => (reason.name(), *again),
        None if offers.prefills.is_empty() || offers.decodes.is_empty() => {
            ("no_server", FALLBACK_MICROS)
        }
        None => ("no_slot", FALLBACK_MICROS),
    }
}
