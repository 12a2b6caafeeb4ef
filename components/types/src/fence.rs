//! The fencing token that makes orders of a deposed leader ineffective.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Log position of a committed order. Engines reject a fence below the highest
/// one that they have accepted, and treat an equal one as the same order.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence {
    /// Term of the leader that issued the order.
    pub term: u64,
    /// Log index of the committed order.
    pub index: u64,
}

impl fmt::Display for Fence {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.term, self.index)
    }
}
