//! Updates of the gateway's estimates of back-end state by its own attempts.

use garnet_control::PromptCopy;
use garnet_types::{BackendId, Millis, ServiceId};

use crate::answer_times::AnswerTimes;
use crate::backends::LoadReport;
use crate::work::Prompt;

use super::Forwarder;

/// Maximum number of prefix copies that wait to be reported; a copy that is left out is
/// reported when it is used again.
const MAX_PENDING_COPIES: usize = 64;

/// Prompt tokens that an engine has to prefill for a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PrefillWork {
    /// Tokens of the request's own prompt.
    pub uncached: u64,
    /// Tokens of other requests, which were queued before.
    pub queued: u64,
    /// Of these, tokens of peer gateways' requests, as the leader reported them.
    pub queued_by_peers: u64,
    /// Age of the leader's report at that time.
    pub peer_load_age: Millis,
}

impl Forwarder {
    // ---- Own attempts ----

    /// Fills in the likely output of a prompt, as learned from other callers of the
    /// service.
    pub fn fill_in_likely_output(&mut self, service: &ServiceId, prompt: &mut Prompt) {
        let learned = self.learned.entry(service.clone()).or_default();
        learned.output_length.complete(prompt);
    }

    /// Counts a prompt on its first arrival.
    pub fn note_arrival(&mut self, service: &ServiceId, prompt: &Prompt, now: Millis) {
        let learned = self.learned.entry(service.clone()).or_default();
        learned.prompt_rate.note(prompt.tokens, now);
    }

    /// Records that a request of a route was answered this long after it was sent.
    pub fn note_answer_time(&mut self, route: &str, prompt: Option<&Prompt>, took: Millis) {
        self.answer_times_of(route).note(prompt, took);
    }

    /// Records that a request of a route ended without a whole answer.
    pub fn note_unfinished(&mut self, route: &str, prompt: Option<&Prompt>, lasted: Millis) {
        self.answer_times_of(route).note_unfinished(prompt, lasted);
    }

    fn answer_times_of(&mut self, route: &str) -> &mut AnswerTimes {
        self.answer_times.entry(route.to_owned()).or_default()
    }

    /// Time within which most requests of a route with such a prompt are answered; `None` if none
    /// was.
    pub fn usual_answer_time(&self, route: &str, prompt: Option<&Prompt>) -> Option<Millis> {
        self.answer_times.get(route)?.usual(prompt)
    }

    /// Records that a request is sent to a back end, which copies what it lacks from
    /// `source`. Returns what the back end has to prefill for it.
    pub fn sent(
        &mut self,
        id: &BackendId,
        prompt: Option<&Prompt>,
        source: Option<&BackendId>,
        engine_priority: u8,
        now: Millis,
    ) -> PrefillWork {
        let uncached = prompt.map_or(0, |prompt| self.uncached_tokens(id, prompt, source, now));
        let queued = self.queued_tokens(id, engine_priority, now);
        let Some(backend) = self.backends.get_mut(id) else {
            return PrefillWork::default();
        };
        let queued_by_peers = backend.load.peer_tokens_ahead_of(engine_priority, now);
        let peer_load_age = backend.load.peer_load_age(now);
        backend.breaker.sent();
        self.limits.sent(id, now);
        self.with_own_work.insert(id.clone());
        let Some(prompt) = prompt else {
            backend.load.sent(engine_priority, 0, None);
            return PrefillWork::default();
        };
        backend.load.sent(engine_priority, uncached, Some(prompt));
        if let Some(residency) = self.cache_of(id) {
            residency.note_sent(prompt, now);
        }
        PrefillWork {
            uncached,
            queued,
            queued_by_peers,
            peer_load_age,
        }
    }

    /// Prompt tokens that a back end would have to prefill, given what it copies from
    /// `source`.
    pub fn uncached_tokens(
        &self,
        id: &BackendId,
        prompt: &Prompt,
        source: Option<&BackendId>,
        now: Millis,
    ) -> u64 {
        let prefixes = prompt.prefixes();
        let held = self.residency.get(id);
        let held = held.map_or(0, |residency| residency.held_tokens(&prefixes, now));
        let copied = source.and_then(|source| self.residency.get(source));
        let copied = copied.map_or(0, |residency| residency.copyable_tokens(&prefixes, now));
        prompt.tokens.saturating_sub(held.max(copied))
    }

    /// Records that a request is sent to a back end that decodes from an existing KV
    /// cache.
    pub fn sent_for_decode(
        &mut self,
        id: &BackendId,
        prompt: &Prompt,
        engine_priority: u8,
        now: Millis,
    ) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.breaker.sent();
            backend.load.sent(engine_priority, 0, Some(prompt));
            self.limits.sent(id, now);
            self.with_own_work.insert(id.clone());
        }
        if let Some(residency) = self.cache_of(id) {
            residency.note_sent(prompt, now);
        }
    }

    /// Records that a back end was silent for too long.
    pub fn silent(&mut self, id: &BackendId, now: Millis) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.breaker.unresponsive(now);
            self.evidence_of(id).failed += 1;
        }
    }

    /// Records that nothing listens at a back end's address.
    pub fn unreachable(&mut self, id: &BackendId, now: Millis) {
        if let Some(backend) = self.backends.get_mut(id) {
            // A running process does not refuse connections, so a single failure is
            // enough evidence.
            backend.breaker.unresponsive(now);
            self.evidence_of(id).unreachable += 1;
        }
    }

    /// Records that a prompt was prefilled.
    pub fn prefilled(&mut self, id: &BackendId, engine_priority: u8, uncached: u64) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.load.prefilled(engine_priority, uncached);
        }
    }

    /// Records that an engine holds a prompt in its cache, by prefill or KV transfer.
    pub fn note_cached(&mut self, id: &BackendId, prompt: &Prompt, now: Millis) {
        let Some(residency) = self.cache_of(id) else {
            return;
        };
        let updates = residency.note_prefilled(prompt, now);
        let room = MAX_PENDING_COPIES.saturating_sub(self.pending_copies.len());
        let copy = |prefix| PromptCopy {
            prefix,
            backend: id.clone(),
        };
        self.pending_copies
            .extend(updates.into_iter().take(room).map(copy));
    }

    /// Records that a request ended at a back end, whatever its outcome.
    pub fn ended(&mut self, id: &BackendId, engine_priority: u8, prompt: Option<&Prompt>) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.load.ended(engine_priority, prompt);
        }
    }

    /// Records a load report.
    pub fn note_load_report(&mut self, id: &BackendId, report: LoadReport, now: Millis) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.load.note_report(report, now);
        }
    }

    /// Records a complete answer.
    pub fn succeeded(&mut self, id: &BackendId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.breaker.succeeded();
            self.evidence_of(id).answered += 1;
        }
    }

    /// Records a request that ended without a verdict on the back end.
    pub fn released(&mut self, id: &BackendId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.breaker.released();
        }
    }

    /// Records a failure to connect, or a broken or failed answer.
    pub fn failed(&mut self, id: &BackendId, now: Millis) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.breaker.failed(now);
            self.evidence_of(id).failed += 1;
        }
    }

    /// Records that a back end reported that it leaves, or that another one listens at
    /// its address.
    pub fn gone(&mut self, id: &BackendId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.gone = true;
        }
    }
}
