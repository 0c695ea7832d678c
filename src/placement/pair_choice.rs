use crate::keys::{NameKey, ServerKey};
use serde::{Deserialize, Serialize};

/// The offer of a prefill server's owner; times are relative to now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillQuote {
    /// The server.
    pub server: ServerKey,
    /// When the prefill would finish, in microseconds from now.
    pub finish_in_micros: u64,
    /// The prefill time for the blocks that are not cached, in microseconds.
    pub work_micros: u64,
}

/// The offer of a decode server's owner; times are relative to now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecodeQuote {
    /// The server.
    pub server: ServerKey,
    /// When a slot is predicted to be free, in microseconds from now.
    pub free_in_micros: u64,
    /// Duration of the KV cache transfer, in microseconds.
    pub transfer_micros: u64,
    /// Slots in use or reserved.
    pub used: u32,
}

/// A prefill and a decode server for one request, with the predicted time of the handoff.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PairChoice {
    /// The prefill offer.
    pub prefill: PrefillQuote,
    /// The decode offer.
    pub decode: DecodeQuote,
    /// When the KV cache is handed over, in microseconds from now.
    pub handoff_in_micros: u64,
}

/// Ranks all pairs that meet the deadline by a combination of the time of the handoff and the work.
///
/// Both servers of a pair are in the same failure domain, since a transfer across domains would use
/// the links that fail first. If the slot becomes free only after the prefill could finish, the
/// prefill starts later, so that its result does not have to wait.
pub fn rank_pairs(
    prefills: &[(NameKey, PrefillQuote)],
    decodes: &[(NameKey, DecodeQuote)],
    deadline_in_micros: u64,
) -> Vec<PairChoice> {
    let mut pairs = Vec::new();
    for (prefill_domain, prefill) in prefills {
        for (_, decode) in decodes.iter().filter(|(domain, _)| domain == prefill_domain) {
            let handoff_in_micros = prefill.finish_in_micros.max(decode.free_in_micros);
            let in_time = handoff_in_micros + decode.transfer_micros <= deadline_in_micros;
            if in_time {
                pairs.push(PairChoice { prefill: *prefill, decode: *decode, handoff_in_micros });
            }
        }
    }
    // Work counts twice, in the unit of time: a difference of a few tokens must not outweigh a
    // clearly earlier handoff.
    let cost = |pair: &PairChoice| pair.handoff_in_micros + 2 * pair.prefill.work_micros;
    pairs.sort_by_key(|pair| (cost(pair), pair.decode.used, pair.decode.server));
    pairs
}
