//! Limits, backoffs and draining that a back end reports in the head of an answer.

use garnet_forwarding::ReportedLimit;
use garnet_types::Millis;
use hyper::StatusCode;

use crate::attempt::phase_name;
use crate::gateway::Gateway;
use crate::ports::{BackendPort, Call, CallerPort, HeadMeaning, Job, ParsedHead};

/// Takes the reports in an answer to a job that was sent at `sent_at`.
pub(crate) fn note_reports<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    call: &Call,
    job: &Job,
    parsed: &ParsedHead,
    status: StatusCode,
    sent_at: Millis,
) {
    note_limit(gateway, job, parsed, status, sent_at);
    // Another back end at the address reports its own state.
    if parsed.meaning != HeadMeaning::AnotherBackend {
        note_backoff(gateway, call, job, parsed);
        note_draining(gateway, job, parsed);
    }
}

/// Takes the limit in an answer. The absence of a limit counts only in a successful
/// answer.
fn note_limit<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    job: &Job,
    parsed: &ParsedHead,
    status: StatusCode,
    sent_at: Millis,
) {
    let reported = match (parsed.meaning, parsed.limit) {
        (HeadMeaning::Answer | HeadMeaning::NotRun(_), ReportedLimit::Limited(rate)) => {
            ReportedLimit::Limited(rate)
        }
        (HeadMeaning::Answer, ReportedLimit::Unlimited) if status.is_success() => {
            ReportedLimit::Unlimited
        }
        _ => ReportedLimit::Unknown,
    };
    let now = gateway.now();
    let mut forwarder = gateway.forwarder.borrow_mut();
    if let Some(rate) = forwarder.note_limit(&job.backend, reported, sent_at, now) {
        log::info!(
            backend = job.backend.as_str(),
            rate_per_s = rate.to_string().as_str();
            "limit_named"
        );
    }
}

fn note_backoff<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    call: &Call,
    job: &Job,
    parsed: &ParsedHead,
) {
    let Some(retry_after) = parsed.retry_after else {
        return;
    };
    // The backoff applies beyond this request: the next one would be rejected as well,
    // which would cost its caller a round trip and the service a retry.
    let now = gateway.now();
    let mut forwarder = gateway.forwarder.borrow_mut();
    forwarder.note_backoff(&job.backend, retry_after, now);
    gateway.metrics.backoff_requested(phase_name(job));
    log::info!(
        request = call.facts.id.as_str(),
        backend = job.backend.as_str(),
        phase = phase_name(job),
        retry_after_ms = retry_after.span().0;
        "backoff_requested"
    );
}

fn note_draining<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    job: &Job,
    parsed: &ParsedHead,
) {
    if !parsed.draining {
        return;
    }
    let now = gateway.now();
    let mut forwarder = gateway.forwarder.borrow_mut();
    if forwarder.note_draining(&job.backend, now) {
        log::info!(backend = job.backend.as_str(); "draining_reported");
    }
}
