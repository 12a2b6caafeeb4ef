//! Closed types that describe back ends and the machines they run on.

use serde::{Deserialize, Serialize};

/// What a back end is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// A language-model engine.
    Engine,
    /// An instance of an application service.
    Application,
}

/// The phase of inference that an engine works on.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Reads prompts and exports their KV cache.
    Prefill,
    /// Generates tokens from an imported KV cache.
    Decode,
    /// Does both phases, with chunked prefill between decode steps.
    #[default]
    Mixed,
}

impl EngineRole {
    /// Whether the role may read prompts.
    pub fn prefills(self) -> bool {
        self != EngineRole::Decode
    }

    /// Whether the role may generate tokens.
    pub fn generates(self) -> bool {
        self != EngineRole::Prefill
    }

    /// The role's name on the wire and in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            EngineRole::Prefill => "prefill",
            EngineRole::Decode => "decode",
            EngineRole::Mixed => "mixed",
        }
    }
}

/// What the platform's list says of a machine. The list lags.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// In service.
    #[default]
    Live,
    /// Going out of service: takes no new work.
    Leaving,
}

/// Start of a back end that does not report its starts.
pub const UNKNOWN_START: u64 = 0;
