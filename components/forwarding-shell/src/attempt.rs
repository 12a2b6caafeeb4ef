//! One attempt at one back end.

use std::rc::Rc;
use std::time::Duration;

use garnet_forwarding::{AttemptEnd, NotRunReason, PrefillWork, Probe, Prompt};
use garnet_quarantine::part_list;
use garnet_runtime::client::HttpError;
use garnet_runtime::{Exchange, SendConditions};
use garnet_types::{BackendId, Framing, Millis};
use hyper::StatusCode;

use crate::answer_head::AnswerHead;
use crate::backend_reports::note_reports;
use crate::gateway::Gateway;
use crate::ports::{BackendPort, Call, CallerPort, HeadMeaning, Job, JobPhase, ParsedHead};

/// An engine that has written for this long after its first event does not crash on the prompt:
/// one that does so crashes when it begins to write.
const MIN_SOUND_WRITING_TIME: Millis = Millis(100);

/// Counts an attempt as in flight until dropped.
pub(crate) struct AttemptGuard<C: CallerPort, B: BackendPort> {
    gateway: Rc<Gateway<C, B>>,
    backend: BackendId,
    prompt: Option<Prompt>,
    engine_priority: u8,
    prefill_work: PrefillWork,
    /// When the request took its decode slot, if the engine decodes it.
    decode_since: Option<Millis>,
    /// Whether the forwarder knows that the prompt is prefilled.
    is_prefilled: bool,
    /// When the first of the answer arrived.
    began_at: Option<Millis>,
    /// Whether the forwarder knows that the engine writes on the prompt without crashing.
    is_prompt_sound: bool,
    outcome_recorded: bool,
    /// The probe, while the attempt probes a back end that recovers from a backoff.
    probe: Option<Probe>,
}

impl<C: CallerPort, B: BackendPort> AttemptGuard<C, B> {
    fn begin(gateway: &Rc<Gateway<C, B>>, call: &Call, job: &Job) -> Self {
        let now = gateway.now();
        let mut forwarder = gateway.forwarder.borrow_mut();
        let backend = job.backend.clone();
        let probe = forwarder.begin_probe(&backend, now);
        let prompt = call.facts.prompt.as_ref();
        let prefill_work = match &job.phase {
            JobPhase::Whole => forwarder.sent(&backend, prompt, None, job.priority, now),
            JobPhase::Prefill(source) => {
                let source = source.as_ref().map(|source| &source.backend);
                forwarder.sent(&backend, prompt, source, job.priority, now)
            }
            JobPhase::Decode(_) => {
                if let Some(prompt) = prompt {
                    forwarder.sent_for_decode(&backend, prompt, job.priority, now);
                }
                PrefillWork::default()
            }
        };
        let decodes = prompt.is_some() && !matches!(job.phase, JobPhase::Prefill(_));
        drop(forwarder);
        AttemptGuard {
            gateway: Rc::clone(gateway),
            backend,
            prompt: prompt.cloned(),
            engine_priority: job.priority,
            prefill_work,
            decode_since: decodes.then_some(now),
            is_prefilled: false,
            began_at: None,
            is_prompt_sound: false,
            outcome_recorded: false,
            probe,
        }
    }

    /// Estimate of the prompt tokens that the back end had to prefill.
    pub(crate) fn prefill_work(&self) -> PrefillWork {
        self.prefill_work
    }

    /// Notes that the prompt is prefilled, which the first event shows.
    pub(crate) fn prefill_done(&mut self) {
        if std::mem::replace(&mut self.is_prefilled, true) {
            return;
        }
        let now = self.gateway.now();
        let uncached = std::mem::take(&mut self.prefill_work.uncached);
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        forwarder.prefilled(&self.backend, self.engine_priority, uncached);
        if let Some(prompt) = &self.prompt {
            forwarder.note_cached(&self.backend, prompt, now);
        }
    }

    /// Notes that the back end accepted the request.
    fn accepted(&mut self) {
        if let Some(probe) = self.probe.take() {
            let mut forwarder = self.gateway.forwarder.borrow_mut();
            forwarder.probe_accepted(&self.backend, probe);
        }
    }

    /// Notes that the back end answered properly.
    pub(crate) fn succeeded(&mut self) {
        self.outcome_recorded = true;
        let now = self.gateway.now();
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        forwarder.succeeded(&self.backend);
        if let (Some(since), Some(prompt)) = (self.decode_since, &self.prompt) {
            forwarder.note_slot_time(&self.backend, prompt, now.since(since));
        }
    }

    /// Notes that the back end failed.
    pub(crate) fn failed(&mut self) {
        self.outcome_recorded = true;
        let now = self.gateway.now();
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        forwarder.failed(&self.backend, now);
    }

