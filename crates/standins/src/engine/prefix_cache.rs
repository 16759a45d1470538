//! Cache of recently used prompt prefixes.
//!
//! Prefixes are cached in blocks. The input of a block's last position is a
//! hash of all tokens up to this position, so it identifies the whole prefix.
//! The cache only saves time and doesn't affect the result of a step.

use std::collections::BTreeMap;

/// Positions in a block.
const BLOCK_TOKENS: usize = 16;

/// Cached blocks by hash and by last use.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    last_use_by_hash: BTreeMap<u64, u64>,
    hash_by_last_use: BTreeMap<u64, u64>,
    clock: u64,
}

impl PrefixCache {
    /// Number of cached positions.
    pub(super) fn used_tokens(&self) -> u64 {
        (self.last_use_by_hash.len() * BLOCK_TOKENS) as u64
    }

    /// Number of cached positions at the start of a prompt. Marks their blocks
    /// as used.
    pub(super) fn lookup(&mut self, inputs: &[u64]) -> u32 {
        let mut hit_tokens = 0;
        for hash in block_hashes(inputs) {
            if !self.last_use_by_hash.contains_key(&hash) {
                break;
            }
            self.touch(hash);
            hit_tokens += BLOCK_TOKENS as u32;
        }
        hit_tokens
    }

    /// Caches the complete blocks of a prompt.
    pub(super) fn insert(&mut self, inputs: &[u64]) {
        for hash in block_hashes(inputs) {
            self.touch(hash);
        }
    }

    /// Evicts the least recently used blocks until at most `limit` positions
    /// are cached.
    pub(super) fn shrink_to(&mut self, limit: u64) {
        while self.used_tokens() > limit {
            let Some((_, hash)) = self.hash_by_last_use.pop_first() else {
                return;
            };
            self.last_use_by_hash.remove(&hash);
        }
    }

    fn touch(&mut self, hash: u64) {
        self.clock += 1;
        let previous_use = self.last_use_by_hash.insert(hash, self.clock);
        if let Some(previous_use) = previous_use {
            self.hash_by_last_use.remove(&previous_use);
        }
        self.hash_by_last_use.insert(self.clock, hash);
    }
}

fn block_hashes(inputs: &[u64]) -> impl Iterator<Item = u64> {
    inputs.chunks_exact(BLOCK_TOKENS).map(|block| block[BLOCK_TOKENS - 1])
}
