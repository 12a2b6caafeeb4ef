//! Quarantine of requests that crash the engines that run them.
//!
//! Gateways record the runs during which an engine crashed ([`CrashLog`]) and report them to the
//! leader. The leader combines the reports of all gateways ([`CrashTracker`]) and decides which
//! requests are refused. In the same way it decides which parts of prompts are refused
//! ([`PromptLog`], [`PromptTracker`]).
//!
//! Contract: no socket, file or clock.

mod crash;
mod crash_log;
mod fingerprint;
mod isolation;
mod prompt_log;
mod prompt_part;
mod prompt_report;
mod prompt_tracker;
mod tracker;

pub use crash::{
    CRASH_THRESHOLD, EndedRun, EngineStart, RunEnd, RunReport, SuspectedRequest, Suspects,
};
pub use crash_log::{CrashLog, QuarantineStatus};
pub use fingerprint::{FingerprintError, RequestFingerprint, RequestIdentity};
pub use isolation::isolation_backend;
pub use prompt_log::{BrokenPrompt, PromptLog};
pub use prompt_part::{MAX_PARTS_PER_SET, PartId, PartSet, matching_fingerprints, part_list};
pub use prompt_report::{
    BrokenPromptRun, PART_CRASH_THRESHOLD, PromptEvidence, PromptReport, SoundPart, TrackedParts,
};
pub use prompt_tracker::{PartDecision, PromptTracker, RefusedParts};
pub use tracker::{CrashTracker, RefusedRequest};
