//! Identifiers, time and plain data types that all garnetcourse crates share.
//!
//! Contract: plain data only. Nothing in this crate reads a clock, a socket or a file.

pub mod backend;
pub mod byte_count;
pub mod decimal;
pub mod encoding_version;
pub mod engine;
pub mod fence;
pub mod framing;
pub mod identity;
pub mod outcome;
pub mod time;
pub mod usage;
pub mod verdict;

pub use backend::{BackendKind, EngineRole, MachineState, UNKNOWN_START};
pub use byte_count::ByteCount;
pub use decimal::Decimal;
pub use encoding_version::EncodingVersion;
pub use engine::{EngineAssignment, EngineCapacity, EngineOrder, EngineStatus, OrderAnswer};
pub use fence::Fence;
pub use framing::Framing;
pub use identity::{
    BackendId, BuildId, ClaimId, CommandId, GatewayId, IdempotencyKey, ModelId, PrefixId,
    ReplicaId, RequestId, ServiceId, SessionId, TenantId,
};
pub use outcome::{Execution, Outcome, OutcomeCode, RecordedResponse, Refusal};
pub use time::Millis;
pub use usage::UsageWindow;
pub use verdict::{Class, Verdict};
