//! What the gateway believes of each back end.

use std::collections::BTreeMap;

use garnet_control::{BackendRecord, Configuration};
use garnet_routing::{
    Availability, CircuitBreaker, EngineEstimate, LoadReport, OwnWork, PrefixIndex, Probe,
};
use garnet_types::{
    BackendId, BackendKind, EngineCapacity, EngineRole, Millis, ModelId, ServiceId,
};

use crate::effects::AttemptId;

/// After a back end said that it is draining, it is left alone for so long
/// unless the configuration says otherwise before.
const DRAINING_PAUSE: Millis = Millis(1500);

/// An engine that has not reported for so long is not given new work.
pub(crate) const ENGINE_SILENCE_TIMEOUT: Millis = Millis(2000);

/// Belief about one back end.
#[derive(Debug, Default)]
pub(crate) struct BackendView {
    pub(crate) estimate: EngineEstimate<AttemptId>,
    pub(crate) breaker: CircuitBreaker,
    avoid_until: Millis,
    polled_at: Option<Millis>,
    first_polled_at: Option<Millis>,
    reported_at: Option<Millis>,
    /// The start that reported its load last.
    pub(crate) incarnation: u64,
    availability: Availability,
    /// Attempts that probe it after a backoff.
    probes: BTreeMap<AttemptId, Probe>,
    /// The start whose reports `availability` holds.
    start: u64,
}

impl BackendView {
    /// How long the engine has not answered a question for its load.
    fn time_since_contact(&self, now: Millis) -> Millis {
        let last_contact = self.reported_at.max(self.first_polled_at);
        last_contact.map_or(Millis::ZERO, |at| now.since(at))
    }

    /// Follows the start of the back end, as its record and its own reports tell it:
    /// another one has reported nothing.
    fn update_start(&mut self, record: &BackendRecord) {
        let start = self.incarnation.max(record.start());
        if start != self.start {
            self.start = start;
            self.availability.reset();
            self.avoid_until = Millis::ZERO;
        }
    }

    /// The back end took an attempt.
    fn accepted(&mut self, attempt: AttemptId) {
        if let Some(probe) = self.probes.remove(&attempt) {
            self.availability.accepted(probe);
        }
    }

    /// An attempt is over without a verdict of the back end.
    fn probe_released(&mut self, attempt: AttemptId) {
        if let Some(probe) = self.probes.remove(&attempt) {
            self.availability.released(probe);
        }
    }
}

/// Beliefs about all back ends of the configuration.
#[derive(Debug, Default)]
pub(crate) struct Backends {
    views: BTreeMap<BackendId, BackendView>,
    pub(crate) prefixes: PrefixIndex,
}

/// A back end that may take a request.
#[derive(Debug, Clone)]
pub(crate) struct BackendRef<'a> {
    pub(crate) id: &'a BackendId,
    pub(crate) record: &'a BackendRecord,
    pub(crate) role: EngineRole,
}

impl Backends {
    pub(crate) fn view_mut(&mut self, id: &BackendId) -> &mut BackendView {
        self.views.entry(id.clone()).or_default()
    }

    pub(crate) fn view_of(&self, id: &BackendId) -> Option<&BackendView> {
        self.views.get(id)
    }

    /// Follows the starts of back ends, and forgets those that left the configuration
    /// and have no work here.
    pub(crate) fn update(&mut self, configuration: &Configuration) {
        let prefixes = &mut self.prefixes;
        self.views.retain(|id, view| {
            let record = configuration.backends.get(id);
            if let Some(record) = record {
                view.update_start(record);
            }
            let keep = record.is_some() || view.estimate.in_flight() > 0;
            if !keep {
                prefixes.forget(id);
            }
            keep
        });
    }

    pub(crate) fn observe(&mut self, id: &BackendId, report: &LoadReport, now: Millis) {
        let view = self.view_mut(id);
        view.estimate.observe(report, now);
        view.reported_at = Some(now);
        view.incarnation = report.incarnation;
        self.prefixes
            .observe(id, report.incarnation, &report.cache_events);
    }

    pub(crate) fn sent(&mut self, id: &BackendId, attempt: AttemptId, work: OwnWork) {
        let view = self.view_mut(id);
        if let Some(probe) = view.availability.sent(work.sent_at) {
            view.probes.insert(attempt, probe);
        }
        view.estimate.sent(attempt, work);
        view.breaker.sent();
    }

    /// Follows the start of a back end.
    pub(crate) fn update_start(&mut self, record: &BackendRecord) {
        self.view_mut(&record.registration.id).update_start(record);
    }

    /// What a back end reports goes here.
    pub(crate) fn availability_of(&mut self, record: &BackendRecord) -> &mut Availability {
        let view = self.view_mut(&record.registration.id);
        view.update_start(record);
        &mut view.availability
    }

    /// Notes that a back end took an attempt.
    pub(crate) fn accepted(&mut self, id: &BackendId, attempt: AttemptId) {
        self.view_mut(id).accepted(attempt);
    }

    pub(crate) fn succeeded(&mut self, id: &BackendId, attempt: AttemptId) {
        let view = self.view_mut(id);
        view.accepted(attempt);
        view.estimate.ended(&attempt);
        view.breaker.succeeded();
    }

    pub(crate) fn released(&mut self, id: &BackendId, attempt: AttemptId) {
        let view = self.view_mut(id);
        view.probe_released(attempt);
        view.estimate.ended(&attempt);
        view.breaker.released();
    }

    pub(crate) fn failed(&mut self, id: &BackendId, attempt: AttemptId, now: Millis) {
        let view = self.view_mut(id);
        view.probe_released(attempt);
        view.estimate.ended(&attempt);
        view.breaker.failed(now);
    }

