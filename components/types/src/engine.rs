//! What the control group and an engine say to each other.

use serde::{Deserialize, Serialize};

use crate::backend::EngineRole;
use crate::fence::Fence;
use crate::identity::ModelId;

const MS_PER_SECOND: f64 = 1000.0;

/// What an engine is set up for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EngineAssignment {
    /// Phase that it works on.
    pub role: EngineRole,
    /// Model that it has loaded.
    pub model: ModelId,
}

/// An order that takes effect only under its fence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Authority of the order.
    pub fence: Fence,
    /// What the engine shall become.
    pub assignment: EngineAssignment,
}

/// How fast an engine is, as it states itself.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineCapacity {
    /// Prompt tokens read in a second when nothing else runs.
    pub prefill_tokens_per_second: f64,
    /// Sequences that may generate at once.
    pub decode_slots: u64,
    /// Milliseconds of one step that generates a token for each sequence.
    pub decode_step_ms: f64,
    /// Milliseconds to hand over the KV cache of 1,000 tokens.
    pub transfer_ms_per_1000_tokens: f64,
}

impl EngineCapacity {
    /// Tokens generated in a second with all slots in use.
    pub fn decode_tokens_per_second(&self) -> f64 {
        self.decode_slots as f64 * MS_PER_SECOND / self.decode_step_ms
    }

    /// Whether prefilling a prompt takes this engine longer than generating the
    /// text with all slots in use.
    pub fn is_prompt_bound(&self, prompt_tokens: f64, output_tokens: f64) -> bool {
        let prefill = prompt_tokens / self.prefill_tokens_per_second;
        prefill > output_tokens / self.decode_tokens_per_second()
    }
}

impl Default for EngineCapacity {
    fn default() -> Self {
        EngineCapacity {
            prefill_tokens_per_second: 10_000.0,
            decode_slots: 16,
            decode_step_ms: 25.0,
            transfer_ms_per_1000_tokens: 4.0,
        }
    }
}

/// State of an engine as it sees itself now.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Differs for each start of the engine.
    pub incarnation: u64,
    /// Highest fence that it ever accepted; kept across restarts. `None` from
    /// an engine that checks fences and does not tell them.
    pub highest_fence: Option<Fence>,
    /// What it is set up for.
    pub assignment: EngineAssignment,
    /// The order that it is carrying out, if any.
    pub changing: Option<EngineOrder>,
    /// Requests that it works on.
    pub running: u64,
    /// Its speed.
    pub capacity: EngineCapacity,
}

/// An engine's answer to an order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// It is being carried out, or was already.
    Accepted(EngineStatus),
    /// A higher fence was accepted before: no effect.
    StaleFence(EngineStatus),
    /// Another order is being carried out, or requests still run: no effect.
    Busy(EngineStatus),
}

impl OrderAnswer {
    /// The state that came with the answer.
    pub fn status(&self) -> &EngineStatus {
        match self {
            OrderAnswer::Accepted(status)
            | OrderAnswer::StaleFence(status)
            | OrderAnswer::Busy(status) => status,
        }
    }
}
