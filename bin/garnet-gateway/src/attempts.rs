//! One attempt at one back end, over HTTP.
//!
//! Contract: an attempt has a connection of its own. Answers name no request, so that a surplus
//! answer on a kept connection would be taken for the answer to the next one.

use std::time::Duration;

use garnet_engine_api::{
    DRAINING, DRAINING_HEADER, EventReader, GenerateEvent, GenerateRequest, KvLocation,
    LIMIT_HEADER, NOT_STARTED, NotStarted, PrefillRequest, PrefillResponse, REASON_NO_KV,
    RETRY_AFTER_HEADER, STARTED_HEADER, paths,
};
use garnet_gateway::{AttemptEvent, AttemptId, Event, Job, KvSource};
use garnet_limits::RequestRate;
use garnet_routing::{LoadReport, RetryAfter};
use garnet_runtime::client::{MAX_SHORT_ANSWER, StreamedResponse};
use garnet_runtime::{HttpError, Reservation, client};
use garnet_types::{BackendId, ByteCount, Framing, Millis, RecordedResponse};
use hyper::header::{DATE, HeaderValue};
use hyper::{HeaderMap, StatusCode};

use crate::context::Context;

/// Longest wait for a load report.
const LOAD_PATIENCE: Duration = Duration::from_millis(800);
/// Longest load report. Stand-ins report at most 4,096 events of their caches, some 300 KB.
const MAX_LOAD_REPORT: ByteCount = ByteCount(1024 * 1024);
/// Time on top of a request's deadline before an attempt is given up: what
/// runs once is waited for, so that its result can be kept.
const GRACE: Duration = Duration::from_secs(30);
/// Longest body of a refusal, in bytes.
const LONGEST_REFUSAL: usize = 64 * 1024;

/// Runs an attempt to its end.
pub(crate) async fn run(
    context: Context,
    attempt: AttemptId,
    backend: BackendId,
    address: String,
    job: Job,
    remaining: Millis,
) {
    let patience = Duration::from_millis(remaining.0) + GRACE;
    let event = match job {
        Job::Prefill {
            model,
            prompt,
            class,
            build,
        } => {
            let body = PrefillRequest {
                model: model.0,
                prompt,
                class,
                build,
            };
            prefill(&context, attempt, &address, &body, patience).await
        }
        Job::Generate {
            model,
            prompt,
            max_tokens,
            from_token,
            kv,
            class,
            build,
        } => {
            let body = GenerateRequest {
                model: model.0,
                prompt,
                max_tokens,
                from_token,
                kv: kv.map(locate),
                class,
                build,
            };
            generate(&context, attempt, &address, &body).await
        }
        Job::Application {
            method,
            path,
            content_type,
            body,
            key,
        } => {
            let request = client::build_request(&method, &path, &content_type, body);
            match request {
                Ok(mut request) => {
                    if let Some(key) = key.and_then(|key| key.parse().ok()) {
                        request.headers_mut().insert("idempotency-key", key);
                    }
                    let sent = context.http.send_once(&address, request, patience);
                    let answer = sent.await;
                    if let Ok(answer) = &answer {
                        tell_reports(&context, attempt, answer.status(), answer.headers());
                    }
                    application_event(answer, &backend)
                }
                Err(error) => failure(&error),
            }
        }
    };
    context.end_attempt(attempt);
    context.handle(Event::Attempt(attempt, event));
}

fn locate(kv: KvSource) -> KvLocation {
    KvLocation {
        address: kv.address,
        handle: kv.handle,
    }
}

/// What a failure says about whether the request ran.
fn failure(error: &HttpError) -> AttemptEvent {
    match error {
        HttpError::NotSent(_) | HttpError::Withheld => AttemptEvent::NotStarted { draining: false },
        HttpError::Broken(_) => AttemptEvent::Broken,
        HttpError::NoAnswer(_)
        | HttpError::TooLong(_)
        | HttpError::NoRoom(_)
        | HttpError::TimedOut => AttemptEvent::AnswerGivenUp,
    }
}

/// Hands on what the head of an answer reports of its back end.
fn tell_reports(context: &Context, attempt: AttemptId, status: StatusCode, headers: &HeaderMap) {
    tell_limit(context, attempt, status, headers);
    if let Some(retry_after) = retry_after(headers) {
        context.handle(Event::Attempt(attempt, AttemptEvent::Backoff(retry_after)));
    }
    let is_draining = |value: &HeaderValue| value == DRAINING;
    if headers.get_all(DRAINING_HEADER).iter().any(is_draining) {
        context.handle(Event::Attempt(attempt, AttemptEvent::Draining));
    }
}

/// The longest backoff that a refusal requests.
fn retry_after(headers: &HeaderMap) -> Option<RetryAfter> {
    if !says_not_started(headers) {
        return None;
    }
    let date = headers.get(DATE).map(HeaderValue::as_bytes);
    let values = headers.get_all(RETRY_AFTER_HEADER);
    RetryAfter::longest(values, date, |_, error| {
        log::warn!(cause = error.to_string().as_str(); "retry_after_unreadable");
    })
}

/// Hands on the limit in an answer. An answer without one counts if it is a success.
fn tell_limit(context: &Context, attempt: AttemptId, status: StatusCode, headers: &HeaderMap) {
    let values = headers.get_all(LIMIT_HEADER);
    let said = RequestRate::lowest_in(values.iter().map(HeaderValue::as_bytes));
    match said {
        Ok(None) if !status.is_success() => {}
        Ok(said) => context.handle(Event::Attempt(attempt, AttemptEvent::Limit(said))),
        Err(error) => log::warn!(cause = error.to_string().as_str(); "limit_unreadable"),
    }
}

