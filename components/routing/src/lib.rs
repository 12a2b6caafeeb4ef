//! Routing and admission: which engine takes a request, and which requests are admitted.
//!
//! Contract: state is updated by explicit events (reports, dispatches, ends). The cost of an
//! engine is a pure function of a snapshot ([`cost`]), and the choice is a pure function of costs
//! ([`choice`]). No clock, no I/O; random numbers come from a seeded generator.

pub mod admission;
pub mod availability;
pub mod backoff;
pub mod choice;
pub mod circuit_breaker;
pub mod cost;
pub mod estimate;
pub mod prefix_index;
pub mod recent_set;
pub mod report;
pub mod retry_after;
pub mod retry_budget;
pub mod token_bucket;
pub mod waiting;

pub use admission::{Admission, AdmissionSettings, admit};
pub use availability::Availability;
pub use backoff::{Backoff, Probe, backoff_jitter, caller_retry_delay};
pub use choice::{Candidate, choose};
pub use circuit_breaker::CircuitBreaker;
pub use cost::{EngineSnapshot, WorkShape, predict_first_token};
pub use estimate::{EngineEstimate, InFlightWork};
pub use prefix_index::{CacheEvent, PrefixIndex, block_hashes};
pub use recent_set::RecentSet;
pub use report::LoadReport;
pub use retry_after::{RetryAfter, RetryAfterError};
pub use retry_budget::RetryBudget;
pub use token_bucket::TokenBucket;
pub use waiting::{Waiting, WaitingQueue};
