//! An estimate of which engine holds the KV cache of which prompt prefixes.
//!
//! Prompts are split into blocks. The hash of a block covers all blocks before it, so that one
//! hash identifies a prefix. Engines publish cache events with delays and gaps. After a gap all
//! blocks of the engine are dropped: a missing prefix costs time, a wrong one a misrouted request.

use std::collections::{BTreeMap, HashSet, VecDeque};

use garnet_types::BackendId;
use serde::{Deserialize, Serialize};

/// Tokens of one block. One word counts as one token throughout.
pub const BLOCK_TOKENS: usize = 64;
/// Maximum number of blocks of one engine; the oldest are dropped first.
pub const MAX_BLOCKS_PER_ENGINE: usize = 16 * 1024;
/// Maximum number of blocks of all engines together, divided evenly among them. It keeps the index
/// of a large fleet within some 15 MB.
pub const MAX_BLOCKS: usize = 384 * 1024;

/// One change of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Increases by one with each event of an incarnation.
    pub sequence: u64,
    /// Hash of the prefix that ends with the block.
    pub block: u64,
    /// Whether the block was stored; otherwise it was evicted.
    pub stored: bool,
}

/// The blocks that one engine is estimated to hold.
#[derive(Debug, Default)]
struct EngineBlocks {
    incarnation: u64,
    next_sequence: Option<u64>,
    blocks: HashSet<u64>,
    order: VecDeque<u64>,
}

/// The estimated prefix caches of all engines.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    engines: BTreeMap<BackendId, EngineBlocks>,
    /// Number of times that an engine's blocks were dropped after a gap.
    pub gaps: u64,
}

impl PrefixIndex {
    /// Applies events of one engine, in order.
    pub fn observe(&mut self, engine: &BackendId, incarnation: u64, events: &[CacheEvent]) {
        let engine_blocks = self.engines.entry(engine.clone()).or_default();
        if engine_blocks.incarnation != incarnation {
            *engine_blocks = EngineBlocks {
                incarnation,
                ..EngineBlocks::default()
            };
        }
        for event in events {
            let expected = engine_blocks.next_sequence.unwrap_or(event.sequence);
            if event.sequence < expected {
                continue;
            }
            if event.sequence > expected {
                engine_blocks.blocks.clear();
                engine_blocks.order.clear();
                self.gaps += 1;
            }
            engine_blocks.next_sequence = Some(event.sequence + 1);
            engine_blocks.apply(event);
        }
        let max_blocks = self.blocks_per_engine();
        if let Some(engine_blocks) = self.engines.get_mut(engine) {
            engine_blocks.shrink_to(max_blocks);
        }
    }

    /// Number of blocks of all engines.
    pub fn len(&self) -> usize {
        self.engines
            .values()
            .map(|engine_blocks| engine_blocks.blocks.len())
            .sum()
    }

    /// Whether the index has no blocks.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn blocks_per_engine(&self) -> usize {
        let max_blocks = MAX_BLOCKS / self.engines.len().max(1);
        max_blocks.min(MAX_BLOCKS_PER_ENGINE)
    }

    /// Drops all blocks of an engine.
    pub fn forget(&mut self, engine: &BackendId) {
        self.engines.remove(engine);
    }

    /// Number of tokens of the prompt's prefix that the engine is estimated to hold.
    pub fn cached_tokens(&self, engine: &BackendId, prompt_blocks: &[u64]) -> u64 {
        let Some(engine_blocks) = self.engines.get(engine) else {
            return 0;
        };
        let cached_blocks = prompt_blocks
            .iter()
            .take_while(|block| engine_blocks.blocks.contains(*block))
            .count();
        (cached_blocks * BLOCK_TOKENS) as u64
    }
}

impl EngineBlocks {
    fn apply(&mut self, event: &CacheEvent) {
        if !event.stored {
            self.blocks.remove(&event.block);
            return;
        }
        if self.blocks.insert(event.block) {
            self.order.push_back(event.block);
        }
    }

    /// Drops the oldest blocks beyond `max_len`, and frees memory if there were many.
    fn shrink_to(&mut self, max_len: usize) {
        while self.order.len() > max_len {
            if let Some(oldest) = self.order.pop_front() {
                self.blocks.remove(&oldest);
            }
        }
        if self.order.capacity() > 4 * max_len {
            self.order.shrink_to(2 * max_len);
            self.blocks.shrink_to(2 * max_len);
        }
    }
}

/// Hashes of the complete blocks of a prompt, each covering all blocks before it.
pub fn block_hashes(prompt: &str) -> Vec<u64> {
    let mut hashes = Vec::new();
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for (position, word) in prompt.split_whitespace().enumerate() {
        for byte in word.bytes().chain([b' ']) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        if (position + 1) % BLOCK_TOKENS == 0 {
            hashes.push(hash);
        }
    }
    hashes
}
