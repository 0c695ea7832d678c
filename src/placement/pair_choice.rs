use crate::keys::{NameKey, ServerKey};
use serde::{Deserialize, Serialize};

/// What a prefill server's owner offers, in times from now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillQuote {
    /// The server.
    pub server: ServerKey,
    /// When the prefill would be finished, in microseconds from now.
    pub finish_in_micros: u64,
    /// The work it costs, after cached blocks.
    pub work_micros: u64,
}

/// What a decode server's owner offers, in times from now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecodeQuote {
    /// The server.
    pub server: ServerKey,
    /// When a slot is predicted free, in microseconds from now.
    pub free_in_micros: u64,
    /// How long the transfer takes once it starts.
    pub transfer_micros: u64,
    /// Slots in use or promised.
    pub used: u32,
}

/// The chosen pair and the predicted moments.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PairChoice {
    /// The prefill offer.
    pub prefill: PrefillQuote,
    /// The decode offer.
    pub decode: DecodeQuote,
    /// When the KV cache is handed over, in microseconds from now.
    pub handoff_in_micros: u64,
}

/// Orders all pairs that meet the deadline: least work first, then the earliest handoff.
///
/// Pairs stay within one failure domain, since a transfer across domains would cross the links
/// that fail first. A prefill whose slot is free later than it could finish is started later, so
/// that its result does not wait.
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
    // Work is compared coarsely: a few tokens' difference must not beat an earlier finish.
    let coarse = |pair: &PairChoice| pair.handoff_in_micros + 2 * pair.prefill.work_micros;
    pairs.sort_by_key(|pair| (coarse(pair), pair.decode.used, pair.decode.server));
    pairs
}