    /// Notes that the connection ended before the answer did: the back end failed, and
    /// may have crashed.
    pub(crate) fn connection_lost(&mut self, call: &Call) {
        self.failed();
        self.gateway.on_path_failed(&self.backend, true);
        let now = self.gateway.now();
        let fingerprint = call.fingerprint();
        let parts = self.prompt.as_ref().map(Prompt::shared_part_ids);
        log::info!(
            request = call.facts.id.as_str(),
            fingerprint = fingerprint.to_string().as_str(),
            backend = self.backend.as_str(),
            parts = part_list(&parts.unwrap_or_default()).as_str(),
            has_begun = self.is_prefilled;
            "run_broken"
        );
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        forwarder.run_crashed(fingerprint, &self.backend, now);
        let has_written = |began_at| now.since(began_at) >= MIN_SOUND_WRITING_TIME;
        match &self.prompt {
            Some(prompt) if self.began_at.is_some_and(has_written) => {
                forwarder.prompt_is_sound(prompt, &self.backend, now);
            }
            Some(prompt) => {
                forwarder.prompt_run_crashed(fingerprint, prompt, &self.backend, now);
            }
            None => {}
        }
    }

    /// Notes that the run completed, as the framing of the answer shows.
    pub(crate) fn completed(&self, call: &Call) {
        let now = self.gateway.now();
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        if !forwarder.has_no_suspects() {
            forwarder.run_completed(call.fingerprint(), now);
        }
        if let Some(prompt) = &self.prompt {
            forwarder.prompt_is_sound(prompt, &self.backend, now);
        }
    }

    /// Notes that more of the answer has arrived.
    pub(crate) fn received_more(&mut self) {
        self.prefill_done();
        let now = self.gateway.now();
        let began_at = *self.began_at.get_or_insert(now);
        if self.is_prompt_sound || now.since(began_at) < MIN_SOUND_WRITING_TIME {
            return;
        }
        self.is_prompt_sound = true;
        if let Some(prompt) = &self.prompt {
            let mut forwarder = self.gateway.forwarder.borrow_mut();
            forwarder.prompt_is_sound(prompt, &self.backend, now);
        }
    }

    /// Notes that nothing of the request can have reached the back end.
    fn unreachable(&mut self) {
        self.outcome_recorded = true;
        let now = self.gateway.now();
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        forwarder.unreachable(&self.backend, now);
        drop(forwarder);
        self.gateway.on_path_failed(&self.backend, false);
    }

    /// Notes that the back end was silent for too long.
    pub(crate) fn silent(&mut self) {
        self.outcome_recorded = true;
        let now = self.gateway.now();
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        forwarder.silent(&self.backend, now);
    }

    /// Notes that another back end answers at the address.
    fn gone(&mut self) {
        self.outcome_recorded = true;
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        forwarder.gone(&self.backend);
    }
}

impl<C: CallerPort, B: BackendPort> Drop for AttemptGuard<C, B> {
    fn drop(&mut self) {
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        forwarder.prefilled(
            &self.backend,
            self.engine_priority,
            self.prefill_work.uncached,
        );
        forwarder.ended(&self.backend, self.engine_priority, self.prompt.as_ref());
        if !self.outcome_recorded {
            forwarder.released(&self.backend);
        }
        if let Some(probe) = self.probe.take() {
            forwarder.probe_released(&self.backend, probe);
        }
        if !self.gateway.connections.is_empty()
            && let Some(backend) = forwarder.backend(&self.backend)
        {
            let service = &backend.registration.service;
            self.gateway.connections.on_connection_freed(service);
        }
    }
}

/// An answer whose head has arrived.
pub(crate) struct OpenAnswer<C: CallerPort, B: BackendPort> {
    pub(crate) exchange: Exchange,
    pub(crate) guard: AttemptGuard<C, B>,
}

