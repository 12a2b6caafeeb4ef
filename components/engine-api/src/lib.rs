//! Bodies of the HTTP interface of engines and of the platform.
//!
//! Source: docs/engine-interface.md. JSON everywhere; a generated text comes
//! as server-sent events, one JSON object each.

mod events;

pub use events::{EventReader, encode_event};

use garnet_control::BackendRegistration;
use garnet_types::{Class, MachineState};
use serde::{Deserialize, Serialize};

/// Set to `no` on a response that says the request was not begun.
pub const STARTED_HEADER: &str = "garnet-started";
/// Requests a second that a back end takes from all gateways together, on each of its
/// answers while it is overloaded: a decimal number.
pub const LIMIT_HEADER: &str = "garnet-request-limit";
/// Set to [`DRAINING`] by a back end that ends soon, on each of its answers.
pub const DRAINING_HEADER: &str = "garnet-draining";
/// Value of [`DRAINING_HEADER`].
pub const DRAINING: &str = "1";
/// On a response with [`STARTED_HEADER`]: the backoff that the back end requests of this
/// gateway.
pub const RETRY_AFTER_HEADER: &str = "retry-after";
/// Value of [`STARTED_HEADER`] that says so.
pub const NOT_STARTED: &str = "no";
/// Status of such a response from an engine.
pub const REJECTED_STATUS: u16 = 409;

/// Paths of an engine.
pub mod paths {
    /// `POST`: read a prompt.
    pub const PREFILL: &str = "/v1/prefill";
    /// `POST`: generate a text.
    pub const GENERATE: &str = "/v1/generate";
    /// `GET`: load report.
    pub const LOAD: &str = "/v1/load";
    /// `GET`: state.
    pub const STATUS: &str = "/v1/status";
    /// `POST`: an order.
    pub const ORDERS: &str = "/v1/orders";
    /// `GET` with `/{handle}` behind: an exported KV cache.
    pub const KV: &str = "/v1/kv";
    /// `POST`: faults on command.
    pub const FAULTS: &str = "/v1/faults";
    /// `GET`, `POST`: the platform's machines.
    pub const MACHINES: &str = "/machines";
    /// `POST`: the platform's state of one machine.
    pub const MACHINE_STATE: &str = "/machines/state";
    /// `POST`: a turn at the platform's weight store.
    pub const WEIGHTS: &str = "/weights";
    /// `GET`: an application's journal.
    pub const JOURNAL: &str = "/journal";
    /// `POST`: an application's faults.
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
}

/// Answer to [`paths::PREFILL`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillResponse {
    /// Name of the KV cache.
    pub handle: u64,
}

/// A KV cache at another engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvLocation {
    /// Address of the engine.
    pub address: String,
    /// Its name there.
    pub handle: u64,
}

/// Body of [`paths::GENERATE`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Model that must be loaded.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens of the whole text.
    pub max_tokens: u64,
    /// First token wanted: a resumed stream asks for the one after the last
    /// that was delivered.
    pub from_token: u64,
    /// KV cache to import.
    pub kv: Option<KvLocation>,
    /// Priority.
    pub class: Class,
}

/// One server-sent event of a generated text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum GenerateEvent {
    /// A token.
    Token {
        /// Its number.
        index: u64,
        /// Its text.
        text: String,
    },
    /// The explicit end.
    End {
        /// Tokens of the whole text.
        total: u64,
    },
}

/// Answer to [`paths::KV`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Tokens that it covers.
    pub tokens: u64,
}

/// [`NotStarted::reason`] where the KV cache to import is not there.
pub const REASON_NO_KV: &str = "no_kv";

/// Body of a response that says the request was not begun.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotStarted {
    /// `draining`, `wrong_model`, `wrong_role`, `no_kv` or `overloaded`.
    pub reason: String,
}

/// Body of [`paths::FAULTS`] and [`paths::APPLICATION_FAULTS`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Ends the process at once.
    pub crash: bool,
    /// Ends the process when the next order has been accepted.
    pub crash_in_order: bool,
    /// Stops the whole process for so long.
    pub freeze_ms: u64,
    /// Makes work take so many times as long.
    pub slow: u64,
    /// Refuses new work.
    pub refuse: bool,
    /// Refuses new work with this in [`RETRY_AFTER_HEADER`]; empty for none.
    pub retry_after: String,
    /// Reports draining and takes work on.
    pub reports_draining: bool,
    /// Names this in [`LIMIT_HEADER`]; empty for none.
    pub limit_per_s: String,
    /// An application waits so long before it runs a call.
    pub delay_ms: u64,
    /// An application closes the connection after it ran the next call.
    pub lose_next_answer: bool,
}

/// Body of [`paths::MACHINE_STATE`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineStateRequest {
    /// Name of the back end.
    pub id: String,
    /// Its state.
    pub state: MachineState,
}

/// Body of `POST` [`paths::MACHINES`].
pub type MachineRegistration = BackendRegistration;
