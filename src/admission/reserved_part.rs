use super::ServicePressure;
use crate::keys::{NameKey, ServerKey, mix_hash};
use std::collections::HashMap;

/// Seed of the order in which servers are reserved; the same on all hosts.
const RESERVE_SEED: u64 = 0x6164_6d69_7373_696f;
/// Margin for the random variation of the number of urgent runs, in standard deviations of a Poisson distribution. It
/// is small, since the part follows a larger use at once, and urgent requests also search the other servers and search
/// again. A larger margin leaves memory idle that less urgent requests could use.
const MARGIN_DEVIATIONS: f64 = 0.5;
/// Largest fraction of the servers that is reserved: less urgent ranks keep at least a quarter of the memory.
pub(super) const MAX_RESERVED: f64 = 0.75;

/// Servers in the order in which they are reserved, the same on all hosts: by rendezvous hash within each failure
/// domain, and in turn from each domain, so that a host that is cut off from other domains still reaches its part.
pub fn reserve_order(servers: &[(ServerKey, NameKey)]) -> Vec<ServerKey> {
    let mut hashed: Vec<(u64, ServerKey, NameKey)> = servers
        .iter()
        .map(|(server, domain)| (mix_hash(RESERVE_SEED, server.0), *server, *domain))
        .collect();
    hashed.sort_unstable();
    let mut counts: HashMap<NameKey, usize> = HashMap::new();
    let mut order: Vec<(usize, u64, ServerKey)> = hashed
        .into_iter()
        .map(|(hash, server, domain)| {
            let count = counts.entry(domain).or_default();
            *count += 1;
            (*count, hash, server)
        })
        .collect();
    order.sort_unstable();
    order.into_iter().map(|(_, _, server)| server).collect()
}

/// Memory tokens to reserve for the ranks of `total` that are more urgent than `rank`: what they use and are refused,
/// and a margin.
pub fn reserve_tokens(total: &ServicePressure, rank: u8) -> f64 {
    let urgent = || total.ranks.iter().filter(|other| other.rank < rank);
    let running: u32 = urgent().map(|other| other.running).sum();
    let used: f64 = urgent().map(|other| f64::from(other.tokens)).sum();
    let unmet: f64 = urgent().map(|other| f64::from(other.unmet_tokens)).sum();
    if running == 0 {
        return unmet;
    }
    let mean = used / f64::from(running);
    let margin = MARGIN_DEVIATIONS * (f64::from(running)).sqrt() * mean;
    used + unmet + margin
}
