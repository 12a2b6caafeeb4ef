//! Messages between gateways and the leader about parts of prompts that may crash engines.

use garnet_types::{Millis, ServiceId};
use serde::{Deserialize, Serialize};

use crate::crash::EngineStart;
use crate::fingerprint::RequestFingerprint;
use crate::prompt_part::PartId;

/// Number of engine crashes during runs of prompts with a part after which the part is refused.
/// All prompts of a route may share a part, so it takes more than for a whole request. The users
/// require that at most three requests with the part reach engines later than 3 s after the fifth.
pub const PART_CRASH_THRESHOLD: usize = 5;

/// A run of a prompt that broke off as it does when its engine crashes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokenPromptRun {
    /// The service of the engine.
    pub service: ServiceId,
    /// The request.
    pub request: RequestFingerprint,
    /// The parts of the prompt that other requests may share, in their order.
    pub parts: Vec<PartId>,
    /// The engine.
    pub engine: EngineStart,
    /// Time since the end of the run.
    pub ago: Millis,
}

/// A part of a prompt on which an engine wrote an answer without crashing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoundPart {
    /// The service of the engine.
    pub service: ServiceId,
    /// The part.
    pub part: PartId,
    /// Time since the engine last wrote on it.
    pub ago: Millis,
}

/// A gateway's report of runs of prompts. An empty one asks for the tracked parts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptReport {
    /// Runs that broke off, oldest first.
    pub broken: Vec<BrokenPromptRun>,
    /// Tracked parts on which engines wrote answers.
    pub sound: Vec<SoundPart>,
    /// Number of the newest broken run, which the acknowledgement repeats.
    pub through: u64,
}

impl PromptReport {
    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.broken.is_empty() && self.sound.is_empty()
    }
}

/// What the receiver of the reports tells a gateway.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptEvidence {
    /// Parts of which the gateway reports whether engines answer them.
    pub tracked: Vec<TrackedParts>,
    /// Broken runs that any gateway reported, for the gateway to report to the next receiver: the
    /// one that saw a run may be gone by then. Empty for all but some gateways.
    pub runs: Vec<BrokenPromptRun>,
    /// Parts of these runs that any gateway reported as sound.
    pub sound: Vec<SoundPart>,
}

/// Parts at a service during whose runs engines crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrackedParts {
    /// The service.
    pub service: ServiceId,
    /// The parts.
    pub parts: Vec<PartId>,
}
