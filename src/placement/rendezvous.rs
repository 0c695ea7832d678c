use crate::keys::mix_hash;

/// The score of `candidate` for `key`; the candidate with the highest score is the owner.
pub fn rendezvous_rank(key: u64, candidate: u64) -> u64 {
    mix_hash(key, candidate)
}

/// The owner of `key` among `candidates`, or `None` if there are no candidates.
///
/// Uses rendezvous (highest random weight) hashing: when a host leaves, only its own keys move.
pub fn rendezvous_owner<T: Copy>(
    key: u64,
    candidates: impl Iterator<Item = (u64, T)>,
) -> Option<T> {
    candidates
        .max_by_key(|(candidate, _)| (rendezvous_rank(key, *candidate), *candidate))
        .map(|(_, value)| value)
}
