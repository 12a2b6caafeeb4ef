//! What an engine says of its load. A report is old when it arrives.

use garnet_types::{EngineCapacity, EngineRole};
use serde::{Deserialize, Serialize};

use crate::prefix_index::CacheEvent;

/// One load report of an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Differs for each start of the engine.
    pub incarnation: u64,
    /// Role it really has.
    pub role: EngineRole,
    /// Whether it takes new work.
    pub accepting: bool,
    /// Prompt tokens that wait to be read.
    pub queued_prompt_tokens: u64,
    /// Requests that generate, or wait to.
    pub active_sequences: u64,
    /// How long ago the figures were taken, in milliseconds.
    pub age_ms: u64,
    /// Its speed.
    pub capacity: EngineCapacity,
    /// Changes of its prefix cache since the last ones this reader got.
    pub cache_events: Vec<CacheEvent>,
}
