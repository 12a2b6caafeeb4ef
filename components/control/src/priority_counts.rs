//! A number for each rank of requests: tokens to be prefilled, or requests.

use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

/// The least urgent rank that engines tell apart; 0 is the most urgent.
pub const LOWEST_PRIORITY: u8 = 9;
/// Ranks that engines tell apart.
const RANKS: usize = LOWEST_PRIORITY as usize + 1;

/// Numbers by rank. Engines take the more urgent first, so a request waits for
/// those of its own rank and of the ranks before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PriorityCounts([u64; RANKS]);

impl PriorityCounts {
    /// A number at one rank.
    pub fn at(rank: u8, number: u64) -> Self {
        let mut ranked = PriorityCounts::default();
        ranked.add(rank, number);
        ranked
    }

    /// Adds at a rank.
    pub fn add(&mut self, rank: u8, number: u64) {
        self.0[index(rank)] += number;
    }

    /// Takes away at a rank.
    pub fn remove(&mut self, rank: u8, number: u64) {
        let ranked = &mut self.0[index(rank)];
        *ranked = ranked.saturating_sub(number);
    }

    /// All ranks, the most urgent first.
    pub fn priorities() -> impl Iterator<Item = u8> {
        0..=LOWEST_PRIORITY
    }

    /// Each rank with its number.
    pub fn iter(&self) -> impl Iterator<Item = (u8, u64)> {
        Self::priorities().zip(self.0)
    }

    /// The number at a rank.
    pub fn count_at(&self, rank: u8) -> u64 {
        self.0[index(rank)]
    }

    /// The sum over all ranks.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }

    /// The sum over the ranks that come before a new request of this rank.
    pub fn ahead_of(&self, rank: u8) -> u64 {
        self.0[..=index(rank)].iter().sum()
    }
}

impl AddAssign for PriorityCounts {
    fn add_assign(&mut self, other: Self) {
        for (sum, number) in self.0.iter_mut().zip(other.0) {
            *sum += number;
        }
    }
}

fn index(rank: u8) -> usize {
    usize::from(rank.min(LOWEST_PRIORITY))
}
