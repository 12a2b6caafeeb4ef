//! Predictions from what is believed, and what is learned for them.

use garnet_control::ByRank;
use garnet_routes::EngineLimits;
use garnet_types::{BackendId, EngineRole, Millis, ServiceId};

use crate::admission::{Admission, Arrival, Prediction, admit};
use crate::backends::Backend;
use crate::pace::PrefillPace;
use crate::placement::{Placement, Preference};
use crate::work::{LAST_RANK, Prompt, Work};

use super::Forwarder;

impl Forwarder {
    /// Where a new request goes, and whether it is sent now. Where the owners
    /// of its prefix have no time, any engine that has takes it: reading a
    /// prefix again costs less than a late answer.
    pub fn place_new(
        &mut self,
        service: &ServiceId,
        work: &Work,
        arrival: &Arrival,
        now: Millis,
    ) -> Option<(Placement, Admission)> {
        let placement = self.place(service, work, &[], true, now)?;
        let admission = self.admission(service, work, &placement, arrival, now);
        if admission == Admission::Admit {
            return Some((placement, admission));
        }
        let anywhere = Preference {
            anywhere: true,
            ..self.preference(&[], now)
        };
        if let Some(other) = self.place_by(service, work, &anywhere)
            && self.admission(service, work, &other, arrival, now) == Admission::Admit
        {
            return Some((other, Admission::Admit));
        }
        if let Admission::Refuse { retry_after, .. } = admission
            && !arrival.came_back
        {
            let returns = self.returns.entry(service.clone()).or_default();
            returns.told(now + retry_after, now);
        }
        Some((placement, admission))
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
            Placement::Handover { reader, copy_from } => (reader, copy_from.as_ref()),
        };
        let unread = self.unread_tokens(engine, prompt, source, now);
        let ahead = self.queued_tokens(engine, work.rank(unread), now);
        let queued = self.queued_tokens(engine, LAST_RANK, now);
        let pace = self.pace_of(engine);
        let alone_ms = pace.expected_ms(unread);
        let place = self.place_queue(service, work.priority, placement, now);
        // The other gateways told as many to come back, roughly.
        let returns = self.returns.get(service);
        let told = returns.map_or(0, |returns| returns.pending(now));
        let returning = (told as u64 * self.gateways) as f64;
        Prediction {
            alone_ms,
            ahead_ms: pace.expected_ms(ahead + unread) - alone_ms,
            all_queued_ms: pace.expected_ms(queued + unread) - alone_ms,
            place_ms: place.wait_ms(),
            returns_ms: place.leave_every_ms * returning / place.engines.max(1) as f64,
        }
    }

    /// Prompt tokens that the engine reads before a new request of this rank.
    pub(super) fn queued_tokens(&self, engine: &BackendId, rank: u8, now: Millis) -> u64 {
        let backend = self.backends.get(engine);
        backend.map_or(0, |backend| backend.load.tokens_ahead_of(rank, now))
    }

    /// Waiting for a place to generate.
    fn place_queue(
        &self,
        service: &ServiceId,
        rank: u8,
        placement: &Placement,
        now: Millis,
    ) -> PlaceQueue {
        let Some(limits) = self.engine_limits(service) else {
            return PlaceQueue::default();
        };
        let token_time = self.token_time.get(service).copied().unwrap_or_default();
        let before = self.part_before(service, rank);
        let queue = |backend: &Backend| {
            let places = places(backend, &limits, now);
            let beyond = backend.load.requests(now) as f64 * before + 1.0 - places;
            let mean_output = backend.load.mean_output_tokens().unwrap_or(0.0);
            PlaceQueue {
                beyond: beyond.max(0.0),
                leave_every_ms: token_time.expected_ms(mean_output) / places.max(1.0),
                engines: 1,
            }
        };
        if let Placement::One(engine) = placement {
            return self.backends.get(engine).map(queue).unwrap_or_default();
        }
        let generators = self
            .backends
            .values()
            .filter(|backend| backend.registration.service == *service)
            .filter(|backend| backend.role.is_some_and(EngineRole::generates))
            .filter(|backend| backend.is_open(now, false));
        let queues: Vec<PlaceQueue> = generators.map(queue).collect();
        let shortest = queues
            .iter()
            .min_by(|left, right| left.wait_ms().total_cmp(&right.wait_ms()));
        shortest.map_or(PlaceQueue::default(), |shortest| PlaceQueue {
            engines: queues.len(),
            ..*shortest
        })
    }

    /// Part of the requests that generate which come before a new one of this
    /// rank; own requests are taken for like all others.
    fn part_before(&self, service: &ServiceId, rank: u8) -> f64 {
        let mut own = ByRank::default();
        let of_service = |backend: &&Backend| backend.registration.service == *service;
        for backend in self.backends.values().filter(of_service) {
            if backend.role.is_some_and(EngineRole::generates) {
                own += backend.load.own_by_rank();
            }
        }
        match own.total() {
            0 => 1.0,
            total => own.ahead_of(rank) as f64 / total as f64,
        }
    }

    fn engine_limits(&self, service: &ServiceId) -> Option<EngineLimits> {
        let table = self.configuration.routes.as_ref()?;
        let settings = table.services.iter().find(|s| s.name == *service)?;
        settings.engine
    }

    /// Longest time that a reader should take for a prompt of which it has
    /// `unread` tokens to read, with what is queued there. `None` for what is
    /// read last: it waits for all that come after it, so its engine's silence
    /// tells nothing.
    pub fn prefill_patience(
        &self,
        id: &BackendId,
        unread: u64,
        rank: u8,
        now: Millis,
    ) -> Option<Millis> {
        if rank >= LAST_RANK {
            return None;
        }
        let queued = self.queued_tokens(id, rank, now);
        Some(self.pace_of(id).patience(queued.max(unread)))
    }

    fn pace_of(&self, id: &BackendId) -> PrefillPace {
        let service = self.backends.get(id).map(|b| &b.registration.service);
        let pace = service.and_then(|service| self.prefill.get(service));
        pace.copied().unwrap_or_default()
    }

    /// Notes how long the prefill of a prompt took, of which `tokens` were to
    /// be read with all that was queued before.
    pub fn note_prefill(&mut self, id: &BackendId, tokens: u64, took: Millis) {
        if let Some(backend) = self.backends.get(id) {
            let service = backend.registration.service.clone();
            self.prefill.entry(service).or_default().note(tokens, took);
        }
    }

    /// Notes how long a request kept its place at an engine that generates.
    pub fn note_place(&mut self, id: &BackendId, prompt: &Prompt, kept: Millis) {
        if let Some(backend) = self.backends.get(id) {
            let service = backend.registration.service.clone();
            let time = self.token_time.entry(service).or_default();
            time.note(prompt.likely_output(), kept);
        }
    }
}

/// Requests that wait for a place at the engine where they wait least.
#[derive(Debug, Clone, Copy, Default)]
struct PlaceQueue {
    /// Requests more than places.
    beyond: f64,
    /// A place becomes free so often there.
    leave_every_ms: f64,
    /// Engines with such queues.
    engines: usize,
}

impl PlaceQueue {
    fn wait_ms(&self) -> f64 {
        self.beyond * self.leave_every_ms
    }
}

/// Requests like those under way that an engine takes at once: by its slots or
/// by its memory.
fn places(backend: &Backend, limits: &EngineLimits, now: Millis) -> f64 {
    let requests = backend.load.requests(now).max(1) as f64;
    let held = backend.load.held_tokens(now) as f64 / requests;
    let by_memory = limits.cache_tokens as f64 / held.max(1.0);
    by_memory.min(limits.slots as f64)
}
