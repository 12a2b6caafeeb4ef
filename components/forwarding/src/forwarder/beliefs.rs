//! What attempts and other gateways show of back ends.

use garnet_control::PromptCopy;
use garnet_types::{BackendId, Millis, ServiceId};

use crate::backends::LoadReport;
use crate::work::Prompt;

use super::Forwarder;

/// Copies that wait to be told at most; what is left out is told of when it is
/// used again.
const MOST_NEWS: usize = 64;

/// Prompt tokens that an engine has to prefill for a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PrefillWork {
    /// Of the request's own prompt.
    pub uncached: u64,
    /// Of others, which were there before.
    pub queued: u64,
    /// Of these, what the leader told of other gateways.
    pub queued_by_others: u64,
    /// Age of the leader's word then.
    pub heard_ago: Millis,
}

impl Forwarder {
    // ---- Own attempts ----

    /// Fills in how much will probably come out, as the callers of the service
    /// make it likely.
    pub fn fill_in_likely_output(&mut self, service: &ServiceId, prompt: &mut Prompt) {
        let learned = self.learned.entry(service.clone()).or_default();
        learned.output_length.complete(prompt);
    }

    /// Notes a prompt that comes for the first time.
    pub fn note_arrival(&mut self, service: &ServiceId, prompt: &Prompt, now: Millis) {
        let learned = self.learned.entry(service.clone()).or_default();
        learned.prompt_rate.note(prompt.tokens, now);
    }

    /// Notes a request of a rank that is sent to a back end, which copies what
    /// it lacks from `source`. Returns what it has yet to prefill for it.
    pub fn sent(
        &mut self,
        id: &BackendId,
        prompt: Option<&Prompt>,
        source: Option<&BackendId>,
        rank: u8,
        now: Millis,
    ) -> PrefillWork {
        let uncached = prompt.map_or(0, |prompt| self.uncached_tokens(id, prompt, source, now));
        let queued = self.queued_tokens(id, rank, now);
        let Some(backend) = self.backends.get_mut(id) else {
            return PrefillWork::default();
        };
        let queued_by_others = backend.load.others_ahead_of(rank, now);
        let heard_ago = backend.load.heard_ago(now);
        backend.breaker.sent();
        self.limits.sent(id, now);
        self.with_own_work.insert(id.clone());
        let Some(prompt) = prompt else {
            backend.load.sent(rank, 0, None);
            return PrefillWork::default();
        };
        backend.load.sent(rank, uncached, Some(prompt));
        if let Some(residency) = self.cache_of(id) {
            residency.note_sent(prompt, now);
        }
        PrefillWork {
            uncached,
            queued,
            queued_by_others,
            heard_ago,
        }
    }

    /// Prompt tokens that a back end would have to read, with what it copies
    /// from `source`.
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

    /// Notes a request that goes on from a KV cache at a back end.
    pub fn handed_over(&mut self, id: &BackendId, prompt: &Prompt, rank: u8, now: Millis) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.breaker.sent();
            backend.load.sent(rank, 0, Some(prompt));
            self.limits.sent(id, now);
            self.with_own_work.insert(id.clone());
        }
        if let Some(residency) = self.cache_of(id) {
            residency.note_sent(prompt, now);
        }
    }

    /// Notes that a back end was silent for too long.
    pub fn silent(&mut self, id: &BackendId, now: Millis) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.breaker.unresponsive(now);
            self.evidence_of(id).failed += 1;
        }
    }

    /// Notes that nothing listens at a back end's address.
    pub fn unreachable(&mut self, id: &BackendId, now: Millis) {
        if let Some(backend) = self.backends.get_mut(id) {
            // Nothing that runs refuses a connection: no second one is needed
            // to believe it.
            backend.breaker.unresponsive(now);
            self.evidence_of(id).unreachable += 1;
        }
    }

    /// Notes that a prompt was prefilled.
    pub fn read(&mut self, id: &BackendId, rank: u8, uncached: u64) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.load.read(rank, uncached);
        }
    }

    /// Notes that an engine holds a prompt: it has read it, or took it over.
    pub fn holds(&mut self, id: &BackendId, prompt: &Prompt, now: Millis) {
        let Some(residency) = self.cache_of(id) else {
            return;
        };
        let news = residency.note_read(prompt, now);
        let room = MOST_NEWS.saturating_sub(self.news.len());
        let copy = |prefix| PromptCopy {
            prefix,
            backend: id.clone(),
        };
        self.news.extend(news.into_iter().take(room).map(copy));
    }

    /// Notes that a request is over at a back end, whatever its outcome.
    pub fn ended(&mut self, id: &BackendId, rank: u8, prompt: Option<&Prompt>) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.load.ended(rank, prompt);
        }
    }

    /// Takes a load report.
    pub fn note_load_report(&mut self, id: &BackendId, report: LoadReport, now: Millis) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.load.note_report(report, now);
        }
    }

    /// Notes a whole answer.
    pub fn succeeded(&mut self, id: &BackendId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.breaker.succeeded();
            self.evidence_of(id).answered += 1;
        }
    }

    /// Notes a request that ended without a verdict on the back end.
    pub fn released(&mut self, id: &BackendId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.breaker.released();
        }
    }

    /// Notes a failure to connect, or a broken or failed answer.
    pub fn failed(&mut self, id: &BackendId, now: Millis) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.breaker.failed(now);
            self.evidence_of(id).failed += 1;
        }
    }

    /// Notes that a back end said it leaves, or that another one stands at its
    /// address.
    pub fn gone(&mut self, id: &BackendId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.gone = true;
        }
    }
}
