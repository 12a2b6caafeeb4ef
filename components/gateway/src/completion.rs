//! Text generation: choice of engines, streams, and resumption.

use garnet_routing::{
    Admission, Candidate, OwnWork, Waiting, WorkShape, admit, choose, predict_first_token,
};
use garnet_types::{BackendId, Class, Millis, OutcomeCode, Refusal, RequestId};

use crate::backends::{Eligible, SILENT_ENGINE};
use crate::call::{Answer, CompletedText, Work};
use crate::effects::{AttemptEvent, AttemptId, Effect, Job, KvSource};
use crate::gateway::Gateway;
use crate::openai;
use crate::request::{Request, Stage};

/// Told when no engine of the pool can be reached.
const NO_ENGINE_RETRY_AFTER: Millis = Millis::from_secs(2);
/// Requests looked at in one pass over the queue.
const WAITING_PASS: usize = 64;

/// Where a request goes.
#[derive(Debug, Clone)]
pub(crate) enum Placement {
    /// One engine does both phases.
    Single(BackendId),
    /// One engine reads the prompt for another, which is chosen afterwards.
    PrefillFirst(BackendId),
}

/// A placement with its predicted time to the first token.
#[derive(Debug, Clone)]
struct Predicted {
    placement: Placement,
    first_token: Millis,
}

impl Gateway {
    pub(crate) fn route_completion(&mut self, id: RequestId) {
        let Some(predicted) = self.place(id) else {
            self.no_engine(id);
            return;
        };
        let request = &self.requests[&id];
        let remaining = request.deadline.since(self.now);
        let generation = self.generation_time(request);
        let decision = admit(
            predicted.first_token,
            generation,
            remaining,
            &request.verdict,
            &self.settings.admission,
        );
        // A text that has begun is not refused for the first token's sake.
        let has_begun = !request.delivered.is_empty();
        match decision {
            Admission::Admit => self.dispatch_completion(id, &predicted.placement),
            _ if has_begun => self.dispatch_completion(id, &predicted.placement),
            Admission::Wait => self.enqueue(id),
            Admission::Refuse { retry_after } => {
                let message = "the deadline can't be met at the present load";
                self.refuse(
                    id,
                    Refusal::not_run(OutcomeCode::Overloaded, retry_after, message),
                );
            }
        }
    }

    /// No engine takes work: waits where it may, else ends at once.
    fn no_engine(&mut self, id: RequestId) {
        let request = &self.requests[&id];
        let has_begun = !request.delivered.is_empty();
        if request.verdict.may_wait || has_begun {
            if let Some(request) = self.requests.get_mut(&id) {
                request.tried.clear();
            }
            self.enqueue(id);
            return;
        }
        let message = "no engine of the pool takes work";
        let refusal = Refusal::not_run(OutcomeCode::NotRun, NO_ENGINE_RETRY_AFTER, message);
        self.end_without_answer(id, refusal);
    }

