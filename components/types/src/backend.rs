//! Kinds, roles and states of back ends and of the machines that they run on.

use serde::{Deserialize, Serialize};

/// Kind of a back end.
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
    /// Prefills prompts and exports their KV cache.
    Prefill,
    /// Generates tokens from an imported KV cache.
    Decode,
    /// Does both phases, with chunked prefill between decode steps.
    #[default]
    Mixed,
}

impl EngineRole {
    /// Whether an engine with this role may prefill prompts.
    pub fn prefills(self) -> bool {
        self != EngineRole::Decode
    }

    /// Whether an engine with this role may generate tokens.
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

/// State of a machine as the platform's list reports it. The list lags behind the machines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// In service.
    #[default]
    Live,
    /// Leaving service; gets no new work.
    Leaving,
}

/// Stands for the start of a back end that does not report it.
pub const UNKNOWN_START: u64 = 0;
