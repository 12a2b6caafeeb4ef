//! An engine's prefix cache of limited memory, with its events.

use std::collections::{HashMap, VecDeque};

use garnet_routing::CacheEvent;
use garnet_routing::prefix_index::BLOCK_TOKENS;

/// Events kept for readers; one who comes later finds a gap.
const KEPT_EVENTS: usize = 4096;

/// Blocks held, the least recently used dropped first.
#[derive(Debug, Clone)]
pub struct PrefixCache {
    capacity: usize,
    blocks: HashMap<u64, u64>,
    uses: VecDeque<(u64, u64)>,
    clock: u64,
    events: VecDeque<CacheEvent>,
    next_sequence: u64,
}

impl PrefixCache {
    /// An empty cache of `capacity` blocks.
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

    /// Tokens of the prompt's prefix that are held.
    pub fn cached_tokens(&self, blocks: &[u64]) -> u64 {
        let held = blocks
            .iter()
            .take_while(|block| self.blocks.contains_key(block))
            .count();
        (held * BLOCK_TOKENS) as u64
    }

    /// Notes that the prompt's blocks are held and were just used.
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

    /// Drops everything, as a role or model change does.
    pub fn clear(&mut self) {
        let blocks: Vec<u64> = self.blocks.drain().map(|(block, _)| block).collect();
        self.uses.clear();
        for block in blocks {
            self.publish(block, false);
        }
    }

    /// Events from `sequence` on that are still kept.
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
            // A later use of the same block stands farther back.
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
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
