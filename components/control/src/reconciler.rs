//! From desired to observed: drains an engine, orders it, settles the order.
//!
//! Runs on the leader only. The replicated record says which order is
//! outstanding; what is kept here can be lost at any time. Sequence for one
//! engine: `BeginOrder` takes it out of routing; every gateway confirms; the
//! engine reports that nothing runs; the order is sent, again and again, until
//! the engine reports the new assignment under the order's fence;
//! `SettleOrder` puts it back into routing.

use std::collections::{BTreeMap, BTreeSet};

use garnet_types::{BackendId, BackendKind, EngineOrder, EngineStatus, MachineState, Millis};

use crate::command::Command;
use crate::configuration::{BackendRecord, Configuration, EngineObservation, OutstandingOrder};
use crate::effects::EngineRequest;
use crate::gateways::GatewayLeases;
use crate::pool_census::PoolCensus;

/// When the leader asks engines for their state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EnginePolling {
    /// Again and again.
    #[default]
    Always,
    /// Only while an order is outstanding: the directory tells what they are.
    WhileOrdered,
}

/// How often an engine is asked for its state.
const POLL_INTERVAL: Millis = Millis(500);
/// A state older than this is not acted upon.
const STATUS_FRESH: Millis = Millis::from_secs(2);
/// An unanswered order is sent again after this time.
const ORDER_INTERVAL: Millis = Millis(1500);

#[derive(Debug, Default)]
struct EngineTrack {
    status: Option<(EngineStatus, Millis)>,
    asked_at: Option<Millis>,
    ordered_at: Option<Millis>,
    /// When every gateway had confirmed that the engine is out of routing.
    confirmed_at: Option<Millis>,
    /// Log index of a command about this engine that is not applied yet.
    awaiting_index: u64,
}

/// What the reconciler wants for one engine.
#[derive(Debug, PartialEq)]
pub(crate) enum Step {
    /// Ask the engine.
    Ask(EngineRequest),
    /// Put a command into the log.
    Propose(Command),
}

/// The present for one look at an engine.
pub(crate) struct StepContext<'a> {
    pub(crate) configuration: &'a Configuration,
    pub(crate) census: &'a PoolCensus<'a>,
    pub(crate) gateways: &'a GatewayLeases,
    /// Whether the pool of an engine is known to have no work.
    pub(crate) idle: &'a dyn Fn(&BackendId) -> bool,
    pub(crate) term: u64,
    pub(crate) applied_index: u64,
    /// Whether engines without an order are asked for their state, so that
    /// silence means something.
    pub(crate) polls: bool,
    pub(crate) now: Millis,
}

/// What the leader remembers of the engines.
#[derive(Debug)]
pub(crate) struct Reconciler {
    polling: EnginePolling,
    tracks: BTreeMap<BackendId, EngineTrack>,
    /// See [`Reconciler::update`].
    engines_to_check: BTreeSet<BackendId>,
}

impl Reconciler {
    /// Nothing was heard of any of these back ends.
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

    /// Notes the state that an engine told.
    pub(crate) fn observe(&mut self, engine: &BackendId, status: EngineStatus, now: Millis) {
        let track = self.tracks.entry(engine.clone()).or_default();
        track.status = Some((status, now));
    }

    /// The latest state of an engine, if it is fresh.
    pub(crate) fn fresh_status(&self, engine: &BackendId, now: Millis) -> Option<&EngineStatus> {
        let (status, at) = self.tracks.get(engine)?.status.as_ref()?;
        (now.since(*at) <= STATUS_FRESH).then_some(status)
    }

    /// Forgets what an engine told of itself: it has started again since.
    pub(crate) fn on_restart(&mut self, engine: &BackendId) {
        if let Some(track) = self.tracks.get_mut(engine) {
            track.status = None;
        }
    }

    /// Notes that a command about the engine was proposed.
    pub(crate) fn on_proposed(&mut self, engine: &BackendId, index: u64) {
        self.tracks
            .entry(engine.clone())
            .or_default()
            .awaiting_index = index;
    }

    /// Whether a command about the engine is under way.
    pub(crate) fn has_pending_command(&self, engine: &BackendId, applied_index: u64) -> bool {
        let track = self.tracks.get(engine);
        track.is_some_and(|track| track.awaiting_index > applied_index)
    }

    /// Follows what has become of a back end. Something may have to be done about
    /// engines that are asked for their state, are out for an order, or are not what
    /// they shall be.
    pub(crate) fn update(&mut self, record: &BackendRecord) {
        let id = &record.registration.id;
        let is_engine = record.registration.kind == BackendKind::Engine;
        let asks_all = self.polling == EnginePolling::Always;
        if is_engine && (asks_all || record.order.is_some() || !is_as_desired(record)) {
            self.engines_to_check.insert(id.clone());
        } else {
            self.engines_to_check.remove(id);
        }
    }

    /// Forgets a back end that is gone.
    pub(crate) fn forget(&mut self, id: &BackendId) {
        self.engines_to_check.remove(id);
    }

    /// The engines that something may have to be done about. What is remembered of
    /// all others is forgotten.
    pub(crate) fn engines_to_check(&mut self, applied_index: u64) -> Vec<BackendId> {
        let engines_to_check = &self.engines_to_check;
        self.tracks.retain(|engine, track| {
            track.awaiting_index > applied_index || engines_to_check.contains(engine)
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
        let asks = self.polling == EnginePolling::Always || record.order.is_some();
        if asks && elapsed(track.asked_at, context.now) >= POLL_INTERVAL {
            track.asked_at = Some(context.now);
            steps.push(Step::Ask(EngineRequest::Status));
        }
        if track.awaiting_index > context.applied_index {
            return steps;
        }
        let next = match &record.order {
            Some(order) => track.pursue(engine, order, context),
            None => track.compare(engine, record, context),
        };
        steps.extend(next);
        steps
    }
}

impl EngineTrack {
    fn fresh(&self, now: Millis) -> Option<&(EngineStatus, Millis)> {
        let fresh = |(_, at): &&(EngineStatus, Millis)| now.since(*at) <= STATUS_FRESH;
        self.status.as_ref().filter(fresh)
    }

    /// Without an order: note what the engine is; begin an order if it is not
    /// what it shall be.
    fn compare(
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

    /// With an order: put it under this leader's fence, drain, send, settle.
    fn pursue(
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
        if !self.has_drained(order, context) || elapsed(self.ordered_at, now) < ORDER_INTERVAL {
            return None;
        }
        self.ordered_at = Some(now);
        Some(Step::Ask(EngineRequest::Order(EngineOrder {
            fence: order.fence,
            assignment: order.assignment.clone(),
        })))
    }

    /// Whether every gateway has stopped sending, and the engine said after
    /// that that nothing runs.
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

/// Whether nothing else is desired of an engine than what it is.
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
