//! Handles the outcomes of attempts at engines.

use garnet_types::{BackendId, OutcomeCode, Refusal, RequestId};

use crate::backends::ENGINE_SILENCE_TIMEOUT;
use crate::call::{Answer, CompletedText, Work};
use crate::effects::{AttemptEvent, AttemptId, Effect, KvSource};
use crate::gateway::Gateway;
use crate::openai;
use crate::request::{Request, Stage};

use super::NO_ENGINE_RETRY_AFTER;

impl Gateway {
    pub(crate) fn completion_event(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        backend: &BackendId,
        event: AttemptEvent,
    ) {
        match event {
            AttemptEvent::Prefilled { handle } => self.on_prefilled(id, attempt, backend, handle),
            AttemptEvent::Tokens { first, tokens } => {
                self.on_tokens(id, attempt, backend, first, tokens);
            }
            AttemptEvent::Finished { total } => self.on_finished(id, attempt, backend, total),
            AttemptEvent::NotStarted { draining } => {
                self.end_not_started(id, attempt, backend, draining);
                self.retry_elsewhere(id);
            }
            AttemptEvent::CacheGone => self.on_cache_gone(id, attempt, backend),
            AttemptEvent::Broken => {
                self.record_crash(id, backend);
                self.on_broken(id, attempt, backend);
            }
            AttemptEvent::AnswerGivenUp => self.on_broken(id, attempt, backend),
            // Handled in `handle_attempt`, or sent only by applications.
            AttemptEvent::Limit(_)
            | AttemptEvent::Backoff(_)
            | AttemptEvent::Draining
            | AttemptEvent::Response(_)
            | AttemptEvent::UnmarkedResponse(_) => {}
        }
    }

    pub(super) fn on_prefilled(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        backend: &BackendId,
        handle: u64,
    ) {
        self.attempts.remove(&attempt);
        self.backends.succeeded(backend, attempt);
        let kv = KvSource {
            address: self.address_of(backend),
            handle,
            build: self.backends.build_of(backend).cloned(),
        };
        if self.refuse_if_quarantined(id) {
            return;
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_prefilled = true;
            request.kv_cache = Some(kv.clone());
        }
        // The decode engine is chosen after the prefill, by the load at that time.
        match self.choose_decode(id) {
            Some(decode) => self.dispatch_decode(id, &decode, kv),
            None if self.await_permit(id, Some(kv)) => {}
            None => self.retry_elsewhere(id),
        }
    }

    /// Repeats the prefill. The decode engine is not at fault and may be chosen again.
    fn on_cache_gone(&mut self, id: RequestId, attempt: AttemptId, backend: &BackendId) {
        self.attempts.remove(&attempt);
        self.backends.released(backend, attempt);
        if let Some(request) = self.requests.get_mut(&id) {
            request.record_not_started();
            request.kv_cache = None;
        }
        self.retry_elsewhere(id);
    }

    /// Appends tokens in order. Repeated tokens are dropped; a gap fails the attempt, so that an
    /// answer with missing tokens never looks complete.
    pub(super) fn on_tokens(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        backend: &BackendId,
        first: u64,
        tokens: Vec<String>,
    ) {
        self.backends
            .view_mut(backend)
            .estimate
            .prompt_prefilled(&attempt);
        self.backends.accepted(backend, attempt);
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.kv_cache = None;
        let delivered = request.delivered.len() as u64;
        if first > delivered {
            self.on_broken(id, attempt, backend);
            return;
        }
        request.bind_build(self.backends.build_of(backend));
        let repeated = (delivered - first) as usize;
        let new_tokens: Vec<String> = tokens.into_iter().skip(repeated).collect();
        if new_tokens.is_empty() {
            return;
        }
        request.delivered.extend(new_tokens.iter().cloned());
        request.progress_at = now;
        let is_streamed = matches!(request.call.work, Work::Completion { stream: true, .. });
        if is_streamed && !request.answered {
            self.emit(Effect::Tokens {
                request: id,
                first: delivered,
                tokens: new_tokens,
            });
        }
    }

