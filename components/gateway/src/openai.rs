//! Bodies of the OpenAI HTTP interface.
//!
//! Source: the OpenAI API reference, "Completions" and "Chat Completions".

use garnet_types::{Execution, RecordedResponse, Refusal, RequestId};
use serde_json::{Value, json};

use crate::call::{Call, CompletedText, Work};

const JSON: &str = "application/json";

/// The complete response to a completion call.
pub fn completion_response(call: &Call, text: &CompletedText) -> RecordedResponse {
    RecordedResponse {
        status: 200,
        content_type: JSON.to_owned(),
        body: completion_body(call, text).to_string().into_bytes(),
        served_by: text.served_by.clone(),
    }
}

/// Body of a completion that isn't streamed.
pub fn completion_body(call: &Call, text: &CompletedText) -> Value {
    let content = text.tokens.concat();
    let (object, choice) = if is_chat(call) {
        let message = json!({"role": "assistant", "content": content});
        let choice = json!({"index": 0, "message": message, "finish_reason": "stop"});
        ("chat.completion", choice)
    } else {
        let choice =
            json!({"index": 0, "text": content, "logprobs": null, "finish_reason": "stop"});
        ("text_completion", choice)
    };
    json!({
        "id": completion_id(call),
        "object": object,
        "created": 0,
        "model": model_of(call),
        "choices": [choice],
        "usage": usage(text),
    })
}

/// One streamed chunk of text.
pub fn chunk_body(call: &Call, content: &str) -> Value {
    let choice = if is_chat(call) {
        json!({"index": 0, "delta": {"content": content}, "finish_reason": null})
    } else {
        json!({"index": 0, "text": content, "finish_reason": null})
    };
    chunk(call, &choice)
}

/// The last streamed object before `[DONE]`. Only this object has a finish reason and the
/// usage, so an interrupted stream never looks complete.
pub fn final_chunk_body(call: &Call, text: &CompletedText) -> Value {
    let choice = if is_chat(call) {
        json!({"index": 0, "delta": {}, "finish_reason": "stop"})
    } else {
        json!({"index": 0, "text": "", "finish_reason": "stop"})
    };
    let mut body = chunk(call, &choice);
    body["usage"] = usage(text);
    body["garnet_served_by"] = json!(text.served_by);
    body
}

/// Body of a refusal, in the OpenAI error format with additional fields.
pub fn error_body(refusal: &Refusal, request: RequestId) -> Value {
    let ran = match refusal.ran {
        Execution::No => json!(false),
        Execution::Yes => json!(true),
        Execution::Unknown => json!("unknown"),
    };
    json!({
        "error": {
            "message": refusal.message,
            "type": error_type(refusal),
            "param": null,
            "code": refusal.code.as_str(),
        },
        "code": refusal.code.as_str(),
        "ran": ran,
        "request_id": request.to_string(),
    })
}

/// Body of the list of models.
pub fn models_body<'a>(models: impl Iterator<Item = &'a str>) -> Value {
    let entry =
        |id: &str| json!({"id": id, "object": "model", "created": 0, "owned_by": "garnetcourse"});
    let data: Vec<Value> = models.map(entry).collect();
    json!({"object": "list", "data": data})
}

/// Extracts the text and the usage from a recorded completion body, to stream them again.
pub fn recorded_text(body: &[u8]) -> Option<(String, Value)> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let choice = value.get("choices")?.get(0)?;
    let content = choice
        .get("text")
        .or_else(|| choice.get("message")?.get("content"))?;
    let usage = value.get("usage").cloned().unwrap_or(Value::Null);
    Some((content.as_str()?.to_owned(), usage))
}

fn chunk(call: &Call, choice: &Value) -> Value {
    let object = if is_chat(call) {
        "chat.completion.chunk"
    } else {
        "text_completion"
    };
    json!({
        "id": completion_id(call),
        "object": object,
        "created": 0,
        "model": model_of(call),
        "choices": [choice],
    })
}

fn usage(text: &CompletedText) -> Value {
    let completion = text.tokens.len() as u64;
    json!({
        "prompt_tokens": text.prompt_tokens,
        "completion_tokens": completion,
        "total_tokens": text.prompt_tokens + completion,
    })
}

fn error_type(refusal: &Refusal) -> &'static str {
    match refusal.code.status() {
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}

fn is_chat(call: &Call) -> bool {
    matches!(call.work, Work::Completion { chat: true, .. })
}

fn model_of(call: &Call) -> &str {
    match &call.work {
        Work::Completion { model, .. } => model.as_str(),
        Work::Application { .. } => "",
    }
}

fn completion_id(call: &Call) -> String {
    let prefix = if is_chat(call) { "chatcmpl" } else { "cmpl" };
    format!("{prefix}-{}", call.id)
}
