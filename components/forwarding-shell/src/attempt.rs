//! One attempt at one back end.

use std::rc::Rc;

use garnet_forwarding::{AttemptEnd, NotRunReason, PrefillWork, Probe, Prompt};
use garnet_runtime::Exchange;
use garnet_runtime::client::HttpError;
use garnet_types::{BackendId, Millis};
use hyper::StatusCode;

use crate::gateway::Gateway;
use crate::ports::{BackendPort, Call, CallerPort, HeadMeaning, Job, JobPhase, ReadHead};
use crate::reported::note_reports;

/// Counts an attempt as under way until it is dropped.
pub(crate) struct AttemptGuard<C: CallerPort, B: BackendPort> {
    gateway: Rc<Gateway<C, B>>,
    backend: BackendId,
    prompt: Option<Prompt>,
    rank: u8,
    prefill_work: PrefillWork,
    /// Since when the request has its place there, where the engine generates.
    generates_since: Option<Millis>,
    /// Whether the prompt was prefilled.
    read: bool,
    judged: bool,
    /// Set while the attempt probes a back end that recovers from a backoff.
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
        let generates = prompt.is_some() && !matches!(job.phase, JobPhase::Prefill(_));
        drop(forwarder);
        AttemptGuard {
            gateway: Rc::clone(gateway),
            backend,
            prompt: prompt.cloned(),
            rank: job.priority,
            prefill_work,
            generates_since: generates.then_some(now),
            read: false,
            judged: false,
            probe,
        }
    }

    /// Prompt tokens that the back end was believed to have to read.
    pub(crate) fn prefill_work(&self) -> PrefillWork {
        self.prefill_work
    }

    /// The prompt is prefilled: the first event is there.
    pub(crate) fn prefill_done(&mut self) {
        if std::mem::replace(&mut self.read, true) {
            return;
        }
        let now = self.gateway.now();
        let uncached = std::mem::take(&mut self.prefill_work.uncached);
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        forwarder.prefilled(&self.backend, self.rank, uncached);
        if let Some(prompt) = &self.prompt {
            forwarder.note_cached(&self.backend, prompt, now);
        }
    }

    /// The back end took the request.
    fn accepted(&mut self) {
        if let Some(probe) = self.probe.take() {
            let mut forwarder = self.gateway.forwarder.borrow_mut();
            forwarder.probe_accepted(&self.backend, probe);
        }
    }

    /// The back end did well.
    pub(crate) fn succeeded(&mut self) {
        self.judged = true;
        let now = self.gateway.now();
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        forwarder.succeeded(&self.backend);
        if let (Some(since), Some(prompt)) = (self.generates_since, &self.prompt) {
            forwarder.note_slot_time(&self.backend, prompt, now.since(since));
        }
    }

    /// The back end failed.
    pub(crate) fn failed(&mut self) {
        self.judged = true;
        let now = self.gateway.now();
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        forwarder.failed(&self.backend, now);
    }

    /// The connection ended before the answer did: the back end failed, and may
    /// have crashed.
    pub(crate) fn connection_lost(&mut self, call: &Call) {
        self.failed();
        let now = self.gateway.now();
        let fingerprint = call.fingerprint();
        log::info!(
            request = call.facts.id.as_str(),
            fingerprint = fingerprint.to_string().as_str(),
            backend = self.backend.as_str();
            "run_broken"
        );
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        forwarder.run_crashed(fingerprint, &self.backend, now);
    }

    /// The run came to its proper end, by what the answer itself tells.
    pub(crate) fn completed(&self, call: &Call) {
        let now = self.gateway.now();
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        if !forwarder.has_no_suspects() {
            forwarder.run_completed(call.fingerprint(), now);
        }
    }

    /// Nothing of the request can have reached the back end.
    fn unreachable(&mut self) {
        self.judged = true;
        let now = self.gateway.now();
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        forwarder.unreachable(&self.backend, now);
    }

    /// The back end was silent for too long.
    pub(crate) fn silent(&mut self) {
        self.judged = true;
        let now = self.gateway.now();
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        forwarder.silent(&self.backend, now);
    }

    /// The back end is not the one that was meant.
    fn gone(&mut self) {
        self.judged = true;
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        forwarder.gone(&self.backend);
    }
}

impl<C: CallerPort, B: BackendPort> Drop for AttemptGuard<C, B> {
    fn drop(&mut self) {
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        forwarder.prefilled(&self.backend, self.rank, self.prefill_work.uncached);
        forwarder.ended(&self.backend, self.rank, self.prompt.as_ref());
        if !self.judged {
            forwarder.released(&self.backend);
        }
        if let Some(probe) = self.probe.take() {
            forwarder.probe_released(&self.backend, probe);
        }
        if !self.gateway.connections.is_empty()
            && let Some(backend) = forwarder.backend(&self.backend)
        {
            let service = &backend.registration.service;
            self.gateway.connections.freed(service);
        }
    }
}