    pub(super) fn on_finished(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        backend: &BackendId,
        total: u64,
    ) {
        let delivered = self.requests[&id].delivered.len() as u64;
        if delivered != total {
            self.on_broken(id, attempt, backend);
            return;
        }
        self.attempts.remove(&attempt);
        self.backends.succeeded(backend, attempt);
        self.record_completed_run(id);
        self.set_stage(id, Stage::Waiting);
        let request = &self.requests[&id];
        let text = CompletedText {
            tokens: request.delivered.clone(),
            prompt_tokens: request.prompt_tokens,
            served_by: backend.to_string(),
            resumed: request.resumed,
        };
        let response = openai::completion_response(&request.call, &text);
        self.record_result(id, &response);
        self.finish(id, Answer::Text(text));
        self.serve_waiting();
    }

    pub(super) fn on_broken(&mut self, id: RequestId, attempt: AttemptId, backend: &BackendId) {
        self.attempts.remove(&attempt);
        self.backends.failed(backend, attempt, self.now);
        self.emit(Effect::Cancel(attempt));
        self.record_failed_backend(id, backend);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        // A prefill has no side effects, so it may always be repeated.
        if !request.is_prefilling() && !request.is_repeatable() {
            request.stage = Stage::Waiting;
            let message = "an engine may have run the request";
            let refusal = Refusal::in_doubt(NO_ENGINE_RETRY_AFTER, message);
            self.finish(id, Answer::Refused(refusal));
            return;
        }
        request.kv_cache = None;
        if !request.delivered.is_empty() {
            // The engine may have reported its build after it began the text.
            request.bind_build(self.backends.build_of(backend));
            request.resumed += 1;
            self.counters.resumed += 1;
        }
        if self.is_suspected(id) {
            self.set_stage(id, Stage::Waiting);
            let message = "engines crashed while running this request";
            let refusal = Refusal::not_run(OutcomeCode::NotRun, NO_ENGINE_RETRY_AFTER, message);
            self.end_without_answer(id, refusal);
            return;
        }
        self.retry_elsewhere(id);
    }

    /// Aborts attempts whose engine sends neither tokens nor load reports: a frozen engine
    /// answers nothing and closes no connection. If no other engine may resume the request, the
    /// attempt continues, since the engine may only be slow and aborting would end the request.
    pub(crate) fn abort_stalled(&mut self) {
        let now = self.now;
        let stalled: Vec<(RequestId, AttemptId, BackendId)> = self
            .requests
            .iter()
            .filter(|(_, request)| now.since(request.progress_at) >= ENGINE_SILENCE_TIMEOUT)
            .filter(|(_, request)| request.model().is_some())
            .filter(|(_, request)| self.may_retry_elsewhere(request))
            .filter_map(|(id, request)| {
                let attempt = request.attempt()?;
                let (_, backend) = self.attempts.get(&attempt)?;
                Some((*id, attempt, backend.clone()))
            })
            .filter(|(_, _, backend)| self.backends.is_silent(backend, now))
            .collect();
        for (id, attempt, backend) in stalled {
            self.on_broken(id, attempt, &backend);
        }
    }

    /// Whether the current phase of a request may be retried at another engine: it is
    /// repeatable, and the retry budget isn't exhausted.
    fn may_retry_elsewhere(&self, request: &Request) -> bool {
        let may_repeat = request.is_prefilling() || request.is_repeatable();
        may_repeat && self.has_retry_left(&request.service)
    }

    /// Retries at another engine if the retry budget allows it.
    pub(crate) fn retry_elsewhere(&mut self, id: RequestId) {
        self.set_stage(id, Stage::Waiting);
        if self.refuse_if_quarantined(id) {
            return;
        }
        let service = self.requests[&id].service.clone();
        if self.spend_retry(&service) {
            self.route_completion(id);
            return;
        }
        let message = "engines fail and the retry budget is used up";
        let refusal = Refusal::not_run(OutcomeCode::NotRun, NO_ENGINE_RETRY_AFTER, message);
        self.end_without_answer(id, refusal);
    }
}
