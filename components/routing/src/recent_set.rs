//! A bounded set of what was seen lately.

use std::collections::HashSet;

use garnet_types::Millis;

/// Hashes seen within the last one to two windows.
#[derive(Debug, Clone)]
pub struct RecentSet {
    current: HashSet<u64>,
    previous: HashSet<u64>,
    turned_at: Millis,
    window: Millis,
    most: usize,
}

impl RecentSet {
    /// An empty set that remembers for at least `window`, unless more than
    /// `most` hashes come within it.
    pub fn new(window: Millis, most: usize) -> Self {
        RecentSet {
            current: HashSet::new(),
            previous: HashSet::new(),
            turned_at: Millis::ZERO,
            window,
            most,
        }
    }

    /// Remembers a hash.
    pub fn insert(&mut self, hash: u64, now: Millis) {
        self.turn(now);
        self.current.insert(hash);
    }

    /// Whether a hash was remembered lately.
    pub fn contains(&mut self, hash: u64, now: Millis) -> bool {
        self.turn(now);
        self.current.contains(&hash) || self.previous.contains(&hash)
    }

    fn turn(&mut self, now: Millis) {
        let over = now.since(self.turned_at) >= self.window;
        if over || self.current.len() >= self.most {
            self.previous = std::mem::take(&mut self.current);
            self.turned_at = now;
        }
    }
}