fn says_not_started(headers: &HeaderMap) -> bool {
    headers
        .get(STARTED_HEADER)
        .is_some_and(|value| value == NOT_STARTED)
}

async fn prefill(
    context: &Context,
    attempt: AttemptId,
    address: &str,
    body: &PrefillRequest,
    patience: Duration,
) -> AttemptEvent {
    let request = client::json_request("POST", paths::PREFILL, body);
    let http = context.http.clone().with_max_answer(MAX_SHORT_ANSWER);
    let response = match http.send_once(address, request, patience).await {
        Ok(response) => response,
        Err(error) => return failure(&error),
    };
    tell_reports(context, attempt, response.status(), response.headers());
    if says_not_started(response.headers()) {
        return AttemptEvent::NotStarted { draining: true };
    }
    match serde_json::from_slice::<PrefillResponse>(response.body()) {
        Ok(read) => AttemptEvent::Prefilled {
            handle: read.handle,
        },
        Err(_) => AttemptEvent::AnswerGivenUp,
    }
}

async fn generate(
    context: &Context,
    attempt: AttemptId,
    address: &str,
    body: &GenerateRequest,
) -> AttemptEvent {
    let request = client::json_request("POST", paths::GENERATE, body);
    let mut stream = match context.http.stream_once(address, request).await {
        Ok(stream) => stream,
        Err(error) => return failure(&error),
    };
    let head = &stream.response;
    tell_reports(context, attempt, head.status(), head.headers());
    if says_not_started(head.headers()) {
        return not_started(&mut stream).await;
    }
    if !stream.response.status().is_success() {
        return AttemptEvent::AnswerGivenUp;
    }
    let mut reader = EventReader::default();
    let mut buffered = context.buffer_budget.reserve();
    loop {
        let chunk = match stream.next().await {
            Ok(Some(chunk)) => chunk,
            // A stream that ends without its explicit end was cut short.
            Ok(None) => return AttemptEvent::Broken,
            Err(error) => return failure(&error),
        };
        let events = match read_events(&mut reader, &mut buffered, &chunk) {
            Ok(events) => events,
            Err(cause) => {
                log::warn!(address = address, cause = cause.as_str(); "stream_broken");
                return AttemptEvent::AnswerGivenUp;
            }
        };
        if let Some(last) = take_events(context, attempt, &events) {
            return last;
        }
    }
}

/// Reads the events that a chunk completes, and reserves what waits for the rest of its line.
///
/// # Errors
/// The cause, if the line is too long or the budget has no room for it.
fn read_events(
    reader: &mut EventReader,
    buffered: &mut Reservation,
    chunk: &[u8],
) -> Result<Vec<Vec<u8>>, String> {
    let events = reader.push(chunk).map_err(|error| error.to_string())?;
    let reserved = buffered.resize(reader.buffered_len());
    reserved.map_err(|error| error.to_string())?;
    Ok(events)
}

/// Why an engine did not begin to generate.
async fn not_started(stream: &mut StreamedResponse) -> AttemptEvent {
    let body = stream.read_whole(LONGEST_REFUSAL).await.unwrap_or_default();
    match serde_json::from_slice::<NotStarted>(&body) {
        Ok(refusal) if refusal.reason == REASON_NO_KV => AttemptEvent::CacheGone,
        _ => AttemptEvent::NotStarted { draining: true },
    }
}

/// Hands tokens on; gives the event that ends the attempt, if one came.
fn take_events(context: &Context, attempt: AttemptId, events: &[Vec<u8>]) -> Option<AttemptEvent> {
    let mut first = None;
    let mut tokens = Vec::new();
    let mut last = None;
    for event in events {
        match serde_json::from_slice(event) {
            Ok(GenerateEvent::Token { index, text }) => {
                first.get_or_insert(index);
                tokens.push(text);
            }
            Ok(GenerateEvent::End { total }) => last = Some(AttemptEvent::Finished { total }),
            Err(_) => last = Some(AttemptEvent::AnswerGivenUp),
        }
    }
    if let Some(first) = first {
        let event = AttemptEvent::Tokens { first, tokens };
        context.handle(Event::Attempt(attempt, event));
    }
    last
}

fn application_event(
    answer: Result<hyper::Response<hyper::body::Bytes>, HttpError>,
    backend: &BackendId,
) -> AttemptEvent {
    let response = match answer {
        Ok(response) => response,
        Err(error) => return failure(&error),
    };
    if says_not_started(response.headers()) {
        return AttemptEvent::NotStarted { draining: true };
    }
    let content_type = response
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream");
    let recorded = RecordedResponse {
        status: response.status().as_u16(),
        content_type: content_type.to_owned(),
        body: response.body().to_vec(),
        served_by: backend.to_string(),
    };
    match response.extensions().get::<Framing>() {
        Some(Framing::Delimited) => AttemptEvent::Response(recorded),
        _ => {
            log::warn!(backend = backend.as_str(); "answer_until_close");
            AttemptEvent::UnmarkedResponse(recorded)
        }
    }
}

/// Asks an engine for its load.
pub(crate) async fn poll_load(context: Context, backend: BackendId, address: String) {
    let from = context.cache_cursor(backend.as_str());
    let path = format!("{}?events_from={from}", paths::LOAD);
    let request = client::get_request(&path);
    let http = context.http.clone().with_max_answer(MAX_LOAD_REPORT);
    let answer = http.send(&address, request, LOAD_PATIENCE).await;
    let report = answer
        .ok()
        .and_then(|answer| serde_json::from_slice::<LoadReport>(answer.body()).ok());
    if let Some(report) = report {
        let next = report.cache_events.last().map_or(from, |e| e.sequence + 1);
        context.note_cache_cursor(backend.as_str(), report.incarnation, next);
        context.handle(Event::Load(backend, report));
    }
}
