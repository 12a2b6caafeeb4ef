//! What is run, and what came out of it.

use std::collections::BTreeMap;

use garnet_types::{EncodingVersion, Millis, RequestId};
use serde::Serialize;

use crate::checker::{Invariant, Violation};
use crate::faults::{Fault, FaultKind};
use crate::mix::{Experiment, MixReport};
use crate::timeline::TimelineEntry;

/// What is run.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Seed of everything.
    pub seed: u64,
    /// Kinds of faults that may strike.
    pub kinds: Vec<FaultKind>,
    /// Faults given one by one instead of drawn from the seed.
    pub faults: Option<Vec<Fault>>,
    /// Time in which faults begin.
    pub span: Millis,
    /// Replicas of the control group.
    pub controls: usize,
    /// Gateways.
    pub gateways: usize,
    /// Engines.
    pub engines: usize,
    /// Application instances.
    pub applications: usize,
    /// A measured mix in place of callers who try everything.
    pub experiment: Option<Experiment>,
    /// Whether processes go by clocks that stop while their machine is
    /// suspended, which real ones must not.
    pub clocks_stop: bool,
    /// The version of the build that all replicas and gateways begin on, where they go
    /// over to the present one.
    pub build_before: Option<EncodingVersion>,
    /// Whether all gateways are of the current build from the start, so that only replicas are
    /// replaced.
    pub gateways_first: bool,
    /// The request whose course is recorded.
    pub timeline_of: Option<RequestId>,
    /// Most steps; the final checks are left out when they are used up.
    pub most_steps: u64,
}

impl Scenario {
    /// The sizes of today, with the given seed and faults.
    pub fn new(seed: u64, kinds: &[FaultKind]) -> Self {
        Scenario {
            seed,
            kinds: kinds.to_vec(),
            faults: None,
            span: Millis::from_secs(40),
            controls: 3,
            gateways: 2,
            engines: 5,
            applications: 3,
            experiment: None,
            clocks_stop: false,
            build_before: None,
            gateways_first: false,
            timeline_of: None,
            most_steps: u64::MAX,
        }
    }
}

/// What came out.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Rules that did not hold.
    pub violations: Vec<Violation>,
    /// How often each rule was put to the test.
    pub checks: BTreeMap<Invariant, u64>,
    /// How often each kind of fault struck.
    pub struck: BTreeMap<FaultKind, u64>,
    /// The faults of the run.
    #[serde(skip)]
    pub faults: Vec<Fault>,
    /// The course of the request that the scenario names.
    #[serde(skip)]
    pub timeline: Vec<TimelineEntry>,
    /// Simulated milliseconds.
    pub simulated_ms: u64,
    /// Requests sent by callers.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Refusals by code.
    pub refused: BTreeMap<String, u64>,
    /// Refusals by the sentence that callers read.
    pub reasons: BTreeMap<String, u64>,
    /// Connections that ended without an answer.
    pub disconnected: u64,
    /// Commands accepted.
    pub accepted: u64,
    /// Commands that lost a race.
    pub conflicts: u64,
    /// Changes of leader.
    pub elections: u64,
    /// Place of the replica that led last.
    pub last_leader: Option<usize>,
    /// Changes of role that engines carried out.
    pub role_changes: u64,
    /// Milliseconds of each time in which no replica held the leader's lease.
    pub leaderless_ms: Vec<u64>,
    /// What was measured, in an experiment.
    pub mix: Option<MixReport>,
    /// Milliseconds until waiting commands were in force.
    pub in_force_ms: Vec<u64>,
}
