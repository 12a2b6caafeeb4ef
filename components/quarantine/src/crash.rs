//! Messages between gateways and the leader about runs of requests during which the engine
//! crashed.

use garnet_types::{BackendId, Millis};
use serde::{Deserialize, Serialize};

use crate::fingerprint::RequestFingerprint;

/// Number of engine crashes during runs of a request after which the request is refused. Two may
/// be chance: the request ran twice on the same engine as one that crashes engines. The users
/// require that a request crash no further engine after the third.
pub const CRASH_THRESHOLD: usize = 3;

/// One start of an engine. If each start has its own back-end name, the incarnation is always the
/// same.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EngineStart {
    /// The engine.
    pub backend: BackendId,
    /// Distinguishes the starts of the engine.
    pub incarnation: u64,
}

/// How a run ended, for the ends that count for or against its request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The run broke off as it does when its engine, this one, crashes.
    Crashed(EngineStart),
    /// The run completed.
    Completed,
}

/// The end of a run, as a gateway observed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// How the run ended.
    pub end: RunEnd,
    /// Time since the end.
    pub ago: Millis,
}

/// A gateway's report to the leader, or to another replica while the leader is of a version
/// without reports. An empty report asks for the suspects.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// The ended runs, oldest first.
    pub runs: Vec<EndedRun>,
    /// Number of the newest run, which the leader's acknowledgement repeats.
    pub through: u64,
}

/// A request that is one crash away from being refused, as the replicated log stores it: the
/// leader and the gateways that observed the crashes may fail together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectedRequest {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Engines that crashed during its runs; empty if the request is no longer suspected.
    pub engines: Vec<EngineStart>,
}

/// The suspected and refused requests, as the leader publishes them to all gateways.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspects {
    /// Requests that are refused after one more crash.
    pub suspected: Vec<RequestFingerprint>,
    /// Requests that are refused from now on, before the configuration lists them.
    pub refused: Vec<RequestFingerprint>,
}

impl Suspects {
    /// Whether no request is suspected or refused.
    pub fn is_empty(&self) -> bool {
        self.suspected.is_empty() && self.refused.is_empty()
    }
}
