//! The callers' HTTP interface.

use std::cell::Cell;
use std::rc::Rc;

use garnet_engine_api::encode_event;
use garnet_gateway::{Answer, Call, Event, Work, openai};
use garnet_runtime::RequestBody;
use garnet_runtime::metrics::{self, Sample};
use garnet_runtime::server::{BodyError, channel_body, read_body_within, set_header, with_type};
use garnet_runtime::{Body, Limits, json_response, text_response};
use garnet_types::{Millis, OutcomeCode, Refusal, RequestId};
use hyper::body::Bytes;
use hyper::{HeaderMap, Method, Request, Response};
use smol::channel::{Receiver, Sender, bounded, unbounded};

use crate::context::{CallerMessage, Context};
use crate::parse::{self, CallHeaders};

/// Retry-After of a request whose body found no room.
const NO_ROOM_RETRY_AFTER: Millis = Millis(500);
use crate::respond::{refusal_response, whole, with_request_id};

const SERVICES: &str = "/services/";
/// Chunks of a stream that wait for a slow caller.
const QUEUED_CHUNKS: usize = 64;
/// Ends a whole stream of the OpenAI interface.
const DONE: &str = "[DONE]";

/// The interface of one gateway.
#[derive(Clone)]
pub(crate) struct Callers {
    context: Context,
    next_request: Rc<Cell<u64>>,
}

impl Callers {
    pub(crate) fn new(context: Context) -> Self {
        Callers {
            context,
            next_request: Rc::new(Cell::new(rand::random())),
        }
    }

    fn next_id(&self) -> RequestId {
        let next = self.next_request.get().wrapping_add(1);
        self.next_request.set(next);
        RequestId(next)
    }
}

/// Answers one HTTP request.
pub(crate) async fn handle(callers: Callers, request: Request<RequestBody>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let context = &callers.context;
    match (request.method(), path.as_str()) {
        (&Method::GET, "/healthz") => text_response(200, "ok\n"),
        (&Method::GET, "/readyz") => ready(context),
        (&Method::GET, "/metrics") => show_metrics(context),
        (&Method::GET, "/v1/models") => models(context),
        (&Method::POST, "/v1/completions") => take(callers, request, Interface::Completions).await,
        (&Method::POST, "/v1/chat/completions") => take(callers, request, Interface::Chat).await,
        (_, path) if path.starts_with(SERVICES) => {
            take(callers, request, Interface::Application).await
        }
        _ => {
            let refusal = Refusal::permanent(OutcomeCode::NotFound, "unknown path");
            refusal_response(callers.next_id(), &refusal)
        }
    }
}

#[derive(Clone, Copy)]
enum Interface {
    Completions,
    Chat,
    Application,
}

async fn take(
    callers: Callers,
    request: Request<RequestBody>,
    interface: Interface,
) -> Response<Body> {
    let id = callers.next_id();
    match read_call(&callers, id, request, interface).await {
        Ok(call) => run(callers.context, call).await,
        Err(refusal) => refusal_response(id, &refusal),
    }
}

async fn read_call(
    callers: &Callers,
    id: RequestId,
    request: Request<RequestBody>,
    interface: Interface,
) -> Result<Call, Refusal> {
    let (head, body) = request.into_parts();
    let headers = parse::read_headers(&head.headers)?;
    let limits = Limits {
        body_bytes: callers.context.max_body_bytes,
        ..Limits::default()
    };
    let budget = &callers.context.buffer_budget;
    let body = read_body_within(budget, body, &limits).await;
    let body = body.map_err(body_refusal)?;
    match interface {
        Interface::Completions => parse::completion(id, headers, &body),
        Interface::Chat => parse::chat(id, headers, &body),
        Interface::Application => read_application(id, headers, &head, &body),
    }
}

fn read_application(
    id: RequestId,
    headers: CallHeaders,
    head: &hyper::http::request::Parts,
    body: &Bytes,
) -> Result<Call, Refusal> {
    let path = head.uri.path().trim_start_matches(SERVICES);
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    if service.is_empty() {
        let message = "the path must be /services/{service}/{path}";
        return Err(Refusal::permanent(OutcomeCode::Invalid, message));
    }
    let query = head.uri.query().map(|query| format!("?{query}"));
    let path = format!("/{rest}{}", query.unwrap_or_default());
    let content_type = content_type(&head.headers);
    let method = head.method.as_str();
    Ok(parse::application(
        id,
        headers,
        service,
        method,
        path,
        content_type,
        body,
    ))
}

fn content_type(headers: &HeaderMap) -> String {
    headers
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

fn body_refusal(error: BodyError) -> Refusal {
    let message = match error {
        BodyError::NoRoom(exceeded) => {
            let message = exceeded.to_string();
            return Refusal::not_run(OutcomeCode::NotRun, NO_ROOM_RETRY_AFTER, message);
        }
        BodyError::TooLarge => "the body is too large",
        BodyError::CutOff => "the body ended before it was whole",
        BodyError::TooSlow => "the body came too slowly",
    };
    Refusal::permanent(OutcomeCode::Invalid, message)
}

// ---- Running a call ----

/// Tells the gateway when the caller goes away before its answer.
struct CallerGuard {
    context: Context,
    id: RequestId,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.context.close_caller(self.id);
    }
}

