//! From HTTP requests to calls, with a clear error for each mistake.

use garnet_gateway::{Call, Work};
use garnet_types::{
    IdempotencyKey, Millis, ModelId, OutcomeCode, Refusal, RequestId, ServiceId, SessionId,
    TenantId,
};
use hyper::HeaderMap;
use hyper::body::Bytes;
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// Tokens where a call does not say how many, as the OpenAI interface has it.
const DEFAULT_MAX_TOKENS: u64 = 16;
/// Most tokens that a call may ask for.
const MAX_TOKENS: u64 = 32_768;
/// Longest deadline that a call may give: one hour.
const MAX_DEADLINE_MS: i64 = 3_600_000;
/// Longest key, name or tenant, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// What the headers say of a call.
#[derive(Debug, Default)]
pub(crate) struct CallHeaders {
    tenant: Option<TenantId>,
    session: Option<SessionId>,
    key: Option<IdempotencyKey>,
    deadline: Option<Millis>,
}

#[derive(Deserialize)]
struct CompletionBody {
    model: String,
    prompt: PromptBody,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    n: Option<u64>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum PromptBody {
    One(String),
    Many(Vec<String>),
}

#[derive(Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<ChatMessage>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    n: Option<u64>,
}

#[derive(Deserialize)]
struct ChatMessage {
    role: String,
    content: ChatContent,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum ChatContent {
    Text(String),
    Parts(Vec<ChatPart>),
}

#[derive(Deserialize)]
struct ChatPart {
    #[serde(default)]
    text: String,
}

fn invalid(message: impl Into<String>) -> Refusal {
    Refusal::permanent(OutcomeCode::Invalid, message)
}

/// Reads the headers of a call.
pub(crate) fn read_headers(headers: &HeaderMap) -> Result<CallHeaders, Refusal> {
    Ok(CallHeaders {
        tenant: read_name(headers, "garnet-tenant")?.map(TenantId),
        session: read_name(headers, "garnet-session")?.map(SessionId),
        key: read_name(headers, "idempotency-key")?.map(IdempotencyKey),
        deadline: read_deadline(headers)?,
    })
}

fn read_name(headers: &HeaderMap, name: &str) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| invalid(format!("the header {name} is not plain text")))?;
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        let message = format!("the header {name} must have 1 to {MAX_NAME_BYTES} bytes");
        return Err(invalid(message));
    }
    Ok(Some(text.to_owned()))
}

fn read_deadline(headers: &HeaderMap) -> Result<Option<Millis>, Refusal> {
    let Some(text) = read_name(headers, "garnet-deadline-ms")? else {
        return Ok(None);
    };
    let number: i64 = text
        .parse()
        .map_err(|_| invalid("the header garnet-deadline-ms is no whole number"))?;
    if number <= 0 {
        let message = "the deadline has passed already";
        return Err(Refusal::permanent(OutcomeCode::Deadline, message));
    }
    Ok(Some(Millis(number.min(MAX_DEADLINE_MS) as u64)))
}

/// A call of the completions interface.
pub(crate) fn completion(
    id: RequestId,
    headers: CallHeaders,
    body: &Bytes,
) -> Result<Call, Refusal> {
    let body: CompletionBody = read_json(body)?;
    check_choices(body.n)?;
    let prompt = match body.prompt {
        PromptBody::One(prompt) => prompt,
        PromptBody::Many(prompts) if prompts.len() == 1 => prompts.concat(),
        PromptBody::Many(_) => return Err(invalid("exactly one prompt is supported")),
    };
    let work = Work::Completion {
        model: ModelId::new(body.model),
        prompt,
        max_tokens: check_tokens(body.max_tokens)?,
        stream: body.stream,
        chat: false,
    };
    Ok(call(id, headers, work))
}

/// A call of the chat interface.
pub(crate) fn chat(id: RequestId, headers: CallHeaders, body: &Bytes) -> Result<Call, Refusal> {
    let body: ChatBody = read_json(body)?;
    check_choices(body.n)?;
    if body.messages.is_empty() {
        return Err(invalid("at least one message is needed"));
    }
    let lines: Vec<String> = body.messages.into_iter().map(chat_line).collect();
    let work = Work::Completion {
        model: ModelId::new(body.model),
        prompt: lines.join("\n"),
        max_tokens: check_tokens(body.max_completion_tokens.or(body.max_tokens))?,
        stream: body.stream,
        chat: true,
    };
    Ok(call(id, headers, work))
}

/// A call of an application service.
pub(crate) fn application(
    id: RequestId,
    headers: CallHeaders,
    service: &str,
    method: &str,
    path: String,
    content_type: String,
    body: &Bytes,
) -> Call {
    let work = Work::Application {
        service: ServiceId::new(service),
        method: method.to_owned(),
        path,
        content_type,
        body: body.to_vec(),
    };
    call(id, headers, work)
}

fn call(id: RequestId, headers: CallHeaders, work: Work) -> Call {
    Call {
        id,
        tenant: headers.tenant,
        session: headers.session,
        key: headers.key,
        deadline: headers.deadline,
        work,
    }
}

fn read_json<T: DeserializeOwned>(body: &Bytes) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| invalid(format!("the body is not valid: {error}")))
}

fn check_choices(n: Option<u64>) -> Result<(), Refusal> {
    match n {
        None | Some(1) => Ok(()),
        Some(_) => Err(invalid("n must be 1")),
    }
}

fn check_tokens(max_tokens: Option<u64>) -> Result<u64, Refusal> {
    match max_tokens.unwrap_or(DEFAULT_MAX_TOKENS) {
        tokens @ 1..=MAX_TOKENS => Ok(tokens),
        _ => Err(invalid(format!(
            "max_tokens must be from 1 to {MAX_TOKENS}"
        ))),
    }
}

fn chat_line(message: ChatMessage) -> String {
    let text = match message.content {
        ChatContent::Text(text) => text,
        ChatContent::Parts(parts) => parts.into_iter().map(|part| part.text).collect(),
    };
    format!("{}: {text}", message.role)
}
