//! Stand-ins for the external systems: engines, applications and the platform.
//!
//! Contract: each is a state machine without I/O. The engine follows
//! docs/engine-interface.md. Its text is a function of the prompt
//! ([`text::expected_text`]), so that a caller can check a complete answer.

pub mod application;
pub mod engine;
pub mod platform;
pub mod prefix_cache;
pub mod text;

pub use application::ApplicationStandIn;
pub use engine::{EngineSettings, EngineStandIn, JobId, JobOutput, JobRejection, SubmittedJob};
pub use platform::{PlatformStandIn, WeightStore};
