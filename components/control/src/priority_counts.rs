//! Counts of requests or of tokens by engine priority.

use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

/// The lowest (least urgent) priority that engines distinguish; 0 is the highest.
pub const LOWEST_PRIORITY: u8 = 9;
/// Number of priorities that engines distinguish.
const PRIORITY_COUNT: usize = LOWEST_PRIORITY as usize + 1;

/// Counts by engine priority. Engines schedule higher priorities first, so a request
/// waits for requests of its own priority and of higher ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PriorityCounts([u64; PRIORITY_COUNT]);

impl PriorityCounts {
    /// A count at one priority and zero at all others.
    pub fn at(priority: u8, count: u64) -> Self {
        let mut counts = PriorityCounts::default();
        counts.add(priority, count);
        counts
    }

    /// Adds to the count at a priority.
    pub fn add(&mut self, priority: u8, count: u64) {
        self.0[index(priority)] += count;
    }

    /// Subtracts from the count at a priority, down to zero.
    pub fn remove(&mut self, priority: u8, count: u64) {
        let held = &mut self.0[index(priority)];
        *held = held.saturating_sub(count);
    }

    /// All priorities, the highest first.
    pub fn priorities() -> impl Iterator<Item = u8> {
        0..=LOWEST_PRIORITY
    }

    /// Each priority with its count.
    pub fn iter(&self) -> impl Iterator<Item = (u8, u64)> {
        Self::priorities().zip(self.0)
    }

    /// The count at a priority.
    pub fn count_at(&self, priority: u8) -> u64 {
        self.0[index(priority)]
    }

    /// The sum over all priorities.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }

    /// The sum over the priorities that are served before a new request of this priority.
    pub fn ahead_of(&self, priority: u8) -> u64 {
        self.0[..=index(priority)].iter().sum()
    }
}

impl AddAssign for PriorityCounts {
    fn add_assign(&mut self, other: Self) {
        for (sum, count) in self.0.iter_mut().zip(other.0) {
            *sum += count;
        }
    }
}

fn index(priority: u8) -> usize {
    usize::from(priority.min(LOWEST_PRIORITY))
}
