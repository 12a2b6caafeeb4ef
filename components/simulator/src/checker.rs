//! What must always hold, checked after each step.

use std::collections::{BTreeMap, BTreeSet};

use garnet_types::{EngineAssignment, EngineOrder, Fence, Millis, RequestId};
use serde::Serialize;

/// A rule of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// An engine never holds two conflicting orders.
    OneOrderAtATime,
    /// At most one engine of a pool is out of service for an order.
    OneChangeInAPool,
    /// No request is cut off by a planned change; a planned stop cuts none.
    PlannedChangeCutsNothing,
    /// Orders of a deposed leader have no effect.
    FencesRise,
    /// Each caller gets the whole answer to its own request.
    WholeOwnAnswer,
    /// "Not run" means that it did not run.
    NotRunIsTrue,
    /// Not repeatable means at most once.
    AtMostOnce,
    /// A leaving back end gets no new work after a few seconds.
    LeavingGetsNoWork,
    /// What is told to be in force is in force everywhere.
    InForceEverywhere,
    /// A configuration never reverts.
    NeverReverts,
    /// An accepted session is never dropped.
    SessionsStay,
    /// A request given up on gets its final answer at once.
    AnsweredAtOnce,
    /// Of two commands with equal expected revision one wins; a resent command
    /// gets its first answer.
    OneCommandWins,
    /// Replicas that applied the same index have the same state.
    SameStateAtSameIndex,
    /// At most one replica holds the leader's lease.
    OneLease,
    /// A request that crashes engines is sent to few of them.
    CrashesAreBounded,
    /// While builds are replaced, gateways of the current build stop a request whose crashes
    /// they can report.
    ReportedCrashesAreBounded,
    /// All gateways together send a back end no more than its limit.
    LimitsAreKept,
    /// A gateway sends a back end nothing in a backoff that it requested.
    BackoffsAreKept,
    /// A gateway sends a back end nothing long after it reported draining.
    DrainingGetsNoWork,
    /// Gateways that are cut off from all back ends serve their callers about as well as the
    /// others.
    CutGatewaysServe,
    /// When all faults are over, the system serves again.
    Recovers,
}

impl Invariant {
    /// Every rule.
    pub const ALL: [Invariant; 22] = [
        Invariant::OneOrderAtATime,
        Invariant::OneChangeInAPool,
        Invariant::PlannedChangeCutsNothing,
        Invariant::FencesRise,
        Invariant::WholeOwnAnswer,
        Invariant::NotRunIsTrue,
        Invariant::AtMostOnce,
        Invariant::LeavingGetsNoWork,
        Invariant::InForceEverywhere,
        Invariant::NeverReverts,
        Invariant::SessionsStay,
        Invariant::AnsweredAtOnce,
        Invariant::OneCommandWins,
        Invariant::SameStateAtSameIndex,
        Invariant::OneLease,
        Invariant::CrashesAreBounded,
        Invariant::ReportedCrashesAreBounded,
        Invariant::LimitsAreKept,
        Invariant::BackoffsAreKept,
        Invariant::DrainingGetsNoWork,
        Invariant::CutGatewaysServe,
        Invariant::Recovers,
    ];
}

/// A rule that did not hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The rule.
    pub invariant: Invariant,
    /// When, in milliseconds of the run.
    pub at_ms: u64,
    /// What was seen.
    pub detail: String,
}

/// What back ends did and callers heard, and what was found wrong.
#[derive(Debug, Default)]
pub(crate) struct Checker {
    pub(crate) violations: Vec<Violation>,
    /// How often each rule was put to the test.
    pub(crate) checks: BTreeMap<Invariant, u64>,
    begun: BTreeSet<RequestId>,
    told_not_run: BTreeSet<RequestId>,
    runs_by_key: BTreeMap<String, u64>,
    runs_by_request: BTreeMap<RequestId, u64>,
    answers_by_key: BTreeMap<String, Vec<u8>>,
    engine_fences: BTreeMap<usize, Fence>,
    fence_assignments: BTreeMap<Fence, EngineAssignment>,
    states: BTreeMap<u64, (usize, u64)>,
    gateway_indexes: BTreeMap<usize, u64>,
    in_force: u64,
}

