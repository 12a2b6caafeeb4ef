//! Quarantine of requests that crash the engines that run them.
//!
//! Gateways record the runs during which an engine crashed ([`CrashLog`]) and report them to the
//! leader. The leader combines the reports of all gateways ([`CrashTracker`]) and decides which
//! requests are refused.
//!
//! Contract: no socket, file or clock.

mod crash;
mod crash_log;
mod fingerprint;
mod isolation;
mod tracker;

pub use crash::{
    CRASH_THRESHOLD, EndedRun, EngineStart, RunEnd, RunReport, SuspectedRequest, Suspects,
};
pub use crash_log::{CrashLog, QuarantineStatus};
pub use fingerprint::{FingerprintError, RequestFingerprint, RequestIdentity};
pub use isolation::isolation_backend;
pub use tracker::{CrashTracker, RefusedRequest};
