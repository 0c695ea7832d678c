use crate::keys::mix_hash;
use std::collections::HashMap;

/// Prompt tokens in one prefix block.
pub const BLOCK_TOKENS: usize = 64;

/// Chained hashes of the whole blocks of a prompt, given as hashes of its tokens.
pub fn prefix_blocks(tokens: impl Iterator<Item = u64>) -> Vec<u64> {
    let mut blocks = Vec::new();
    let mut chain = 0;
    for (place, token) in tokens.enumerate() {
        chain = mix_hash(chain, token);
        if (place + 1) % BLOCK_TOKENS == 0 {
            blocks.push(chain);
        }
    }
    blocks
}

/// What the owner believes a prefill server has cached.
///
/// Fed by the server's late and gappy events and by the owner's own placements; a wrong belief
/// costs a wrong quote, never a wrong answer.
#[derive(Debug)]
pub struct PrefixIndex {
    limit: usize,
    used_at: HashMap<u64, u64>,
    counter: u64,
}

impl PrefixIndex {
    /// An empty index of at most `limit` blocks.
    pub fn new(limit: usize) -> Self {
        Self { limit: limit.max(1), used_at: HashMap::new(), counter: 0 }
    }

    /// Tokens of the prompt, from its start, that are believed cached.
    pub fn cached_tokens(&self, blocks: &[u64]) -> u32 {
        let known = blocks.iter().take_while(|block| self.used_at.contains_key(block)).count();
        u32::try_from(known * BLOCK_TOKENS).unwrap_or(u32::MAX)
    }

    /// Blocks were stored or used; the least recently used ones go when the limit is passed.
    pub fn record_stored(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.counter += 1;
            self.used_at.insert(*block, self.counter);
        }
        if self.used_at.len() > self.limit {
            let mut ages: Vec<u64> = self.used_at.values().copied().collect();
            let excess = ages.len() - self.limit;
            let (_, cut, _) = ages.select_nth_unstable(excess);
            let cut = *cut;
            self.used_at.retain(|_, age| *age >= cut);
        }
    }

    /// Blocks were evicted.
    pub fn record_evicted(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.used_at.remove(block);
        }
    }

    /// Events were missed: nothing is known any more.
    pub fn clear(&mut self) {
        self.used_at.clear();
    }

    /// Blocks believed cached.
    pub fn len(&self) -> usize {
        self.used_at.len()
    }

    /// Whether nothing is believed cached.
    pub fn is_empty(&self) -> bool {
        self.used_at.is_empty()
    }
}