    /// Notes that a back end takes no new work on purpose: no fault of it.
    pub(crate) fn draining(&mut self, id: &BackendId, attempt: AttemptId, now: Millis) {
        self.released(id, attempt);
        self.view_mut(id).avoid_until = now + DRAINING_PAUSE;
    }

    /// Engines of a service with a model that may take work now.
    pub(crate) fn engines<'a>(
        &self,
        configuration: &'a Configuration,
        service: &ServiceId,
        model: &ModelId,
        excluded: &[BackendId],
        now: Millis,
    ) -> Vec<BackendRef<'a>> {
        self.healthy(engines_of(configuration, service, model), excluded, now)
    }

    /// Speed of the engines that hold a model, as one of them reported it.
    pub(crate) fn capacity(
        &self,
        configuration: &Configuration,
        model: &ModelId,
    ) -> EngineCapacity {
        let holds = |record: &BackendRecord| {
            record
                .assignment()
                .is_some_and(|assignment| assignment.model == *model)
        };
        configuration
            .backends
            .iter()
            .filter(|(_, record)| holds(record))
            .find_map(|(id, _)| self.view_of(id))
            .map(|view| view.estimate.capacity())
            .unwrap_or_default()
    }

    /// Instances of an application service that may take work now.
    pub(crate) fn instances<'a>(
        &self,
        configuration: &'a Configuration,
        service: &ServiceId,
        excluded: &[BackendId],
        now: Millis,
    ) -> Vec<BackendRef<'a>> {
        self.healthy(instances_of(configuration, service), excluded, now)
    }

    /// Time until one of these takes requests again; `None` where one does, or none is
    /// left that will.
    pub(crate) fn all_in_backoff<'a>(
        &self,
        candidates: impl Iterator<Item = &'a BackendRef<'a>>,
        now: Millis,
    ) -> Option<Millis> {
        let remaining = |candidate: &BackendRef<'_>| match self.view_of(candidate.id) {
            Some(view) if view.availability.is_draining(now) => None,
            Some(view) => view
                .availability
                .backoff_remaining(now)
                .or(Some(Millis::ZERO)),
            None => Some(Millis::ZERO),
        };
        let shortest = candidates.filter_map(remaining).min()?;
        (shortest > Millis::ZERO).then_some(shortest)
    }

    /// Engines whose load is due to be asked for.
    pub(crate) fn due_for_poll(
        &mut self,
        configuration: &Configuration,
        interval: Millis,
        now: Millis,
    ) -> Vec<(BackendId, String)> {
        let mut due = Vec::new();
        for (id, record) in &configuration.backends {
            if record.registration.kind != BackendKind::Engine {
                continue;
            }
            let view = self.view_mut(id);
            let elapsed = view.polled_at.map_or(Millis::NEVER, |at| now.since(at));
            if elapsed >= interval {
                view.polled_at = Some(now);
                view.first_polled_at.get_or_insert(now);
                due.push((id.clone(), record.registration.address.clone()));
            }
        }
        due
    }

    /// Leaves out back ends that failed this request, that are draining, or
    /// whose breaker is open. Breakers never take out most of a service: with
    /// so many open, the fault is likely elsewhere.
    fn healthy<'a>(
        &self,
        candidates: Vec<BackendRef<'a>>,
        excluded: &[BackendId],
        now: Millis,
    ) -> Vec<BackendRef<'a>> {
        let total = candidates.len();
        let usable: Vec<BackendRef<'a>> = candidates
            .into_iter()
            .filter(|candidate| {
                !excluded.contains(candidate.id) && !self.is_blocked(candidate.id, now)
            })
            .collect();
        let with_closed_breaker: Vec<BackendRef<'a>> = usable
            .iter()
            .filter(|candidate| self.breaker_allows(candidate.id, now))
            .cloned()
            .collect();
        if with_closed_breaker.len() * 2 >= total {
            with_closed_breaker
        } else {
            usable
        }
    }

    fn is_blocked(&self, id: &BackendId, now: Millis) -> bool {
        // What was reported outlasts the request that met it.
        let rejects_requests =
            |view: &BackendView| now < view.avoid_until || !view.availability.allows(now);
        self.view_of(id).is_some_and(rejects_requests) || self.is_silent(id, now)
    }

    /// Whether an engine stopped answering: frozen, lost or cut off.
    pub(crate) fn is_silent(&self, id: &BackendId, now: Millis) -> bool {
        self.view_of(id)
            .is_some_and(|view| view.time_since_contact(now) >= ENGINE_SILENCE_TIMEOUT)
    }

    fn breaker_allows(&self, id: &BackendId, now: Millis) -> bool {
        self.view_of(id).is_none_or(|view| view.breaker.allows(now))
    }
}

/// Engines of a service with a model, as the configuration has them.
pub(crate) fn engines_of<'a>(
    configuration: &'a Configuration,
    service: &ServiceId,
    model: &ModelId,
) -> Vec<BackendRef<'a>> {
    let engines_of_model = configuration.backends.iter().filter_map(|(id, record)| {
        let assignment = record.assignment()?;
        let is_match = record.registration.service == *service && assignment.model == *model;
        let role = assignment.role;
        (is_match && record.takes_work()).then_some(BackendRef { id, record, role })
    });
    engines_of_model.collect()
}

/// Instances of an application service, as the configuration has them.
pub(crate) fn instances_of<'a>(
    configuration: &'a Configuration,
    service: &ServiceId,
) -> Vec<BackendRef<'a>> {
    let instances_of_service = configuration.backends.iter().filter_map(|(id, record)| {
        let is_application = record.registration.kind == BackendKind::Application;
        let is_match = record.registration.service == *service && is_application;
        let role = EngineRole::Mixed;
        (is_match && record.takes_work()).then_some(BackendRef { id, record, role })
    });
    instances_of_service.collect()
}
