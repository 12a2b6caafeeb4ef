//! The gateway's view of each back end: load estimate, circuit breaker and availability.

use std::collections::BTreeMap;

use garnet_control::{BackendRecord, Configuration};
use garnet_routing::{
    Availability, CircuitBreaker, EngineEstimate, InFlightWork, LoadReport, PrefixIndex, Probe,
};
use garnet_types::{
    BackendId, BackendKind, BuildId, EngineCapacity, EngineRole, Millis, ModelId, ServiceId,
};

use crate::effects::AttemptId;

/// Time for which no requests are sent to a back end that rejected one because it is draining,
/// unless the configuration shows a new start of the back end earlier.
const DRAINING_PAUSE: Millis = Millis(1500);

/// An engine that hasn't reported its load for this long gets no new requests.
pub(crate) const ENGINE_SILENCE_TIMEOUT: Millis = Millis(2000);

/// The view of one back end.
#[derive(Debug, Default)]
pub(crate) struct BackendView {
    pub(crate) estimate: EngineEstimate<AttemptId>,
    pub(crate) breaker: CircuitBreaker,
    avoid_until: Millis,
    polled_at: Option<Millis>,
    first_polled_at: Option<Millis>,
    reported_at: Option<Millis>,
    /// Incarnation of the process that reported its load last; differs for each start.
    pub(crate) incarnation: u64,
    /// Build of that process.
    build: Option<BuildId>,
    availability: Availability,
    /// Attempts that probe the back end after a backoff.
    probes: BTreeMap<AttemptId, Probe>,
    /// Start number (incarnation) of the process that `availability` refers to.
    start: u64,
}

impl BackendView {
    /// Time since the last load report, or since the first poll if there was none.
    fn time_since_contact(&self, now: Millis) -> Millis {
        let last_contact = self.reported_at.max(self.first_polled_at);
        last_contact.map_or(Millis::ZERO, |at| now.since(at))
    }

    /// Updates the start number of the back end from its record and its own reports. After a
    /// restart, what the previous process reported about its availability is discarded.
    fn update_start(&mut self, record: &BackendRecord) {
        let start = self.incarnation.max(record.start());
        if start != self.start {
            self.start = start;
            self.availability.reset();
            self.avoid_until = Millis::ZERO;
        }
    }

    /// Records that the back end accepted an attempt.
    fn accepted(&mut self, attempt: AttemptId) {
        if let Some(probe) = self.probes.remove(&attempt) {
            self.availability.accepted(probe);
        }
    }

    /// Records that an attempt ended without showing whether the back end accepts requests.
    fn probe_released(&mut self, attempt: AttemptId) {
        if let Some(probe) = self.probes.remove(&attempt) {
            self.availability.released(probe);
        }
    }
}

/// The views of all back ends of the configuration.
#[derive(Debug, Default)]
pub(crate) struct Backends {
    views: BTreeMap<BackendId, BackendView>,
    pub(crate) prefixes: PrefixIndex,
}

/// A back end of the configuration with its role.
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

    /// Applies a new configuration: updates the start numbers of back ends, and drops back ends
    /// that left the configuration and have no requests in flight.
    pub(crate) fn apply_configuration(&mut self, configuration: &Configuration) {
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

    /// The build of an engine, if it has reported one.
    pub(crate) fn build_of(&self, id: &BackendId) -> Option<&BuildId> {
        self.view_of(id)?.build.as_ref()
    }

    pub(crate) fn observe(&mut self, id: &BackendId, report: &LoadReport, now: Millis) {
        let view = self.view_mut(id);
        view.estimate.observe(report, now);
        view.reported_at = Some(now);
        view.incarnation = report.incarnation;
        view.build = Some(report.build.clone());
        self.prefixes
            .observe(id, report.incarnation, &report.cache_events);
    }

    pub(crate) fn sent(&mut self, id: &BackendId, attempt: AttemptId, work: InFlightWork) {
        let view = self.view_mut(id);
        if let Some(probe) = view.availability.sent(work.sent_at) {
            view.probes.insert(attempt, probe);
        }
        view.estimate.sent(attempt, work);
        view.breaker.sent();
    }

    /// Updates the start number of a back end from its record.
    pub(crate) fn update_start(&mut self, record: &BackendRecord) {
        self.view_mut(&record.registration.id).update_start(record);
    }

    /// The availability of a back end, for recording its reports.
    pub(crate) fn availability_of(&mut self, record: &BackendRecord) -> &mut Availability {
        let view = self.view_mut(&record.registration.id);
        view.update_start(record);
        &mut view.availability
    }

    /// Records that a back end accepted an attempt.
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

    /// Records that a back end rejected an attempt because it is draining, which doesn't count
    /// as a failure.
    pub(crate) fn draining(&mut self, id: &BackendId, attempt: AttemptId, now: Millis) {
        self.released(id, attempt);
        self.view_mut(id).avoid_until = now + DRAINING_PAUSE;
    }

    /// Engines of a service with a model to which requests may be sent now.
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

    /// Speed of the engines with a model, as reported by one of them.
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

    /// Instances of an application service to which requests may be sent now.
    pub(crate) fn instances<'a>(
        &self,
        configuration: &'a Configuration,
        service: &ServiceId,
        excluded: &[BackendId],
        now: Millis,
    ) -> Vec<BackendRef<'a>> {
        self.healthy(instances_of(configuration, service), excluded, now)
    }

    /// Time until the first of these back ends accepts requests again. `None` if one of them
    /// accepts requests now, or if all are draining.
    pub(crate) fn shortest_backoff<'a>(
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

    /// Engines whose load must be polled now, with their addresses.
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

    /// Removes back ends that are excluded, blocked or silent, or whose circuit breaker is open.
    /// Breakers are ignored if they would remove more than half of a service, since the fault is
    /// then likely elsewhere.
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
        // A report counts for all later requests, not only for the one that received it.
        let rejects_requests =
            |view: &BackendView| now < view.avoid_until || !view.availability.allows(now);
        self.view_of(id).is_some_and(rejects_requests) || self.is_silent(id, now)
    }

    /// Whether an engine has stopped answering load polls: it is frozen, lost or unreachable.
    pub(crate) fn is_silent(&self, id: &BackendId, now: Millis) -> bool {
        self.view_of(id)
            .is_some_and(|view| view.time_since_contact(now) >= ENGINE_SILENCE_TIMEOUT)
    }

    fn breaker_allows(&self, id: &BackendId, now: Millis) -> bool {
        self.view_of(id).is_none_or(|view| view.breaker.allows(now))
    }
}

/// Engines of a service with a model that take work according to the configuration.
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

/// Instances of an application service that take work according to the configuration.
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
