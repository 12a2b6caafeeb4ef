//! What the gateway believes of each back end.

use std::collections::BTreeMap;

use garnet_control::{BackendRecord, Configuration};
use garnet_routing::{
    Availability, CircuitBreaker, EngineEstimate, InFlightWork, LoadReport, PrefixIndex, Probe,
};
use garnet_types::{
    BackendId, BackendKind, EngineCapacity, EngineRole, Millis, ModelId, ServiceId,
};

use crate::effects::AttemptId;

/// After a back end said that it is draining, it is left alone for so long
/// unless the configuration says otherwise before.
const DRAINING_PAUSE: Millis = Millis(1500);

/// An engine that has not reported for so long is not given new work.
pub(crate) const SILENT_ENGINE: Millis = Millis(2000);

/// Belief about one back end.
#[derive(Debug, Default)]
pub(crate) struct Belief {
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

impl Belief {
    /// How long the engine has not answered a question for its load.
    fn silent_for(&self, now: Millis) -> Millis {
        let heard = self.reported_at.max(self.first_polled_at);
        heard.map_or(Millis::ZERO, |at| now.since(at))
    }

    /// Follows the start of the back end, as its record and its own reports tell it:
    /// another one has reported nothing.
    fn follow_start(&mut self, record: &BackendRecord) {
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
    beliefs: BTreeMap<BackendId, Belief>,
    pub(crate) prefixes: PrefixIndex,
}

/// A back end that may take a request.
#[derive(Debug, Clone)]
pub(crate) struct Eligible<'a> {
    pub(crate) id: &'a BackendId,
    pub(crate) record: &'a BackendRecord,
    pub(crate) role: EngineRole,
}

impl Backends {
    pub(crate) fn belief(&mut self, id: &BackendId) -> &mut Belief {
        self.beliefs.entry(id.clone()).or_default()
    }

    pub(crate) fn known(&self, id: &BackendId) -> Option<&Belief> {
        self.beliefs.get(id)
    }

    /// Follows the starts of back ends, and forgets those that left the configuration
    /// and have no work here.
    pub(crate) fn follow(&mut self, configuration: &Configuration) {
        let prefixes = &mut self.prefixes;
        self.beliefs.retain(|id, belief| {
            let record = configuration.backends.get(id);
            if let Some(record) = record {
                belief.follow_start(record);
            }
            let keep = record.is_some() || belief.estimate.in_flight() > 0;
            if !keep {
                prefixes.forget(id);
            }
            keep
        });
    }

    pub(crate) fn observe(&mut self, id: &BackendId, report: &LoadReport, now: Millis) {
        let belief = self.belief(id);
        belief.estimate.observe(report, now);
        belief.reported_at = Some(now);
        belief.incarnation = report.incarnation;
        self.prefixes
            .observe(id, report.incarnation, &report.cache_events);
    }

    pub(crate) fn sent(&mut self, id: &BackendId, attempt: AttemptId, work: InFlightWork) {
        let belief = self.belief(id);
        if let Some(probe) = belief.availability.sent(work.sent_at) {
            belief.probes.insert(attempt, probe);
        }
        belief.estimate.sent(attempt, work);
        belief.breaker.sent();
    }

    /// Follows the start of a back end.
    pub(crate) fn follow_start(&mut self, record: &BackendRecord) {
        self.belief(&record.registration.id).follow_start(record);
    }

    /// What a back end reports goes here.
    pub(crate) fn availability_of(&mut self, record: &BackendRecord) -> &mut Availability {
        let belief = self.belief(&record.registration.id);
        belief.follow_start(record);
        &mut belief.availability
    }

    /// Notes that a back end took an attempt.
    pub(crate) fn accepted(&mut self, id: &BackendId, attempt: AttemptId) {
        self.belief(id).accepted(attempt);
    }

    pub(crate) fn succeeded(&mut self, id: &BackendId, attempt: AttemptId) {
        let belief = self.belief(id);
        belief.accepted(attempt);
        belief.estimate.ended(&attempt);
        belief.breaker.succeeded();
    }

    pub(crate) fn released(&mut self, id: &BackendId, attempt: AttemptId) {
        let belief = self.belief(id);
        belief.probe_released(attempt);
        belief.estimate.ended(&attempt);
        belief.breaker.released();
    }

    pub(crate) fn failed(&mut self, id: &BackendId, attempt: AttemptId, now: Millis) {
        let belief = self.belief(id);
        belief.probe_released(attempt);
        belief.estimate.ended(&attempt);
        belief.breaker.failed(now);
    }