async fn run(context: Context, call: Call) -> Response<Body> {
    let id = call.id;
    let (sender, messages) = unbounded();
    context.open_caller(id, sender);
    let guard = CallerGuard {
        context: context.clone(),
        id,
    };
    context.handle(Event::Call(call.clone()));
    let first = messages.recv().await;
    match first {
        Ok(CallerMessage::Answer(answer)) if !streams(&call) => whole(&call, answer),
        Ok(CallerMessage::Answer(Answer::Refused(refusal))) => refusal_response(id, &refusal),
        Ok(first) => stream(&context, call, first, messages, guard),
        Err(_) => {
            let refusal = Refusal::failed("the gateway lost the request");
            refusal_response(id, &refusal)
        }
    }
}

fn streams(call: &Call) -> bool {
    matches!(call.work, Work::Completion { stream: true, .. })
}

fn stream(
    context: &Context,
    call: Call,
    first: CallerMessage,
    messages: Receiver<CallerMessage>,
    guard: CallerGuard,
) -> Response<Body> {
    let (chunks, body) = bounded(QUEUED_CHUNKS);
    let id = call.id;
    let forward = async move {
        let mut next = Ok(first);
        while let Ok(message) = next {
            let ends = matches!(message, CallerMessage::Answer(_));
            let sent = send_message(&call, message, &chunks).await;
            if ends || !sent {
                break;
            }
            next = messages.recv().await;
        }
        drop(guard);
    };
    context.executor.spawn(forward).detach();
    let mut response = Response::new(channel_body(body));
    set_header(&mut response, "content-type", "text/event-stream");
    set_header(&mut response, "cache-control", "no-cache");
    with_request_id(response, id)
}

/// Sends one message of a stream. `false` when the caller has left.
async fn send_message(call: &Call, message: CallerMessage, chunks: &Sender<Bytes>) -> bool {
    let mut bytes = Vec::new();
    let mut add = |data: &str| bytes.extend_from_slice(&encode_event(data));
    match message {
        CallerMessage::Tokens(tokens) => {
            add(&openai::chunk_body(call, &tokens.concat()).to_string());
        }
        CallerMessage::Answer(Answer::Text(text)) => {
            add(&openai::final_chunk_body(call, &text).to_string());
            add(DONE);
        }
        CallerMessage::Answer(Answer::Response(recorded)) => {
            add_recorded(call, &recorded.body, &mut add);
        }
        // A stream that fails has an error and no [DONE].
        CallerMessage::Answer(Answer::Refused(refusal)) => {
            add(&openai::error_body(&refusal, call.id).to_string());
        }
    }
    chunks.send(Bytes::from(bytes)).await.is_ok()
}

/// A recorded text, streamed again in one chunk.
fn add_recorded(call: &Call, body: &[u8], add: &mut impl FnMut(&str)) {
    let Some((text, usage)) = openai::recorded_text(body) else {
        let refusal = Refusal::failed("the recorded answer is no text");
        add(&openai::error_body(&refusal, call.id).to_string());
        return;
    };
    add(&openai::chunk_body(call, &text).to_string());
    let empty = garnet_gateway::CompletedText {
        tokens: Vec::new(),
        prompt_tokens: 0,
        served_by: String::new(),
        resumed: 0,
    };
    let mut last = openai::final_chunk_body(call, &empty);
    last["usage"] = usage;
    add(&last.to_string());
    add(DONE);
}

// ---- Pages ----

fn ready(context: &Context) -> Response<Body> {
    if context.with_gateway(|gateway, now| gateway.is_ready(now)) {
        text_response(200, "ready\n")
    } else {
        text_response(503, "no fresh configuration, or stopping\n")
    }
}

fn models(context: &Context) -> Response<Body> {
    context.with_gateway(|gateway, _| {
        let models = gateway.models();
        let names = models.iter().map(|model| model.as_str());
        json_response(200, &openai::models_body(names))
    })
}

fn show_metrics(context: &Context) -> Response<Body> {
    let samples = context.with_gateway(|gateway, now| {
        let counters = gateway.counters();
        let mut samples = vec![
            Sample::new("gateway_calls", "Requests that arrived.", counters.calls),
            Sample::new(
                "gateway_completed",
                "Whole answers given.",
                counters.completed,
            ),
            Sample::new("gateway_attempts", "Attempts started.", counters.attempts),
            Sample::new(
                "gateway_retries",
                "Attempts after the first.",
                counters.retries,
            ),
            Sample::new("gateway_resumed", "Streams taken over.", counters.resumed),
            Sample::new(
                "gateway_policy_failures",
                "Policy conditions that failed while they ran.",
                counters.policy_failures,
            ),
            Sample::new(
                "gateway_cache_event_gaps",
                "Times that beliefs about a prefix cache were dropped.",
                counters.cache_event_gaps,
            ),
            Sample::new(
                "gateway_open_requests",
                "Requests without a final answer.",
                gateway.open_requests() as u64,
            ),
            Sample::new(
                "gateway_waiting_requests",
                "Requests that wait for room.",
                gateway.waiting_requests() as u64,
            ),
            Sample::new(
                "gateway_configuration_index",
                "Configuration index it works by.",
                gateway.configuration_index(),
            ),
            Sample::new(
                "gateway_ready",
                "Whether it takes new work.",
                u64::from(gateway.is_ready(now)),
            ),
        ];
        for (code, count) in &counters.refused {
            let sample = Sample::new("gateway_refused", "Refusals by code.", *count);
            samples.push(sample.label("code", code.as_str()));
        }
        samples
    });
    let text = metrics::render(&samples);
    with_type(200, metrics::CONTENT_TYPE, text.into_bytes())
}