/// An answer whose head is there.
pub(crate) struct OpenAnswer<C: CallerPort, B: BackendPort> {
    pub(crate) exchange: Exchange,
    pub(crate) guard: AttemptGuard<C, B>,
}

/// Sends the job and reads the head of the answer.
///
/// # Errors
/// How the attempt ended, where it is no answer to this request.
pub(crate) async fn attempt<C: CallerPort, B: BackendPort>(
    gateway: &Rc<Gateway<C, B>>,
    call: &Call,
    job: &Job,
) -> Result<OpenAnswer<C, B>, AttemptEnd> {
    let address = {
        let forwarder = gateway.forwarder.borrow();
        let address = forwarder.address(&job.backend);
        address.ok_or(AttemptEnd::Unsent)?.to_owned()
    };
    // Whoever placed it found its back end to take requests, and nothing was waited for
    // since.
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
    // Another answer may have reported on the back end while this one's connection was
    // opened, which an overloaded back end delays.
    let is_available = || {
        let forwarder = gateway.forwarder.borrow();
        forwarder.is_available(&job.backend, gateway.now())
    };
    let most_idle = {
        let forwarder = gateway.forwarder.borrow();
        forwarder.connection_share(&job.backend).idle
    };
    let sent = gateway
        .pool
        .send_if(&address, request, most_idle, is_available)
        .await;
    let result = match sent {
        Ok(exchange) => {
            let read = gateway.backends.read_head(call, job, &exchange.head);
            let status = exchange.head.status;
            note_reports(gateway, call, job, &read, status, sent_at);
            if read.meaning == HeadMeaning::Answer && read.retry_after.is_none() {
                guard.accepted();
            }
            take_head(gateway, call, job, read, exchange, guard).await
        }
        Err(error) => {
            match error {
                HttpError::Withheld => gateway.metrics.withheld(phase_name(job)),
                HttpError::NotSent(_) => guard.unreachable(),
                HttpError::Broken(_) => guard.connection_lost(call),
                HttpError::TooLong(_) | HttpError::TimedOut => guard.failed(),
            }
            log_failure(call, job, &error.to_string());
            Err(end_of(&error))
        }
    };
    let outcome = result.as_ref().err().map_or("answer", |end| end.as_str());
    gateway.metrics.attempt(outcome);
    result
}

/// Notes that a back end is silent for longer than is useful, while it is waited
/// for: others should not come meanwhile.
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

fn end_of(error: &HttpError) -> AttemptEnd {
    match error {
        HttpError::NotSent(_) | HttpError::Withheld => AttemptEnd::Unsent,
        HttpError::Broken(_) | HttpError::TooLong(_) | HttpError::TimedOut => AttemptEnd::Broken,
    }
}

async fn take_head<C: CallerPort, B: BackendPort>(
    gateway: &Rc<Gateway<C, B>>,
    call: &Call,
    job: &Job,
    read: ReadHead,
    mut exchange: Exchange,
    mut guard: AttemptGuard<C, B>,
) -> Result<OpenAnswer<C, B>, AttemptEnd> {
    if let Some(load) = read.load {
        let now = gateway.now();
        let mut forwarder = gateway.forwarder.borrow_mut();
        forwarder.note_load_report(&job.backend, load, now);
    }
    gateway.unknown_names.note(&gateway.metrics, job, &read);
    let end = match read.meaning {
        HeadMeaning::Answer => return Ok(OpenAnswer { exchange, guard }),
        HeadMeaning::NotRun(reason) => AttemptEnd::NotRun(reason),
        HeadMeaning::AnotherBackend => {
            guard.gone();
            AttemptEnd::NotRun(NotRunReason::Misdirected)
        }
        HeadMeaning::Foreign => {
            // Its own answer may still come on this connection, which is
            // closed: what was asked may run.
            log_failure(call, job, "the answer belongs to another request");
            return Err(AttemptEnd::Broken);
        }
    };
    log_failure(call, job, end.as_str());
    // A short body; read to its end, the connection can be kept.
    if exchange.read_whole(SHORT_BODY).await.is_ok() {
        exchange.finish();
    }
    Err(end)
}

/// Longest body of an answer that tells why a request did not run.
const SHORT_BODY: usize = 64 * 1024;

/// The cause in the log of a back end's own failure.
pub(crate) fn failed_with(status: StatusCode) -> String {
    format!("status {}", status.as_u16())
}

pub(crate) fn phase_name(job: &Job) -> &'static str {
    match job.phase {
        JobPhase::Whole => "whole",
        JobPhase::Prefill(_) => "prefill",
        JobPhase::Decode(_) => "decode",
    }
}

/// Tells of an attempt that ended without an answer that is passed on.
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
