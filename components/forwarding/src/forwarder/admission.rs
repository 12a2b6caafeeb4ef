//! Admission of new requests: predicted times, and the observations that the predictions
//! are learned from.

use garnet_control::{LOWEST_PRIORITY, PriorityCounts};
use garnet_types::{BackendId, Millis, ServiceId};

use crate::admission::{Admission, Arrival, Prediction, admit};
use crate::backends::Backend;
use crate::pace::{PrefillPace, TokenTime};
use crate::placement::{Placement, PlacementContext};
use crate::work::{Prompt, Work};

use super::{Forwarder, Learned};

impl Forwarder {
    /// Chooses where a new request goes, and whether it is sent now. If its answer would
    /// be late at the owners of its prefix, any engine that would be in time takes it,
    /// provided that the estimates are fresh enough to tell: prefilling a prefix again
    /// costs less than a late answer.
    pub fn place_new(
        &mut self,
        service: &ServiceId,
        work: &Work,
        arrival: &Arrival,
        now: Millis,
    ) -> Option<(Placement, Admission)> {
        let Some(placement) = self.place(service, work, &[], true, now) else {
            return self.refuse_new(service, work, arrival, now);
        };
        let admission = self.admission(service, work, &placement, arrival, now);
        if admission == Admission::Admit {
            return Some((placement, admission));
        }
        let any_engine = PlacementContext {
            any_engine: true,
            ..self.context(&[], now)
        };
        if self.may_compare_all(service)
            && let Some(other) = self.place_with(service, work, &any_engine)
            && self.admission(service, work, &other, arrival, now) == Admission::Admit
        {
            return Some((other, Admission::Admit));
        }
        if let Admission::Refuse { retry_after, .. } = admission
            && !arrival.is_retry
        {
            let learned = self.learned.entry(service.clone()).or_default();
            learned.pending_retries.add(now + retry_after, now);
        }
        Some((placement, admission))
    }

    /// Returns the refusal of a new request for which no connection is free, if it would be
    /// refused even with one, so that waiting for a connection is useless. `None` if it
    /// would not be refused, or if no engine takes it.
    fn refuse_new(
        &self,
        service: &ServiceId,
        work: &Work,
        arrival: &Arrival,
        now: Millis,
    ) -> Option<(Placement, Admission)> {
        let context = PlacementContext {
            ignore_connections: true,
            ..self.context(&[], now)
        };
        let placement = self.place_with(service, work, &context)?;
        let admission = self.admission(service, work, &placement, arrival, now);
        matches!(admission, Admission::Refuse { .. }).then_some((placement, admission))
    }

    fn admission(
        &self,
        service: &ServiceId,
        work: &Work,
        placement: &Placement,
        arrival: &Arrival,
        now: Millis,
    ) -> Admission {
        let Some(prompt) = &work.prompt else {
            return Admission::Admit;
        };
        let prediction = self.predict(service, work, prompt, placement, now);
        admit(&prediction, work.objective, arrival)
    }

    fn predict(
        &self,
        service: &ServiceId,
        work: &Work,
        prompt: &Prompt,
        placement: &Placement,
        now: Millis,
    ) -> Prediction {
        let (engine, source) = match placement {
            Placement::One(engine) => (engine, None),
            Placement::Handover {
                prefill_engine,
                copy_from,
            } => (prefill_engine, copy_from.as_ref()),
        };
        let uncached = self.uncached_tokens(engine, prompt, source, now);
        let ahead = self.queued_tokens(engine, work.engine_priority(uncached), now);
        let queued = self.queued_tokens(engine, LOWEST_PRIORITY, now);
        let pace = self.pace_of(engine);
        let prefill_ms = pace.expected_ms(uncached);
        let slot_estimate = self.slot_queue(service, work.priority, placement, now);
        // The peer gateways have told about as many callers to retry.
        let learned = self.learned.get(service);
        let pending_callers = learned.map_or(0, |learned| learned.pending_retries.pending(now));
        let returning = (pending_callers as u64 * self.gateways) as f64;
        Prediction {
            prefill_ms,
            ahead_ms: pace.expected_ms(ahead + uncached) - prefill_ms,
            all_queued_ms: pace.expected_ms(queued + uncached) - prefill_ms,
            slot_ms: slot_estimate.wait_ms(),
            retries_ms: slot_estimate.release_interval_ms * returning
                / slot_estimate.engines.max(1) as f64,
        }
    }

    /// Prompt tokens that the engine prefills before a new request of this engine
    /// priority.
    pub(super) fn queued_tokens(
        &self,
        engine: &BackendId,
        engine_priority: u8,
        now: Millis,
    ) -> u64 {
        let backend = self.backends.get(engine);
        backend.map_or(0, |backend| {
            backend.load.tokens_ahead_of(engine_priority, now)
        })
    }

