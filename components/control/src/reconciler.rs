//! Brings engines to their desired assignment: drains an engine, sends it an order and
//! settles the order.
//!
//! The reconciler runs on the leader only. The replicated record holds the outstanding
//! order; the state kept here may be lost at any time. Sequence for one engine:
//! `BeginOrder` takes it out of routing; every gateway confirms; the engine reports that
//! nothing runs; the order is sent repeatedly until the engine reports the new assignment
//! under the order's fence; `SettleOrder` puts it back into routing.

use std::collections::{BTreeMap, BTreeSet};

use garnet_types::{BackendId, BackendKind, EngineOrder, EngineStatus, MachineState, Millis};

use crate::command::Command;
use crate::configuration::{BackendRecord, Configuration, EngineObservation, OutstandingOrder};
use crate::effects::EngineRequest;
use crate::gateways::GatewayLeases;
use crate::pool_census::PoolCensus;

/// When the leader polls engines for their status.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EnginePolling {
    /// At regular intervals.
    #[default]
    Always,
    /// Only while an order is outstanding; otherwise the platform's list of machines
    /// reports the state of engines.
    WhileOrdered,
}

/// How often an engine is polled for its status.
const POLL_INTERVAL: Millis = Millis(500);
/// An older status is ignored.
const STATUS_LIFETIME: Millis = Millis::from_secs(2);
/// An unanswered order is sent again after this time.
const ORDER_RETRY_INTERVAL: Millis = Millis(1500);

#[derive(Debug, Default)]
struct EngineTrack {
    status: Option<(EngineStatus, Millis)>,
    asked_at: Option<Millis>,
    ordered_at: Option<Millis>,
    /// When all gateways had confirmed that the engine is out of routing.
    confirmed_at: Option<Millis>,
    /// Log index of the last command proposed for this engine.
    pending_index: u64,
}

/// A step of the reconciler for one engine.
#[derive(Debug, PartialEq)]
pub(crate) enum Step {
    /// Send a request to the engine.
    Ask(EngineRequest),
    /// Propose a command for the log.
    Propose(Command),
}

/// The state that the steps for an engine are decided by.
pub(crate) struct StepContext<'a> {
    pub(crate) configuration: &'a Configuration,
    pub(crate) census: &'a PoolCensus<'a>,
    pub(crate) gateways: &'a GatewayLeases,
    /// Returns whether the pool of an engine is known to have no work.
    pub(crate) idle: &'a dyn Fn(&BackendId) -> bool,
    pub(crate) term: u64,
    pub(crate) applied_index: u64,
    /// Whether engines without an order are polled, so that a missing status means that the
    /// engine does not answer.
    pub(crate) polls: bool,
    pub(crate) now: Millis,
}

/// State of the reconciler on the leader.
#[derive(Debug)]
pub(crate) struct Reconciler {
    polling: EnginePolling,
    tracks: BTreeMap<BackendId, EngineTrack>,
    /// See [`Reconciler::update`].
    engines_to_check: BTreeSet<BackendId>,
}

impl Reconciler {
    /// A reconciler for these back ends, without a status of any of them.
    pub(crate) fn new<'a>(
        polling: EnginePolling,
        backends: impl Iterator<Item = &'a BackendRecord>,
    ) -> Self {
        let mut reconciler = Reconciler {
            polling,
            tracks: BTreeMap::new(),
            engines_to_check: BTreeSet::new(),
        };
        backends.for_each(|record| reconciler.update(record));
        reconciler
    }

    /// Records the status that an engine reported.
    pub(crate) fn observe(&mut self, engine: &BackendId, status: EngineStatus, now: Millis) {
        let track = self.tracks.entry(engine.clone()).or_default();
        track.status = Some((status, now));
    }

    /// The latest status of an engine, if it is recent.
    pub(crate) fn fresh_status(&self, engine: &BackendId, now: Millis) -> Option<&EngineStatus> {
        let (status, at) = self.tracks.get(engine)?.status.as_ref()?;
        (now.since(*at) <= STATUS_LIFETIME).then_some(status)
    }

    /// Forgets the status of an engine that has restarted.
    pub(crate) fn on_restart(&mut self, engine: &BackendId) {
        if let Some(track) = self.tracks.get_mut(engine) {
            track.status = None;
        }
    }

    /// Records that a command about the engine was proposed.
    pub(crate) fn on_proposed(&mut self, engine: &BackendId, index: u64) {
        self.tracks.entry(engine.clone()).or_default().pending_index = index;
    }

    /// Returns whether a command about the engine is proposed and not applied yet.
    pub(crate) fn has_pending_command(&self, engine: &BackendId, applied_index: u64) -> bool {
        let track = self.tracks.get(engine);
        track.is_some_and(|track| track.pending_index > applied_index)
    }

    /// Updates the set of engines to check from the new record of a back end. An engine has
    /// to be checked if it is polled, has an outstanding order, or does not have its
    /// desired assignment.
    pub(crate) fn update(&mut self, record: &BackendRecord) {
        let id = &record.registration.id;
        let is_engine = record.registration.kind == BackendKind::Engine;
        let polls_all = self.polling == EnginePolling::Always;
        if is_engine && (polls_all || record.order.is_some() || !is_as_desired(record)) {
            self.engines_to_check.insert(id.clone());
        } else {
            self.engines_to_check.remove(id);
        }
    }

    /// Removes a back end that is gone.
    pub(crate) fn forget(&mut self, id: &BackendId) {
        self.engines_to_check.remove(id);
    }

    /// The engines that may need a step. The state of all other engines is dropped, except
    /// while a command about them is pending.
    pub(crate) fn engines_to_check(&mut self, applied_index: u64) -> Vec<BackendId> {
        let engines_to_check = &self.engines_to_check;
        self.tracks.retain(|engine, track| {
            track.pending_index > applied_index || engines_to_check.contains(engine)
        });
        engines_to_check.iter().cloned().collect()
    }

    /// The next steps for one engine.
    pub(crate) fn steps(&mut self, engine: &BackendId, context: &StepContext<'_>) -> Vec<Step> {
        let Some(record) = context.configuration.backends.get(engine) else {
            self.tracks.remove(engine);
            return Vec::new();
        };
        if record.registration.kind != BackendKind::Engine {
            return Vec::new();
        }
        let mut steps = Vec::new();
        let track = self.tracks.entry(engine.clone()).or_default();
        let is_polled = self.polling == EnginePolling::Always || record.order.is_some();
        if is_polled && elapsed(track.asked_at, context.now) >= POLL_INTERVAL {
            track.asked_at = Some(context.now);
            steps.push(Step::Ask(EngineRequest::Status));
        }
        if track.pending_index > context.applied_index {
            return steps;
        }
        let next = match &record.order {
            Some(order) => track.advance_order(engine, order, context),
            None => track.compare_with_desired(engine, record, context),
        };
        steps.extend(next);
        steps
    }
}

