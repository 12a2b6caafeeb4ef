//! A bounded set of recent hashes.

use std::collections::HashSet;

use garnet_types::Millis;

/// Hashes that were added within the last one to two windows.
#[derive(Debug, Clone)]
pub struct RecentSet {
    current: HashSet<u64>,
    previous: HashSet<u64>,
    rotated_at: Millis,
    window: Millis,
    max_len: usize,
}

impl RecentSet {
    /// Creates an empty set that keeps a hash for at least `window`, unless more than `max_len`
    /// hashes are added within it.
    pub fn new(window: Millis, max_len: usize) -> Self {
        RecentSet {
            current: HashSet::new(),
            previous: HashSet::new(),
            rotated_at: Millis::ZERO,
            window,
            max_len,
        }
    }

    /// Adds a hash.
    pub fn insert(&mut self, hash: u64, now: Millis) {
        self.rotate(now);
        self.current.insert(hash);
    }

    /// Whether a hash was added recently.
    pub fn contains(&mut self, hash: u64, now: Millis) -> bool {
        self.rotate(now);
        self.current.contains(&hash) || self.previous.contains(&hash)
    }

    fn rotate(&mut self, now: Millis) {
        let expired = now.since(self.rotated_at) >= self.window;
        if expired || self.current.len() >= self.max_len {
            self.previous = std::mem::take(&mut self.current);
            self.rotated_at = now;
        }
    }
}