    /// Ends a request: as not run where that is provable.
    fn end_without_answer(&mut self, id: RequestId, when_not_run: Refusal) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !request.may_have_run {
            self.refuse(id, when_not_run);
            return;
        }
        let refusal = if request.is_repeatable() {
            Refusal::failed("the text was broken off and no engine could take it over")
        } else {
            Refusal::in_doubt(NO_ENGINE_RETRY_AFTER, "an engine may have run the request")
        };
        self.finish(id, Answer::Refused(refusal));
    }

    /// Time that the missing tokens take once the first one is there.
    fn generation_time(&self, request: &Request) -> Millis {
        let Some(model) = request.model() else {
            return Millis::ZERO;
        };
        let engines = self.backends.engines(
            &self.watched.configuration,
            &request.service,
            model,
            &[],
            self.now,
        );
        let step = engines
            .iter()
            .filter(|engine| engine.role.generates())
            .filter_map(|engine| self.backends.known(engine.id))
            .map(|belief| belief.estimate.snapshot(self.now).capacity.decode_step_ms)
            .fold(0.0, f64::max);
        Millis((request.missing_tokens() as f64 * step) as u64)
    }

    // ---- Choice ----

    fn place(&mut self, id: RequestId) -> Option<Predicted> {
        let request = self.requests.get(&id)?;
        let engines = self.backends.engines(
            &self.watched.configuration,
            &request.service,
            request.model()?,
            &request.tried,
            self.now,
        );
        let mut single = Vec::new();
        let mut prefill = Vec::new();
        let mut decode = Vec::new();
        for engine in &engines {
            if engine.role.reads_prompts() && engine.role.generates() {
                single.push(self.candidate(request, engine, Phase::Both));
            }
            if engine.role.reads_prompts() {
                prefill.push(self.candidate(request, engine, Phase::Prefill));
            }
            if engine.role.generates() {
                decode.push(self.candidate(request, engine, Phase::Decode));
            }
        }
        let single = choose(&single, &mut self.random);
        let prefill = choose(&prefill, &mut self.random);
        let decode = choose(&decode, &mut self.random);
        best_placement(single, prefill, decode)
    }

    fn candidate(&self, request: &Request, engine: &Eligible<'_>, phase: Phase) -> Candidate {
        let shape = self.shape(request, engine.id, phase);
        let predicted = match self.backends.known(engine.id) {
            Some(belief) => predict_first_token(&belief.estimate.snapshot(self.now), &shape),
            None => Millis::ZERO,
        };
        Candidate {
            backend: engine.id.clone(),
            predicted,
        }
    }

    fn shape(&self, request: &Request, engine: &BackendId, phase: Phase) -> WorkShape {
        let prompt_tokens = request.prompt_tokens + request.delivered.len() as u64;
        let cached_tokens = self
            .backends
            .prefixes
            .cached_tokens(engine, &request.prompt_blocks);
        let output_tokens = request.missing_tokens();
        match phase {
            Phase::Both => WorkShape {
                prompt_tokens,
                cached_tokens,
                transferred_tokens: 0,
                output_tokens,
            },
            Phase::Prefill => WorkShape {
                prompt_tokens,
                cached_tokens,
                transferred_tokens: 0,
                output_tokens: 0,
            },
            Phase::Decode => WorkShape {
                prompt_tokens,
                cached_tokens: 0,
                transferred_tokens: prompt_tokens,
                output_tokens,
            },
        }
    }

    // ---- Dispatch ----

    fn dispatch_completion(&mut self, id: RequestId, placement: &Placement) {
        let request = &self.requests[&id];
        if request.tried.is_empty() && request.resumed == 0 {
            let service = request.service.clone();
            self.earn_retry(&service);
        }
        match placement {
            Placement::Single(backend) => self.dispatch_generate(id, backend, None),
            Placement::PrefillFirst(backend) => self.dispatch_prefill(id, backend),
        }
    }

    fn dispatch_prefill(&mut self, id: RequestId, backend: &BackendId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Work::Completion { model, prompt, .. } = &request.call.work else {
            return;
        };
        let job = Job::Prefill {
            model: model.clone(),
            prompt: prompt_so_far(prompt, &request.delivered),
            class: engine_class(request.verdict.class),
        };
        let attempt = self.start_attempt(id, backend, job, Phase::Prefill);
        self.set_stage(id, Stage::Prefilling { attempt });
    }

    fn dispatch_generate(&mut self, id: RequestId, backend: &BackendId, kv: Option<KvSource>) {
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
        };
        let attempt = self.start_attempt(id, backend, job, phase);
        self.set_stage(id, Stage::Generating { attempt });
    }

    fn start_attempt(
        &mut self,
        id: RequestId,
        backend: &BackendId,
        job: Job,
        phase: Phase,
    ) -> AttemptId {
        let attempt = self.new_attempt(id, backend);
        let shape = self.shape(&self.requests[&id], backend, phase);
        let unread = shape
            .prompt_tokens
            .saturating_sub(shape.cached_tokens + shape.transferred_tokens);
        let work = OwnWork {
            prompt_tokens: unread,
            decodes: phase != Phase::Prefill,
            sent_at: self.now,
            prompt_read: phase == Phase::Decode,
        };
        self.backends.sent(backend, attempt, work);
        let now = self.now;
        if let Some(request) = self.requests.get_mut(&id) {
            request.note_dispatch(now);
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

    fn address_of(&self, backend: &BackendId) -> String {
        self.watched
            .configuration
            .backends
            .get(backend)
            .map(|record| record.registration.address.clone())
            .unwrap_or_default()
    }

    fn set_stage(&mut self, id: RequestId, stage: Stage) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage = stage;
        }
    }

    // ---- What engines answer ----

    pub(crate) fn completion_event(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        backend: &BackendId,
        event: AttemptEvent,
    ) {
        match event {
            AttemptEvent::Prefilled { handle } => self.prefilled(id, attempt, backend, handle),
            AttemptEvent::Tokens { first, tokens } => {
                self.tokens(id, attempt, backend, first, tokens);
            }
            AttemptEvent::Finished { total } => self.finished(id, attempt, backend, total),
            AttemptEvent::NotStarted { draining } => {
                self.end_unstarted(id, attempt, backend, draining);
                self.try_elsewhere(id);
            }
            AttemptEvent::Broken => self.broken(id, attempt, backend),
            // Applications' answers make no sense here.
            AttemptEvent::Response(_) => {}
        }
    }

    fn prefilled(&mut self, id: RequestId, attempt: AttemptId, backend: &BackendId, handle: u64) {
        self.attempts.remove(&attempt);
        self.backends.succeeded(backend, attempt);
        let kv = KvSource {
            address: self.address_of(backend),
            handle,
        };
        // The decode engine is chosen now, with what is known now.
        match self.choose_decode(id) {
            Some(decode) => self.dispatch_generate(id, &decode, Some(kv)),
            None => self.try_elsewhere(id),
        }
    }

    fn choose_decode(&mut self, id: RequestId) -> Option<BackendId> {
        let request = self.requests.get(&id)?;
        let engines = self.backends.engines(
            &self.watched.configuration,
            &request.service,
            request.model()?,
            &request.tried,
            self.now,
        );
        let candidates: Vec<Candidate> = engines
            .iter()
            .filter(|engine| engine.role.generates())
            .map(|engine| self.candidate(request, engine, Phase::Decode))
            .collect();
        choose(&candidates, &mut self.random).map(|chosen| chosen.backend)
    }

    /// Takes tokens in order: a repeated one is dropped, a gap breaks the
    /// attempt, so an answer with a hole never looks whole.
    fn tokens(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        backend: &BackendId,
        first: u64,
        tokens: Vec<String>,
    ) {
        self.backends.belief(backend).estimate.prompt_read(&attempt);
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let delivered = request.delivered.len() as u64;
        if first > delivered {
            self.broken(id, attempt, backend);
            return;
        }
        let repeated = (delivered - first) as usize;
        let new: Vec<String> = tokens.into_iter().skip(repeated).collect();
        if new.is_empty() {
            return;
        }
        request.delivered.extend(new.iter().cloned());
        request.progress_at = now;
        let streams = matches!(request.call.work, Work::Completion { stream: true, .. });
        if streams && !request.answered {
            self.emit(Effect::Tokens {
                request: id,
                first: delivered,
                tokens: new,
            });
        }
    }

    fn finished(&mut self, id: RequestId, attempt: AttemptId, backend: &BackendId, total: u64) {
        let delivered = self.requests[&id].delivered.len() as u64;
        if delivered != total {
            self.broken(id, attempt, backend);
            return;
        }
        self.attempts.remove(&attempt);
        self.backends.succeeded(backend, attempt);
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

    fn broken(&mut self, id: RequestId, attempt: AttemptId, backend: &BackendId) {
        self.attempts.remove(&attempt);
        self.backends.failed(backend, attempt, self.now);
        self.emit(Effect::Cancel(attempt));
        self.note_tried(id, backend);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let was_prefill = matches!(request.stage, Stage::Prefilling { .. });
        // Reading a prompt alone has no effect, so it may always be repeated.
        if !was_prefill && !request.is_repeatable() {
            request.stage = Stage::Waiting;
            let message = "an engine may have run the request";
            let refusal = Refusal::in_doubt(NO_ENGINE_RETRY_AFTER, message);
            self.finish(id, Answer::Refused(refusal));
            return;
        }
        if !request.delivered.is_empty() {
            request.resumed += 1;
            self.counters.resumed += 1;
        }
        self.try_elsewhere(id);
    }

    /// Breaks attempts off whose engine neither gives tokens nor reports: a
    /// frozen engine answers nothing and closes nothing.
    pub(crate) fn break_stalled(&mut self) {
        let now = self.now;
        let stalled: Vec<(RequestId, AttemptId, BackendId)> = self
            .requests
            .iter()
            .filter(|(_, request)| now.since(request.progress_at) >= SILENT_ENGINE)
            .filter(|(_, request)| request.model().is_some())
            .filter_map(|(id, request)| {
                let attempt = request.attempt()?;
                let (_, backend) = self.attempts.get(&attempt)?;
                Some((*id, attempt, backend.clone()))
            })
            .filter(|(_, _, backend)| self.backends.is_silent(backend, now))
            .collect();
        for (id, attempt, backend) in stalled {
            self.broken(id, attempt, &backend);
        }
    }

    /// Goes on at another engine, under the retry budget.
    fn try_elsewhere(&mut self, id: RequestId) {
        self.set_stage(id, Stage::Waiting);
        let service = self.requests[&id].service.clone();
        if self.spend_retry(&service) {
            self.route_completion(id);
            return;
        }
        let message = "engines fail and the retry budget is used up";
        let refusal = Refusal::not_run(OutcomeCode::NotRun, NO_ENGINE_RETRY_AFTER, message);
        self.end_without_answer(id, refusal);
    }

    // ---- Waiting ----

    fn enqueue(&mut self, id: RequestId) {
        let generation = self.generation_time(&self.requests[&id]);
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.stage = Stage::Waiting;
        let waiting = Waiting {
            item: id,
            class: engine_class(request.verdict.class),
            since: now,
            latest_start: request.deadline - generation,
        };
        if self.waiting.push(waiting).is_err() {
            let retry_after = self.settings.admission.longest_retry_after;
            let message = "too many requests wait";
            let refusal = Refusal::not_run(OutcomeCode::Overloaded, retry_after, message);
            self.end_without_answer(id, refusal);
        }
    }

    /// Sends waiting requests while there is room. One that can't be on time
    /// any more is answered now, not when its deadline passes.
    pub(crate) fn serve_waiting(&mut self) {
        for expired in self.waiting.take_expired(self.now) {
            let message = "no room came in time";
            let retry_after = NO_ENGINE_RETRY_AFTER;
            let refusal = Refusal::not_run(OutcomeCode::Overloaded, retry_after, message);
            self.end_without_answer(expired.item, refusal);
        }
        let target = self.settings.admission.first_token_target;
        for _ in 0..WAITING_PASS {
            let Some(waiting) = self.waiting.pop(self.now) else {
                return;
            };
            match self.place(waiting.item) {
                Some(predicted) if predicted.first_token <= target => {
                    self.dispatch_completion(waiting.item, &predicted.placement);
                }
                _ => {
                    self.waiting.put_back(waiting);
                    return;
                }
            }
        }
    }
}

