use crate::keys::mix_hash;
use std::collections::HashMap;

/// Number of prompt tokens in one prefix block.
pub const BLOCK_TOKENS: usize = 64;

/// Chained hashes of the complete blocks of a prompt, whose tokens are given as hashes.
pub fn prefix_blocks(tokens: impl Iterator<Item = u64>) -> Vec<u64> {
    let mut blocks = Vec::new();
    let mut chained_hash = 0;
    for (index, token) in tokens.enumerate() {
        chained_hash = mix_hash(chained_hash, token);
        if (index + 1) % BLOCK_TOKENS == 0 {
            blocks.push(chained_hash);
        }
    }
    blocks
}

/// The owner's estimate of the blocks in a prefill server's prefix cache.
///
/// It is updated from the server's cache events, which arrive late and with gaps, and from the
/// owner's own placements. A wrong estimate leads to a wrong quote, never to a wrong answer.
#[derive(Debug)]
pub struct PrefixIndex {
    limit: usize,
    used_at: HashMap<u64, u64>,
    counter: u64,
}

impl PrefixIndex {
    /// An empty index with a capacity of `limit` blocks.
    pub fn new(limit: usize) -> Self {
        Self { limit: limit.max(1), used_at: HashMap::new(), counter: 0 }
    }

    /// Length in tokens of the prefix of the prompt that is probably cached.
    pub fn cached_tokens(&self, blocks: &[u64]) -> u32 {
        let cached_blocks =
            blocks.iter().take_while(|block| self.used_at.contains_key(block)).count();
        u32::try_from(cached_blocks * BLOCK_TOKENS).unwrap_or(u32::MAX)
    }

    /// Records that blocks were stored or used. Above the limit, the least recently used blocks are
    /// removed.
    pub fn record_stored(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.counter += 1;
            self.used_at.insert(*block, self.counter);
        }
        if self.used_at.len() > self.limit {
            let mut uses: Vec<u64> = self.used_at.values().copied().collect();
            let excess = uses.len() - self.limit;
            let (_, oldest_kept, _) = uses.select_nth_unstable(excess);
            let oldest_kept = *oldest_kept;
            self.used_at.retain(|_, used| *used >= oldest_kept);
        }
    }

    /// Records that blocks were evicted.
    pub fn record_evicted(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.used_at.remove(block);
        }
    }

    /// Clears the index after cache events were missed, since the contents of the cache are then
    /// unknown.
    pub fn clear(&mut self) {
        self.used_at.clear();
    }

    /// Number of blocks that are probably cached.
    pub fn len(&self) -> usize {
        self.used_at.len()
    }

    /// Whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.used_at.is_empty()
    }
}
