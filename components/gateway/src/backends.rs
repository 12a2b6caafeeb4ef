//! What the gateway believes of each back end.

use std::collections::BTreeMap;

use garnet_control::{BackendRecord, Configuration};
use garnet_routing::{
    Backoff, CircuitBreaker, EngineEstimate, LoadReport, OwnWork, PrefixIndex, Probe, RetryAfter,
};
use garnet_types::{
    BackendId, BackendKind, EngineCapacity, EngineRole, Millis, ModelId, ServiceId,
};

use crate::effects::AttemptId;

/// After a back end said that it is draining, it is left alone for so long
/// unless the configuration says otherwise before.
const DRAINING_PAUSE: Millis = Millis(1500);

/// A back end that is still there so long after it reported draining has started again
/// without telling so.
const DRAINING_LASTS: Millis = Millis::from_secs(300);

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
    backoff: Backoff,
    /// Attempts that probe it after a backoff.
    probes: BTreeMap<AttemptId, Probe>,
    draining_since: Option<Millis>,
    /// The start that requested the backoff or reported draining.
    reporting_start: u64,
}

impl Belief {
    /// How long the engine has not answered a question for its load.
    fn silent_for(&self, now: Millis) -> Millis {
        let heard = self.reported_at.max(self.first_polled_at);
        heard.map_or(Millis::ZERO, |at| now.since(at))
    }

    /// Start of the back end, as its record and its own reports tell it.
    fn start(&self, record: &BackendRecord) -> u64 {
        self.incarnation.max(record.start())
    }

    /// Follows the start of the back end: another one has reported nothing.
    fn follow_start(&mut self, record: &BackendRecord) {
        let start = self.start(record);
        if start != self.reporting_start {
            self.reporting_start = start;
            self.backoff.reset();
            self.draining_since = None;
        }
    }

    /// Whether what was reported is of the present start.
    fn is_of_present(&self, record: &BackendRecord) -> bool {
        self.start(record) == self.reporting_start
    }

    fn is_draining(&self, record: &BackendRecord, now: Millis) -> bool {
        let holds = |since: Millis| now.since(since) <= DRAINING_LASTS;
        self.is_of_present(record) && self.draining_since.is_some_and(holds)
    }

    /// Whether a request may be sent, as far as backoff and draining go.
    fn takes_requests(&self, record: &BackendRecord, now: Millis) -> bool {
        let in_backoff = self.is_of_present(record) && !self.backoff.allows(now);
        !in_backoff && !self.is_draining(record, now)
    }

    /// Time until a backoff is over, zero where none is in force.
    fn backoff_remaining(&self, record: &BackendRecord, now: Millis) -> Millis {
        let remaining = self.backoff.remaining(now).unwrap_or_default();
        if self.is_of_present(record) {
            remaining
        } else {
            Millis::ZERO
        }
    }

    /// The back end took an attempt.
    fn accepted(&mut self, attempt: AttemptId) {
        if let Some(probe) = self.probes.remove(&attempt) {
            self.backoff.accepted(probe);
        }
    }

    /// An attempt is over without a verdict of the back end.
    fn probe_released(&mut self, attempt: AttemptId) {
        if let Some(probe) = self.probes.remove(&attempt) {
            self.backoff.released(probe);
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

    /// Forgets back ends that left the configuration and have no work here.
    pub(crate) fn keep_only(&mut self, configuration: &Configuration) {
        let prefixes = &mut self.prefixes;
        self.beliefs.retain(|id, belief| {
            let keep = configuration.backends.contains_key(id) || belief.estimate.in_flight() > 0;
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

    pub(crate) fn sent(&mut self, id: &BackendId, attempt: AttemptId, work: OwnWork) {
        let belief = self.belief(id);
        if let Some(probe) = belief.backoff.sent(work.sent_at) {
            belief.probes.insert(attempt, probe);
        }
        belief.estimate.sent(attempt, work);
        belief.breaker.sent();
    }

    /// Takes the backoff that an answer requests, which ends `spread` later here.
    pub(crate) fn request_backoff(
        &mut self,
        record: &BackendRecord,
        retry_after: RetryAfter,
        spread: Millis,
        now: Millis,
    ) {
        let belief = self.belief(&record.registration.id);
        belief.follow_start(record);
        belief.backoff.request(retry_after, spread, now);
    }

    /// Notes that an answer reports draining.
    pub(crate) fn report_draining(&mut self, record: &BackendRecord, now: Millis) {
        let belief = self.belief(&record.registration.id);
        belief.follow_start(record);
        belief.draining_since = Some(now);
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
            Some(belief) if belief.is_draining(one.record, now) => None,
            Some(belief) => Some(belief.backoff_remaining(one.record, now)),
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
            .filter(|one| !excluded.contains(one.id) && !self.is_avoided(one, now))
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

    fn is_avoided(&self, one: &Eligible<'_>, now: Millis) -> bool {
        // What was reported outlasts the request that met it.
        let takes_none =
            |belief: &Belief| now < belief.avoid_until || !belief.takes_requests(one.record, now);
        self.known(one.id).is_some_and(takes_none) || self.is_silent(one.id, now)
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
