//! Starts attempts at engines.

use garnet_routing::InFlightWork;
use garnet_types::{BackendId, RequestId};

use crate::call::Work;
use crate::effects::{AttemptId, Effect, Job, KvSource};
use crate::gateway::Gateway;
use crate::request::Stage;

use super::engine_class;
use super::placement::{Phase, Placement};

impl Gateway {
    pub(super) fn dispatch_completion(&mut self, id: RequestId, placement: &Placement) {
        let request = &self.requests[&id];
        if request.failed_backends.is_empty() && request.resumed == 0 {
            let service = request.service.clone();
            self.earn_retry(&service);
        }
        match placement {
            Placement::Single(backend) => self.dispatch_generate(id, backend, None),
            Placement::PrefillFirst(backend) => {
                if !self.dispatch_with_cache(id) {
                    self.dispatch_prefill(id, backend);
                }
            }
        }
    }

    /// Dispatches a prefilled request to a decode engine. Returns `false` if the request has no
    /// KV cache or no decode engine is available.
    fn dispatch_with_cache(&mut self, id: RequestId) -> bool {
        let cache = self
            .requests
            .get(&id)
            .and_then(|pending| pending.kv_cache.clone());
        let Some(cache) = cache else {
            return false;
        };
        let Some(decode) = self.choose_decode(id) else {
            return false;
        };
        self.dispatch_generate(id, &decode, Some(cache));
        true
    }

    pub(super) fn dispatch_prefill(&mut self, id: RequestId, backend: &BackendId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Work::Completion { model, prompt, .. } = &request.call.work else {
            return;
        };
        let job = Job::Prefill {
            model: model.clone(),
            prompt: prompt_with_delivered_tokens(prompt, &request.delivered),
            class: engine_class(request.verdict.class),
            build: self.backends.build_of(backend).cloned(),
        };
        let attempt = self.start_attempt(id, backend, job, Phase::Prefill);
        self.set_stage(id, Stage::Prefilling { attempt });
    }

    /// Sends a prefilled prompt to a decode engine, unless its text would outlast a planned stop.
    pub(crate) fn dispatch_decode(&mut self, id: RequestId, backend: &BackendId, kv: KvSource) {
        let request = self.requests.get(&id);
        let generation = request.map(|request| self.generation_time(request));
        if !self.refuse_if_outlasting(id, generation) {
            self.dispatch_generate(id, backend, Some(kv));
        }
    }

    pub(crate) fn dispatch_generate(
        &mut self,
        id: RequestId,
        backend: &BackendId,
        kv: Option<KvSource>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Work::Completion {
            model,
            prompt,
            max_tokens,
            ..
        } = &request.call.work
        else {
            return;
        };
        let phase = if kv.is_some() {
            Phase::Decode
        } else {
            Phase::Both
        };
        let job = Job::Generate {
            model: model.clone(),
            prompt: prompt.clone(),
            max_tokens: *max_tokens,
            from_token: request.delivered.len() as u64,
            kv,
            class: engine_class(request.verdict.class),
            build: self.backends.build_of(backend).cloned(),
        };
        let attempt = self.start_attempt(id, backend, job, phase);
        self.set_stage(id, Stage::Generating { attempt });
    }

    pub(super) fn start_attempt(
        &mut self,
        id: RequestId,
        backend: &BackendId,
        job: Job,
        phase: Phase,
    ) -> AttemptId {
        let attempt = self.new_attempt(id, backend);
        let shape = self.shape(&self.requests[&id], backend, phase);
        let uncached_tokens = shape
            .prompt_tokens
            .saturating_sub(shape.cached_tokens + shape.transferred_tokens);
        let work = InFlightWork {
            prompt_tokens: uncached_tokens,
            decodes: phase != Phase::Prefill,
            sent_at: self.now,
            prefilled: phase == Phase::Decode,
        };
        self.backends.sent(backend, attempt, work);
        let now = self.now;
        if let Some(request) = self.requests.get_mut(&id) {
            match phase {
                Phase::Prefill => request.record_prefill_dispatch(now),
                Phase::Both | Phase::Decode => request.record_dispatch(now),
            }
        }
        let address = self.address_of(backend);
        let remaining = self.requests[&id].deadline.since(self.now);
        self.emit(Effect::Dispatch {
            attempt,
            request: id,
            backend: backend.clone(),
            address,
            job,
            remaining,
        });
        attempt
    }

    pub(super) fn address_of(&self, backend: &BackendId) -> String {
        self.watched
            .configuration
            .backends
            .get(backend)
            .map(|record| record.registration.address.clone())
            .unwrap_or_default()
    }

    pub(crate) fn set_stage(&mut self, id: RequestId, stage: Stage) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage = stage;
        }
    }
}

/// The prompt followed by the tokens delivered so far.
fn prompt_with_delivered_tokens(prompt: &str, delivered: &[String]) -> String {
    if delivered.is_empty() {
        return prompt.to_owned();
    }
    format!("{prompt} {}", delivered.concat())
}
