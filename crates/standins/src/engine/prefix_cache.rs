//! Prompt prefixes seen lately.
//!
//! Prefixes are kept in blocks. The input of a block's last position depends
//! on every token before it, so that it names the whole prefix. The cache
//! only saves time; what a step computes does not depend on it.

use std::collections::BTreeMap;

/// Positions in a block.
const BLOCK_TOKENS: usize = 16;

/// Blocks by name and by last use.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    last_use_by_name: BTreeMap<u64, u64>,
    name_by_last_use: BTreeMap<u64, u64>,
    clock: u64,
}

impl PrefixCache {
    /// Positions held.
    pub(super) fn used_tokens(&self) -> u64 {
        (self.last_use_by_name.len() * BLOCK_TOKENS) as u64
    }

    /// Positions at the start of a prompt that are held.
    pub(super) fn hit(&mut self, inputs: &[u64]) -> u32 {
        let mut hit = 0;
        for name in names(inputs) {
            if !self.last_use_by_name.contains_key(&name) {
                break;
            }
            self.touch(name);
            hit += BLOCK_TOKENS as u32;
        }
        hit
    }

    /// Keeps the blocks of a prompt.
    pub(super) fn insert(&mut self, inputs: &[u64]) {
        for name in names(inputs) {
            self.touch(name);
        }
    }

    /// Drops blocks, the longest unused first, until at most `limit`
    /// positions are held.
    pub(super) fn shrink_to(&mut self, limit: u64) {
        while self.used_tokens() > limit {
            let Some((_, name)) = self.name_by_last_use.pop_first() else {
                return;
            };
            self.last_use_by_name.remove(&name);
        }
    }

    fn touch(&mut self, name: u64) {
        self.clock += 1;
        let old = self.last_use_by_name.insert(name, self.clock);
        if let Some(old) = old {
            self.name_by_last_use.remove(&old);
        }
        self.name_by_last_use.insert(self.clock, name);
    }
}

fn names(inputs: &[u64]) -> impl Iterator<Item = u64> {
    inputs.chunks_exact(BLOCK_TOKENS).map(|block| block[BLOCK_TOKENS - 1])
}