    /// Predicts the wait for a decode slot.
    fn slot_queue(
        &self,
        service: &ServiceId,
        route_priority: u8,
        placement: &Placement,
        now: Millis,
    ) -> SlotQueue {
        let table = self.configuration.routes.as_ref();
        let Some(limits) = table.and_then(|table| table.engine_limits(service)) else {
            return SlotQueue::default();
        };
        let learned = self.learned.get(service);
        let token_time = learned.map_or(TokenTime::default(), |learned| learned.token_time);
        let share_ahead = self.fraction_ahead(service, route_priority);
        let queue = |backend: &Backend| {
            let requests = backend.load.requests(now);
            let slots = limits.effective_slots(requests, backend.load.held_tokens(now));
            let excess = requests as f64 * share_ahead + 1.0 - slots;
            let mean_output = backend.load.mean_output_tokens();
            SlotQueue {
                excess: excess.max(0.0),
                release_interval_ms: token_time.expected_ms(mean_output) / slots.max(1.0),
                engines: 1,
            }
        };
        if let Placement::One(engine) = placement {
            return self.backends.get(engine).map(queue).unwrap_or_default();
        }
        let decode_engines = self.decode_engines_of(service);
        // An engine with a rate limit has a slot for this gateway only with a permit.
        let may_send = |backend: &&Backend| {
            !backend.has_limit || self.limits.may_send(&backend.registration.id, now)
        };
        let open = decode_engines.filter(|backend| backend.is_open(now, false));
        let open = open.filter(may_send);
        let queues: Vec<SlotQueue> = open.map(queue).collect();
        let shortest = queues
            .iter()
            .min_by(|left, right| left.wait_ms().total_cmp(&right.wait_ms()));
        shortest.map_or(SlotQueue::default(), |shortest| SlotQueue {
            engines: queues.len(),
            ..*shortest
        })
    }

    /// Fraction of the decoding requests that come before a new one of this priority. Own
    /// requests are taken as a sample of all.
    fn fraction_ahead(&self, service: &ServiceId, route_priority: u8) -> f64 {
        let mut own = PriorityCounts::default();
        let with_work = self.with_own_work.iter();
        let with_work = with_work.filter_map(|id| self.backends.get(id));
        let of_service = with_work.filter(|backend| backend.registration.service == *service);
        for backend in of_service.filter(|backend| backend.generates()) {
            own += backend.load.own_by_priority();
        }
        match own.total() {
            0 => 1.0,
            total => own.ahead_of(route_priority) as f64 / total as f64,
        }
    }

    fn decode_engines_of(&self, service: &ServiceId) -> impl Iterator<Item = &Backend> {
        self.backends_of(service)
            .filter(|backend| backend.generates())
    }

    /// Longest time that a prefill engine should take for a prompt with `uncached`
    /// tokens, including what is queued there. `None` for the lowest priority: such a
    /// prompt waits for all that arrive later, so the engine's silence tells nothing.
    pub fn prefill_timeout(
        &self,
        id: &BackendId,
        uncached: u64,
        engine_priority: u8,
        now: Millis,
    ) -> Option<Millis> {
        if engine_priority >= LOWEST_PRIORITY {
            return None;
        }
        let queued = self.queued_tokens(id, engine_priority, now);
        Some(self.pace_of(id).time_limit(queued.max(uncached)))
    }

    fn pace_of(&self, id: &BackendId) -> PrefillPace {
        let backend = self.backends.get(id);
        backend.map_or(PrefillPace::default(), |backend| {
            self.pace_of_service(&backend.registration.service)
        })
    }

    pub(super) fn pace_of_service(&self, service: &ServiceId) -> PrefillPace {
        let learned = self.learned.get(service);
        learned.map_or(PrefillPace::default(), |learned| learned.prefill)
    }

    /// Records how long the prefill of a prompt took, with `tokens` to prefill until its
    /// end, those queued before it included.
    pub fn note_prefill(&mut self, id: &BackendId, tokens: u64, took: Millis) {
        if let Some(learned) = self.learned_of(id) {
            learned.prefill.note(tokens, took);
        }
    }

    /// Records how long a request held its decode slot.
    pub fn note_slot_time(&mut self, id: &BackendId, prompt: &Prompt, held_for: Millis) {
        if let Some(learned) = self.learned_of(id) {
            learned.token_time.note(prompt.likely_output(), held_for);
        }
    }

    /// What was learned of the service of a back end.
    fn learned_of(&mut self, id: &BackendId) -> Option<&mut Learned> {
        let service = self.backends.get(id)?.registration.service.clone();
        Some(self.learned.entry(service).or_default())
    }
}

/// Queue for a decode slot at the engine with the shortest wait.
#[derive(Debug, Clone, Copy, Default)]
struct SlotQueue {
    /// Requests in excess of the slots.
    excess: f64,
    /// Mean interval at which a slot is released.
    release_interval_ms: f64,
    /// Number of engines among which this one has the shortest wait.
    engines: usize,
}

impl SlotQueue {
    fn wait_ms(&self) -> f64 {
        self.excess * self.release_interval_ms
    }
}
