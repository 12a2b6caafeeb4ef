//! An engine's prefix cache of limited size, with its cache events.

use std::collections::{HashMap, VecDeque};

use garnet_routing::CacheEvent;
use garnet_routing::prefix_index::BLOCK_TOKENS;

/// Maximum number of events kept. A reader that asks for older ones finds a gap.
const MAX_EVENTS: usize = 4096;

/// A cache of prompt blocks with least-recently-used eviction.
#[derive(Debug, Clone)]
pub struct PrefixCache {
    capacity: usize,
    /// Time of the last use of each cached block.
    blocks: HashMap<u64, u64>,
    /// Blocks with the times of their uses, oldest first.
    uses: VecDeque<(u64, u64)>,
    /// Logical time, which increases with each use.
    clock: u64,
    events: VecDeque<CacheEvent>,
    next_sequence: u64,
}

impl PrefixCache {
    /// Creates an empty cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        PrefixCache {
            capacity,
            blocks: HashMap::new(),
            uses: VecDeque::new(),
            clock: 0,
            events: VecDeque::new(),
            next_sequence: 0,
        }
    }

    /// Number of cached tokens of a prompt's prefix, given the prompt's blocks.
    pub fn cached_tokens(&self, blocks: &[u64]) -> u64 {
        let cached = blocks
            .iter()
            .take_while(|block| self.blocks.contains_key(block))
            .count();
        (cached * BLOCK_TOKENS) as u64
    }

    /// Stores a prompt's blocks, or marks them as just used.
    pub fn store(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.clock += 1;
            if self.blocks.insert(*block, self.clock).is_none() {
                self.publish(*block, true);
            }
            self.uses.push_back((*block, self.clock));
        }
        self.evict();
    }

    /// Evicts all blocks, as on a change of role or model.
    pub fn clear(&mut self) {
        let blocks: Vec<u64> = self.blocks.drain().map(|(block, _)| block).collect();
        self.uses.clear();
        for block in blocks {
            self.publish(block, false);
        }
    }

    /// Kept events with sequence numbers from `sequence` on.
    pub fn events_from(&self, sequence: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|event| event.sequence >= sequence)
            .copied()
            .collect()
    }

    fn evict(&mut self) {
        while self.blocks.len() > self.capacity {
            let Some((block, used_at)) = self.uses.pop_front() else {
                return;
            };
            // If the times differ, a later use of the block is further back in the queue.
            if self.blocks.get(&block) == Some(&used_at) {
                self.blocks.remove(&block);
                self.publish(block, false);
            }
        }
        while self.uses.len() > self.capacity * 4 {
            let blocks = &self.blocks;
            self.uses
                .retain(|(block, used_at)| blocks.get(block) == Some(used_at));
        }
    }

    fn publish(&mut self, block: u64, stored: bool) {
        self.events.push_back(CacheEvent {
            sequence: self.next_sequence,
            block,
            stored,
        });
        self.next_sequence += 1;
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
