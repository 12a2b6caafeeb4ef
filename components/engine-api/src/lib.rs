//! Headers, paths and bodies of the HTTP interface of engines and of the platform.
//!
//! Specified in docs/engine-interface.md. Bodies are JSON; a generated text is sent
//! as server-sent events, each of which is a JSON object.

mod events;

pub use events::{EventReader, LineTooLong, MAX_LINE_BYTES, encode_event};

use garnet_control::BackendRegistration;
use garnet_types::{BuildId, Class, MachineState};
use serde::{Deserialize, Serialize};

/// Header that is set to [`NOT_STARTED`] on a response to a request that was not started.
pub const STARTED_HEADER: &str = "garnet-started";
/// Header with the requests per second that a back end accepts from all gateways together,
/// a decimal number. An overloaded back end sets it on each of its answers.
pub const LIMIT_HEADER: &str = "garnet-request-limit";
/// Header that is set to [`DRAINING`] on each answer of a back end that will stop soon.
pub const DRAINING_HEADER: &str = "garnet-draining";
/// Value of [`DRAINING_HEADER`].
pub const DRAINING: &str = "1";
/// Header for the backoff that a back end requests from this gateway, on a response with
/// [`STARTED_HEADER`].
pub const RETRY_AFTER_HEADER: &str = "retry-after";
/// Value of [`STARTED_HEADER`] for a request that was not started.
pub const NOT_STARTED: &str = "no";
/// Status of an engine's response to a request that it did not start.
pub const REJECTED_STATUS: u16 = 409;

/// Paths of engines, applications and the platform.
pub mod paths {
    /// `POST`: prefills a prompt.
    pub const PREFILL: &str = "/v1/prefill";
    /// `POST`: generates a text.
    pub const GENERATE: &str = "/v1/generate";
    /// `GET`: the engine's load report.
    pub const LOAD: &str = "/v1/load";
    /// `GET`: the engine's state.
    pub const STATUS: &str = "/v1/status";
    /// `POST`: gives the engine an order.
    pub const ORDERS: &str = "/v1/orders";
    /// `GET` with `/{handle}` appended: an exported KV cache.
    pub const KV: &str = "/v1/kv";
    /// `POST`: injects faults into the engine.
    pub const FAULTS: &str = "/v1/faults";
    /// `GET`: the platform's list of machines. `POST`: registers a machine.
    pub const MACHINES: &str = "/machines";
    /// `POST`: sets the state of a machine in the platform's list.
    pub const MACHINE_STATE: &str = "/machines/state";
    /// `POST`: asks the platform's weight store for permission to load a model.
    pub const WEIGHTS: &str = "/weights";
    /// `GET`: the application's journal of runs.
    pub const JOURNAL: &str = "/journal";
    /// `POST`: injects faults into the application.
    pub const APPLICATION_FAULTS: &str = "/faults";
}

/// Body of [`paths::PREFILL`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillRequest {
    /// Model that must be loaded.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Priority.
    pub class: Class,
    /// Build that the engine must be of, if any.
    #[serde(default)]
    pub build: Option<BuildId>,
}

/// Answer to [`paths::PREFILL`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillResponse {
    /// Handle of the exported KV cache.
    pub handle: u64,
}

/// Location of a KV cache on another engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvLocation {
    /// Address of the engine.
    pub address: String,
    /// Handle of the KV cache on that engine.
    pub handle: u64,
}

/// Body of [`paths::GENERATE`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Model that must be loaded.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Number of tokens of the complete text.
    pub max_tokens: u64,
    /// Index of the first token to send. A resumed stream asks for the token after the
    /// last one that was delivered.
    pub from_token: u64,
    /// KV cache to import.
    pub kv: Option<KvLocation>,
    /// Priority.
    pub class: Class,
    /// Build that the engine must be of, if any: the one that began the text or wrote the KV
    /// cache.
    #[serde(default)]
    pub build: Option<BuildId>,
}

/// One server-sent event of a generated text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum GenerateEvent {
    /// One token.
    Token {
        /// Index of the token in the text.
        index: u64,
        /// Text of the token.
        text: String,
    },
    /// Marks the end of the text.
    End {
        /// Number of tokens of the complete text.
        total: u64,
    },
}

/// Answer to [`paths::KV`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Number of tokens that the KV cache covers.
    pub tokens: u64,
    /// Build that wrote it; empty if the engine names none.
    #[serde(default)]
    pub build: BuildId,
}

/// [`NotStarted::reason`] if the KV cache to import is not available.
pub const REASON_NO_KV: &str = "no_kv";

/// Body of a response to a request that was not started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotStarted {
    /// One of `draining`, `wrong_model`, `wrong_role`, `wrong_build`, `no_kv` or `overloaded`.
    pub reason: String,
}

/// Body of [`paths::FAULTS`] and [`paths::APPLICATION_FAULTS`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Crashes the process at once.
    pub crash: bool,
    /// Crashes the process once it has accepted the next order.
    pub crash_in_order: bool,
    /// Freezes the whole process for this many milliseconds.
    pub freeze_ms: u64,
    /// Factor by which work takes longer.
    pub slow: u64,
    /// Rejects new work.
    pub refuse: bool,
    /// Rejects new work with this value of [`RETRY_AFTER_HEADER`], unless empty.
    pub retry_after: String,
    /// Reports draining and still accepts work.
    pub reports_draining: bool,
    /// Sends this value of [`LIMIT_HEADER`], unless empty.
    pub limit_per_s: String,
    /// Makes an application wait this many milliseconds before it runs a call.
    pub delay_ms: u64,
    /// Makes an application run the next call and close the connection without an answer.
    pub lose_next_answer: bool,
    /// Makes an application end its answers with their connections, after this many bytes of the
    /// body at most.
    pub unframed_bytes: Option<usize>,
}

/// Body of [`paths::MACHINE_STATE`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineStateRequest {
    /// Identifier of the back end.
    pub id: String,
    /// New state of its machine.
    pub state: MachineState,
}

/// Body of `POST` [`paths::MACHINES`].
pub type MachineRegistration = BackendRegistration;