impl EngineTrack {
    fn fresh(&self, now: Millis) -> Option<&(EngineStatus, Millis)> {
        let fresh = |(_, at): &&(EngineStatus, Millis)| now.since(*at) <= STATUS_LIFETIME;
        self.status.as_ref().filter(fresh)
    }

    /// The step for an engine without an order: records its observed state, or begins an
    /// order if it does not have its desired assignment.
    fn compare_with_desired(
        &mut self,
        engine: &BackendId,
        record: &BackendRecord,
        context: &StepContext<'_>,
    ) -> Option<Step> {
        self.confirmed_at = None;
        self.ordered_at = None;
        if let Some((status, _)) = self.fresh(context.now) {
            let observation = EngineObservation {
                incarnation: status.incarnation,
                assignment: status.assignment.clone(),
            };
            if observation.adds_to(record.observed.as_ref()) {
                let engine = engine.clone();
                return Some(Step::Propose(Command::Observe {
                    engine,
                    observation,
                }));
            }
        } else if context.polls {
            return None;
        }
        let desired = record.desired.as_ref()?;
        let settled = *desired == record.observed.as_ref()?.assignment;
        if settled || record.machine != MachineState::Live {
            return None;
        }
        if (context.idle)(engine) {
            let may_leave = context.census.idle_can_spare(record);
            return may_leave.then(|| Step::Propose(Command::BeginIdleOrder(engine.clone())));
        }
        let may_leave = context.census.can_spare(record);
        may_leave.then(|| Step::Propose(Command::BeginOrder(engine.clone())))
    }

    /// The step for an engine with an order: renews the order under this leader's fence,
    /// settles it if it is carried out, or sends it once the engine has drained.
    fn advance_order(
        &mut self,
        engine: &BackendId,
        order: &OutstandingOrder,
        context: &StepContext<'_>,
    ) -> Option<Step> {
        let now = context.now;
        if order.fence.term != context.term {
            return Some(Step::Propose(Command::RenewOrder {
                engine: engine.clone(),
                replaces: order.fence,
            }));
        }
        if let Some((status, _)) = self.fresh(now)
            && is_done(status, order)
        {
            return Some(Step::Propose(Command::SettleOrder {
                engine: engine.clone(),
                fence: order.fence,
                observation: EngineObservation {
                    incarnation: status.incarnation,
                    assignment: status.assignment.clone(),
                },
            }));
        }
        if !self.has_drained(order, context) || elapsed(self.ordered_at, now) < ORDER_RETRY_INTERVAL
        {
            return None;
        }
        self.ordered_at = Some(now);
        Some(Step::Ask(EngineRequest::Order(EngineOrder {
            fence: order.fence,
            assignment: order.assignment.clone(),
        })))
    }

    /// Returns whether all gateways have stopped sending requests to the engine and the
    /// engine has since reported that nothing runs.
    fn has_drained(&mut self, order: &OutstandingOrder, context: &StepContext<'_>) -> bool {
        let since = order.out_of_service_since;
        if !context.gateways.all_confirmed(since, context.now) {
            return false;
        }
        let confirmed_at = *self.confirmed_at.get_or_insert(context.now);
        self.fresh(context.now)
            .is_some_and(|(status, at)| *at > confirmed_at && status.running == 0)
    }
}

/// Returns whether the engine has its desired assignment, or none is desired.
fn is_as_desired(record: &BackendRecord) -> bool {
    let observed = record.observed.as_ref().map(|seen| &seen.assignment);
    let desired = record.desired.as_ref();
    desired.is_none() || desired == observed
}

fn is_done(status: &EngineStatus, order: &OutstandingOrder) -> bool {
    status
        .highest_fence
        .is_none_or(|fence| fence == order.fence)
        && status.changing.is_none()
        && status.assignment == order.assignment
}

fn elapsed(at: Option<Millis>, now: Millis) -> Millis {
    at.map_or(Millis::NEVER, |at| now.since(at))
}
