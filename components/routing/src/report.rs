//! Load reports of engines. Their figures are already old on arrival.

use garnet_types::{BuildId, EngineCapacity, EngineRole};
use serde::{Deserialize, Serialize};

use crate::prefix_index::CacheEvent;

/// One load report of an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Distinguishes the starts of the engine.
    pub incarnation: u64,
    /// Build of the engine; empty if it names none.
    #[serde(default)]
    pub build: BuildId,
    /// Actual role of the engine.
    pub role: EngineRole,
    /// Whether the engine accepts new work.
    pub accepting: bool,
    /// Prompt tokens that wait to be prefilled.
    pub queued_prompt_tokens: u64,
    /// Requests that are being decoded or wait for it.
    pub active_sequences: u64,
    /// Age of the figures, in milliseconds.
    pub age_ms: u64,
    /// Speed of the engine.
    pub capacity: EngineCapacity,
    /// Changes of the prefix cache since the last report to this receiver.
    pub cache_events: Vec<CacheEvent>,
}