impl Checker {
    /// Puts a rule to the test.
    pub(crate) fn check(
        &mut self,
        invariant: Invariant,
        holds: bool,
        at: Millis,
        detail: impl FnOnce() -> String,
    ) {
        *self.checks.entry(invariant).or_default() += 1;
        if !holds {
            self.violations.push(Violation {
                invariant,
                at_ms: at.0,
                detail: detail(),
            });
        }
    }

    // ---- Runs ----

    /// A back end began a request.
    pub(crate) fn began(&mut self, request: RequestId, at: Millis) {
        self.begun.insert(request);
        let told = self.told_not_run.contains(&request);
        self.check(Invariant::NotRunIsTrue, !told, at, || {
            format!("request {request} began after its caller heard \"not run\"")
        });
    }

    /// A back end ran what must not be repeated.
    pub(crate) fn ran_once(&mut self, request: RequestId, key: Option<&str>, at: Millis) {
        let runs = match key {
            Some(key) => self.runs_by_key.entry(key.to_owned()).or_default(),
            None => self.runs_by_request.entry(request).or_default(),
        };
        *runs += 1;
        let runs = *runs;
        self.check(Invariant::AtMostOnce, runs <= 1, at, || {
            format!("request {request} with key {key:?} ran {runs} times")
        });
    }

    /// A caller heard that its request did not run.
    pub(crate) fn told_not_run(&mut self, request: RequestId, at: Millis) {
        self.told_not_run.insert(request);
        let began = self.begun.contains(&request);
        self.check(Invariant::NotRunIsTrue, !began, at, || {
            format!("request {request} had begun when its caller heard \"not run\"")
        });
    }

    /// A caller got a whole answer for a key: always the same one.
    pub(crate) fn answered_key(&mut self, key: &str, body: &[u8], at: Millis) {
        let first = self
            .answers_by_key
            .entry(key.to_owned())
            .or_insert_with(|| body.to_vec());
        let same = first == body;
        self.check(Invariant::WholeOwnAnswer, same, at, || {
            format!("key {key} got two different answers")
        });
    }

    // ---- Orders ----

    /// An engine accepted an order while it was in the given state.
    pub(crate) fn accepted_order(
        &mut self,
        engine: usize,
        order: &EngineOrder,
        changing: Option<&EngineOrder>,
        running: u64,
        at: Millis,
    ) {
        let conflicting = changing.is_some_and(|held| held.assignment != order.assignment);
        self.check(Invariant::OneOrderAtATime, !conflicting, at, || {
            format!("engine {engine} took {order:?} while it held {changing:?}")
        });
        let assignment = self
            .fence_assignments
            .entry(order.fence)
            .or_insert_with(|| order.assignment.clone())
            .clone();
        self.check(
            Invariant::OneOrderAtATime,
            assignment == order.assignment,
            at,
            || format!("fence {} stands for two orders", order.fence),
        );
        let highest = self.engine_fences.entry(engine).or_default();
        let rises = order.fence >= *highest;
        *highest = order.fence.max(*highest);
        self.check(Invariant::FencesRise, rises, at, || {
            format!("engine {engine} obeyed the stale fence {}", order.fence)
        });
        self.check(
            Invariant::PlannedChangeCutsNothing,
            running == 0,
            at,
            || format!("engine {engine} began a change with {running} requests running"),
        );
    }

    // ---- Control ----

    /// A replica's state after it applied `index`.
    pub(crate) fn applied(&mut self, replica: usize, index: u64, hash: u64, at: Millis) {
        let (first, known) = *self.states.entry(index).or_insert((replica, hash));
        self.check(Invariant::SameStateAtSameIndex, known == hash, at, || {
            format!("replicas {first} and {replica} differ at index {index}")
        });
    }

    /// An operator heard that a revision is in force everywhere.
    pub(crate) fn told_in_force(&mut self, revision: u64) {
        self.in_force = self.in_force.max(revision);
    }

    /// A gateway took new work by a configuration.
    pub(crate) fn took_work(&mut self, gateway: usize, index: u64, at: Millis) {
        let in_force = self.in_force;
        self.check(Invariant::InForceEverywhere, index >= in_force, at, || {
            format!("gateway {gateway} took work by {index} when {in_force} was in force")
        });
        let highest = self.gateway_indexes.entry(gateway).or_default();
        let before = *highest;
        *highest = index.max(before);
        self.check(Invariant::NeverReverts, index >= before, at, || {
            format!("gateway {gateway} went back from {before} to {index}")
        });
    }
}
