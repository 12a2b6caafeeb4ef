//! Which engine is believed to hold the KV cache of which prompt prefix.
//!
//! Prompts are cut into blocks; each block's hash covers all blocks before it,
//! so one hash names a whole prefix. Engines publish cache events late and
//! with gaps. After a gap everything believed of that engine is dropped: a
//! forgotten prefix costs time, a wrong belief costs a misrouted request.

use std::collections::{BTreeMap, HashSet, VecDeque};

use garnet_types::BackendId;
use serde::{Deserialize, Serialize};

/// Words of one block. One word counts as one token throughout.
pub const BLOCK_TOKENS: usize = 64;
/// Most blocks believed of one engine; the oldest are forgotten first.
pub const MOST_BLOCKS_PER_ENGINE: usize = 16 * 1024;
/// Most blocks believed of all engines together, which share it evenly: what
/// keeps the index of a large fleet within some 15 MB.
pub const MOST_BLOCKS: usize = 384 * 1024;

/// One change of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts up by one for each event of an incarnation.
    pub sequence: u64,
    /// Hash of the prefix that ends with the block.
    pub block: u64,
    /// Whether the block is now held; else it was evicted.
    pub stored: bool,
}

#[derive(Debug, Default)]
struct EngineBlocks {
    incarnation: u64,
    next_sequence: Option<u64>,
    blocks: HashSet<u64>,
    order: VecDeque<u64>,
}

/// Beliefs about all engines.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    engines: BTreeMap<BackendId, EngineBlocks>,
    /// Times that an engine's beliefs were dropped for a gap.
    pub gaps: u64,
}

impl PrefixIndex {
    /// Takes events of one engine, in order.
    pub fn observe(&mut self, engine: &BackendId, incarnation: u64, events: &[CacheEvent]) {
        let known = self.engines.entry(engine.clone()).or_default();
        if known.incarnation != incarnation {
            *known = EngineBlocks {
                incarnation,
                ..EngineBlocks::default()
            };
        }
        for event in events {
            let expected = known.next_sequence.unwrap_or(event.sequence);
            if event.sequence < expected {
                continue;
            }
            if event.sequence > expected {
                known.blocks.clear();
                known.order.clear();
                self.gaps += 1;
            }
            known.next_sequence = Some(event.sequence + 1);
            known.apply(event);
        }
        let share = self.blocks_per_engine();
        if let Some(known) = self.engines.get_mut(engine) {
            known.shrink_to(share);
        }
    }

    /// Blocks that are believed of all engines.
    pub fn len(&self) -> usize {
        self.engines.values().map(|known| known.blocks.len()).sum()
    }

    /// Whether nothing is believed of any engine.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn blocks_per_engine(&self) -> usize {
        let share = MOST_BLOCKS / self.engines.len().max(1);
        share.min(MOST_BLOCKS_PER_ENGINE)
    }

    /// Drops everything believed of an engine.
    pub fn forget(&mut self, engine: &BackendId) {
        self.engines.remove(engine);
    }

    /// Tokens of the prompt's prefix that the engine is believed to hold.
    pub fn cached_tokens(&self, engine: &BackendId, prompt_blocks: &[u64]) -> u64 {
        let Some(known) = self.engines.get(engine) else {
            return 0;
        };
        let held = prompt_blocks
            .iter()
            .take_while(|block| known.blocks.contains(*block))
            .count();
        (held * BLOCK_TOKENS) as u64
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

    /// Forgets the oldest blocks beyond a count, and gives their memory back
    /// when they were many.
    fn shrink_to(&mut self, most: usize) {
        while self.order.len() > most {
            if let Some(oldest) = self.order.pop_front() {
                self.blocks.remove(&oldest);
            }
        }
        if self.order.capacity() > 4 * most {
            self.order.shrink_to(2 * most);
            self.blocks.shrink_to(2 * most);
        }
    }
}

/// Hashes of the whole blocks of a prompt, each covering all before it.
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