/// Sends the job and reads the head of the answer.
///
/// # Errors
/// How the attempt ended, if there is no answer to this request.
pub(crate) async fn attempt<C: CallerPort + 'static, B: BackendPort + 'static>(
    gateway: &Rc<Gateway<C, B>>,
    call: &Call,
    job: &Job,
) -> Result<OpenAnswer<C, B>, AttemptEnd> {
    let address = {
        let forwarder = gateway.forwarder.borrow();
        let address = forwarder.address(&job.backend);
        address.ok_or(AttemptEnd::Unsent)?.to_owned()
    };
    // Placement has already checked this, and nothing was awaited since.
    if !gateway
        .forwarder
        .borrow()
        .may_send(&job.backend, gateway.now())
    {
        gateway.metrics.withheld(phase_name(job));
        log_failure(call, job, &HttpError::Withheld.to_string());
        return Err(AttemptEnd::Unsent);
    }
    let sent_at = gateway.now();
    let mut guard = AttemptGuard::begin(gateway, call, job);
    let request = gateway.backends.request(call, job);
    // While this connection is opened, which an overloaded back end delays, another
    // answer may report that the back end takes no more requests.
    let is_available = || {
        let forwarder = gateway.forwarder.borrow();
        forwarder.is_available(&job.backend, gateway.now())
    };
    let max_idle = {
        let forwarder = gateway.forwarder.borrow();
        forwarder.connection_share(&job.backend).idle
    };
    let conditions = SendConditions {
        max_idle,
        may_send: is_available,
        may_reuse: |connection| call.may_use(connection),
    };
    // A decode goes on with what a prefill began.
    if !matches!(job.phase, JobPhase::Decode(_)) {
        call.note_work_begins(sent_at);
    }
    // Only its prompt is read by a prefill.
    let may_run = !matches!(job.phase, JobPhase::Prefill(_));
    if may_run {
        call.begin_attempt();
    }
    let sent = gateway.pool.send_if(&address, request, conditions).await;
    let sent = skip_surplus_answers(gateway, call, job, sent).await;
    let result = match sent {
        Ok(exchange) => {
            gateway.on_path_answered(&job.backend, sent_at);
            call.note_answered_on(exchange.connection());
            match AnswerHead::matching(&gateway.backends, call, &exchange.head) {
                Some(head) => {
                    let parsed = gateway.backends.read_head(job, &head);
                    let status = exchange.head.status;
                    note_reports(gateway, call, job, &parsed, status, sent_at);
                    on_head(gateway, call, job, parsed, exchange, guard).await
                }
                None => {
                    // The request may still run. On a new connection, no earlier request explains
                    // the head.
                    if exchange.fresh {
                        guard.failed();
                    }
                    log_no_answer(gateway, call, job, "other_request", &exchange);
                    log_failure(call, job, "the answer belongs to another request");
                    Err(AttemptEnd::Broken)
                }
            }
        }
        Err(error) => {
            match error {
                HttpError::Withheld => gateway.metrics.withheld(phase_name(job)),
                HttpError::NotSent(_) => guard.unreachable(),
                HttpError::Broken(_) => guard.connection_lost(call),
                // The back end was still sending, or was silent.
                HttpError::NoAnswer(_)
                | HttpError::TooLong(_)
                | HttpError::NoRoom(_)
                | HttpError::TimedOut => guard.failed(),
            }
            log_failure(call, job, &error.to_string());
            Err(attempt_end(&error))
        }
    };
    if may_run && matches!(result, Err(AttemptEnd::Unsent | AttemptEnd::NotRun(_))) {
        call.attempt_did_not_run();
    }
    let outcome = result.as_ref().err().map_or("answer", |end| end.as_str());
    gateway.metrics.attempt(outcome);
    result
}

/// Skips answers to earlier requests of a connection, after which the answer to this one follows.
async fn skip_surplus_answers<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    call: &Call,
    job: &Job,
    mut sent: Result<Exchange, HttpError>,
) -> Result<Exchange, HttpError> {
    for _ in 0..MAX_SURPLUS_ANSWERS {
        match sent {
            Ok(exchange) if !exchange.fresh && !is_own(gateway, call, &exchange) => {
                call.note_answered_on(exchange.connection());
                log_no_answer(gateway, call, job, "surplus", &exchange);
                sent = exchange.skip(MAX_NOT_RUN_BODY_BYTES, MAX_REST_TIME).await;
            }
            sent => return sent,
        }
    }
    sent
}

fn is_own<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    call: &Call,
    exchange: &Exchange,
) -> bool {
    AnswerHead::matching(&gateway.backends, call, &exchange.head).is_some()
}

/// Notes that a back end has been silent for too long, while its attempt stays open, so
/// that other requests avoid it meanwhile.
pub(crate) fn note_silent<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    call: &Call,
    job: &Job,
) {
    let now = gateway.now();
    let mut forwarder = gateway.forwarder.borrow_mut();
    forwarder.silent(&job.backend, now);
    if let Some(address) = forwarder.address(&job.backend) {
        gateway.pool.close_idle(address);
    }
    log::info!(
        request = call.facts.id.as_str(),
        backend = job.backend.as_str(),
        phase = phase_name(job),
        remaining_ms = job.remaining.0;
        "attempt_silent"
    );
}