/// Part of the work that a candidate would take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Both,
    Prefill,
    Decode,
}

/// Priority at the engine. What was admitted was promised a time that counts
/// with the work before it: if urgent work overtook it there, the promise
/// would be broken, and its slot used for nothing. So urgency counts when work
/// is admitted, and at the engine only work that may wait yields.
fn engine_class(class: Class) -> Class {
    match class {
        Class::Urgent | Class::Interactive => Class::Urgent,
        Class::Deferrable => Class::Deferrable,
    }
}

fn best_placement(
    single: Option<Candidate>,
    prefill: Option<Candidate>,
    decode: Option<Candidate>,
) -> Option<Predicted> {
    let single = single.map(|one| Predicted {
        placement: Placement::Single(one.backend),
        first_token: one.predicted,
    });
    let pair = prefill.zip(decode).and_then(|(prefill, decode)| {
        (prefill.backend != decode.backend).then(|| Predicted {
            first_token: prefill.predicted + decode.predicted,
            placement: Placement::PrefillFirst(prefill.backend),
        })
    });
    match (single, pair) {
        (Some(single), Some(pair)) if pair.first_token < single.first_token => Some(pair),
        (Some(single), _) => Some(single),
        (None, pair) => pair,
    }
}

/// The prompt with the tokens that were generated so far.
fn prompt_so_far(prompt: &str, delivered: &[String]) -> String {
    if delivered.is_empty() {
        return prompt.to_owned();
    }
    format!("{prompt} {}", delivered.concat())
}
