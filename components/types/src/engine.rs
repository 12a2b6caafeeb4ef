//! Messages between the control group and an engine.

use serde::{Deserialize, Serialize};

use crate::backend::EngineRole;
use crate::fence::Fence;
use crate::identity::ModelId;

const MS_PER_SECOND: f64 = 1000.0;

/// Role and model of an engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EngineAssignment {
    /// Phase of inference that the engine works on.
    pub role: EngineRole,
    /// Model that the engine has loaded.
    pub model: ModelId,
}

/// An order to an engine; its fence decides whether the engine carries it out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Position of the order; see [`Fence`].
    pub fence: Fence,
    /// Role and model that the engine is to take on.
    pub assignment: EngineAssignment,
}

/// Speed of an engine as it reports it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineCapacity {
    /// Prompt tokens prefilled per second when nothing else runs.
    pub prefill_tokens_per_second: f64,
    /// Sequences that may be decoded at once.
    pub decode_slots: u64,
    /// Milliseconds of one decode step, which generates a token for each sequence.
    pub decode_step_ms: f64,
    /// Milliseconds to transfer the KV cache of 1,000 tokens.
    pub transfer_ms_per_1000_tokens: f64,
}

impl EngineCapacity {
    /// Tokens generated per second with all decode slots in use.
    pub fn decode_tokens_per_second(&self) -> f64 {
        self.decode_slots as f64 * MS_PER_SECOND / self.decode_step_ms
    }

    /// Whether prefilling a prompt takes this engine longer than generating its output
    /// with all decode slots in use.
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

/// State of an engine as it reports it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Identifies one start of the engine's process.
    pub incarnation: u64,
    /// Highest fence that the engine has ever accepted; kept across restarts. `None` for
    /// an engine that checks fences but does not report them.
    pub highest_fence: Option<Fence>,
    /// Current role and model.
    pub assignment: EngineAssignment,
    /// The order that is being carried out, if any.
    pub changing: Option<EngineOrder>,
    /// Number of running requests.
    pub running: u64,
    /// Speed of the engine.
    pub capacity: EngineCapacity,
}

/// An engine's answer to an order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// The order is being carried out, or was carried out before.
    Accepted(EngineStatus),
    /// The order has no effect because a higher fence was accepted before.
    StaleFence(EngineStatus),
    /// The order has no effect because another one is being carried out or requests
    /// still run.
    Busy(EngineStatus),
}

impl OrderAnswer {
    /// The engine's state, which every answer contains.
    pub fn status(&self) -> &EngineStatus {
        match self {
            OrderAnswer::Accepted(status)
            | OrderAnswer::StaleFence(status)
            | OrderAnswer::Busy(status) => status,
        }
    }
}