    /// Notes that a back end takes no new work on purpose: no fault of it.
    pub(crate) fn draining(&mut self, id: &BackendId, attempt: AttemptId, now: Millis) {
        self.released(id, attempt);
        self.belief(id).avoid_until = now + DRAINING_PAUSE;
    }

    /// Engines of a service with a model that may take work now.
    pub(crate) fn engines<'a>(
        &self,
        configuration: &'a Configuration,
        service: &ServiceId,
        model: &ModelId,
        excluded: &[BackendId],
        now: Millis,
    ) -> Vec<Eligible<'a>> {
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
            .find_map(|(id, _)| self.known(id))
            .map(|belief| belief.estimate.capacity())
            .unwrap_or_default()
    }

    /// Instances of an application service that may take work now.
    pub(crate) fn instances<'a>(
        &self,
        configuration: &'a Configuration,
        service: &ServiceId,
        excluded: &[BackendId],
        now: Millis,
    ) -> Vec<Eligible<'a>> {
        self.healthy(instances_of(configuration, service), excluded, now)
    }

    /// Time until one of these takes requests again; `None` where one does, or none is
    /// left that will.
    pub(crate) fn all_in_backoff<'a>(
        &self,
        all: impl Iterator<Item = &'a Eligible<'a>>,
        now: Millis,
    ) -> Option<Millis> {
        let remaining = |one: &Eligible<'_>| match self.known(one.id) {
            Some(belief) if belief.availability.is_draining(now) => None,
            Some(belief) => belief
                .availability
                .backoff_remaining(now)
                .or(Some(Millis::ZERO)),
            None => Some(Millis::ZERO),
        };
        let first = all.filter_map(remaining).min()?;
        (first > Millis::ZERO).then_some(first)
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
            let belief = self.belief(id);
            let elapsed = belief.polled_at.map_or(Millis::NEVER, |at| now.since(at));
            if elapsed >= interval {
                belief.polled_at = Some(now);
                belief.first_polled_at.get_or_insert(now);
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
        all: Vec<Eligible<'a>>,
        excluded: &[BackendId],
        now: Millis,
    ) -> Vec<Eligible<'a>> {
        let total = all.len();
        let usable: Vec<Eligible<'a>> = all
            .into_iter()
            .filter(|one| !excluded.contains(one.id) && !self.is_avoided(one.id, now))
            .collect();
        let closed: Vec<Eligible<'a>> = usable
            .iter()
            .filter(|one| self.breaker_allows(one.id, now))
            .cloned()
            .collect();
        if closed.len() * 2 >= total {
            closed
        } else {
            usable
        }
    }

    fn is_avoided(&self, id: &BackendId, now: Millis) -> bool {
        // What was reported outlasts the request that met it.
        let takes_none =
            |belief: &Belief| now < belief.avoid_until || !belief.availability.allows(now);
        self.known(id).is_some_and(takes_none) || self.is_silent(id, now)
    }

    /// Whether an engine stopped answering: frozen, lost or cut off.
    pub(crate) fn is_silent(&self, id: &BackendId, now: Millis) -> bool {
        self.known(id)
            .is_some_and(|belief| belief.silent_for(now) >= SILENT_ENGINE)
    }

    fn breaker_allows(&self, id: &BackendId, now: Millis) -> bool {
        self.known(id)
            .is_none_or(|belief| belief.breaker.allows(now))
    }
}

/// Engines of a service with a model, as the configuration has them.
pub(crate) fn engines_of<'a>(
    configuration: &'a Configuration,
    service: &ServiceId,
    model: &ModelId,
) -> Vec<Eligible<'a>> {
    let of_model = configuration.backends.iter().filter_map(|(id, record)| {
        let assignment = record.assignment()?;
        let fits = record.registration.service == *service && assignment.model == *model;
        let role = assignment.role;
        (fits && record.takes_work()).then_some(Eligible { id, record, role })
    });
    of_model.collect()
}

/// Instances of an application service, as the configuration has them.
pub(crate) fn instances_of<'a>(
    configuration: &'a Configuration,
    service: &ServiceId,
) -> Vec<Eligible<'a>> {
    let of_service = configuration.backends.iter().filter_map(|(id, record)| {
        let is_application = record.registration.kind == BackendKind::Application;
        let fits = record.registration.service == *service && is_application;
        let role = EngineRole::Mixed;
        (fits && record.takes_work()).then_some(Eligible { id, record, role })
    });
    of_service.collect()
}