fn attempt_end(error: &HttpError) -> AttemptEnd {
    match error {
        HttpError::NotSent(_) | HttpError::Withheld => AttemptEnd::Unsent,
        HttpError::Broken(_)
        | HttpError::NoAnswer(_)
        | HttpError::TooLong(_)
        | HttpError::NoRoom(_)
        | HttpError::TimedOut => AttemptEnd::Broken,
    }
}

async fn on_head<C: CallerPort + 'static, B: BackendPort + 'static>(
    gateway: &Rc<Gateway<C, B>>,
    call: &Call,
    job: &Job,
    parsed: ParsedHead,
    exchange: Exchange,
    mut guard: AttemptGuard<C, B>,
) -> Result<OpenAnswer<C, B>, AttemptEnd> {
    if let Some(load) = parsed.load {
        let now = gateway.now();
        let mut forwarder = gateway.forwarder.borrow_mut();
        forwarder.note_load_report(&job.backend, load, now);
    }
    gateway.unknown_headers.note(&gateway.metrics, job, &parsed);
    if parsed.meaning != HeadMeaning::Answer {
        log_no_answer(gateway, call, job, parsed.meaning.as_str(), &exchange);
    }
    let end = match parsed.meaning {
        HeadMeaning::Answer => {
            if parsed.retry_after.is_none() {
                guard.accepted();
            }
            if exchange.framing() == Framing::UntilClose {
                note_until_close(gateway, call, job);
            }
            return Ok(OpenAnswer { exchange, guard });
        }
        HeadMeaning::NotRun(reason) => AttemptEnd::NotRun(reason),
        HeadMeaning::AnotherBackend => {
            guard.gone();
            AttemptEnd::NotRun(NotRunReason::Misdirected)
        }
    };
    log_failure(call, job, end.as_str());
    discard_rest(gateway, exchange, guard);
    Err(end)
}

/// Discards the rest of an answer while its request goes on elsewhere. The attempt counts as in
/// flight meanwhile, as its connection is open.
fn discard_rest<C: CallerPort + 'static, B: BackendPort + 'static>(
    gateway: &Gateway<C, B>,
    exchange: Exchange,
    guard: AttemptGuard<C, B>,
) {
    let discarding = async move {
        let rest = exchange.discard_rest(MAX_NOT_RUN_BODY_BYTES, MAX_REST_TIME);
        rest.await;
        drop(guard);
    };
    gateway.executor.spawn(discarding).detach();
}

/// Notes an answer whose end is not marked, so that a break can't be distinguished from its end.
fn note_until_close<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    call: &Call,
    job: &Job,
) {
    gateway.metrics.until_close(phase_name(job));
    if let Some(backend) = gateway.forwarder.borrow().backend(&job.backend) {
        let service = backend.registration.service.clone();
        gateway.unmarked_ends.note(service, gateway.now());
    }
    log::info!(
        request = call.facts.id.as_str(),
        backend = job.backend.as_str(),
        phase = phase_name(job);
        "answer_until_close"
    );
}

/// Maximum number of answers to other requests that are skipped in one attempt.
const MAX_SURPLUS_ANSWERS: usize = 3;
/// Longest body of an answer that says that a request did not run.
const MAX_NOT_RUN_BODY_BYTES: usize = 64 * 1024;
/// Longest time in which the rest of such an answer is read to keep its connection.
pub(crate) const MAX_REST_TIME: Duration = Duration::from_millis(200);

/// The cause that is logged for a failure status of a back end.
pub(crate) fn status_cause(status: StatusCode) -> String {
    format!("status {}", status.as_u16())
}

/// Name of the job's phase in logs and metrics.
pub(crate) fn phase_name(job: &Job) -> &'static str {
    match job.phase {
        JobPhase::Whole => "whole",
        JobPhase::Prefill(_) => "prefill",
        JobPhase::Decode(_) => "decode",
    }
}

/// Logs a head that is not the answer to this request, and what tells whose it is.
fn log_no_answer<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    call: &Call,
    job: &Job,
    meaning: &str,
    exchange: &Exchange,
) {
    let answered_id = gateway.backends.answered_id(&exchange.head);
    log::info!(
        request = call.facts.id.as_str(),
        answered_id = answered_id.unwrap_or_default(),
        backend = job.backend.as_str(),
        phase = phase_name(job),
        status = exchange.head.status.as_u16(),
        meaning = meaning,
        new_connection = exchange.fresh;
        "head_without_answer"
    );
}

/// Logs an attempt that ended without an answer to pass on.
pub(crate) fn log_failure(call: &Call, job: &Job, cause: &str) {
    log::info!(
        request = call.facts.id.as_str(),
        backend = job.backend.as_str(),
        phase = phase_name(job),
        remaining_ms = job.remaining.0,
        cause = cause;
        "attempt_failed"
    );
}
