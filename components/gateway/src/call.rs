//! Requests of callers and their answers.

use garnet_types::{
    IdempotencyKey, Millis, ModelId, RecordedResponse, Refusal, RequestId, ServiceId, SessionId,
    TenantId,
};

/// Estimates the number of tokens in a text by counting words, before an engine tokenizes it.
pub fn count_tokens(text: &str) -> u64 {
    text.split_whitespace().count() as u64
}

/// The operation that a caller requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Work {
    /// Text generation.
    Completion {
        /// Requested model.
        model: ModelId,
        /// The complete prompt.
        prompt: String,
        /// Maximum number of tokens to generate.
        max_tokens: u64,
        /// Whether the answer is streamed.
        stream: bool,
        /// Whether the caller used the chat interface.
        chat: bool,
    },
    /// A call of an application service.
    Application {
        /// The service.
        service: ServiceId,
        /// HTTP method.
        method: String,
        /// Path relative to the service, including the query.
        path: String,
        /// Content type of the body.
        content_type: String,
        /// Request body.
        body: Vec<u8>,
    },
}

/// One request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Identifier of the request in this gateway.
    pub id: RequestId,
    /// Tenant, if the caller names one.
    pub tenant: Option<TenantId>,
    /// Session of the request.
    pub session: Option<SessionId>,
    /// Idempotency key: a request with a key is run at most once.
    pub key: Option<IdempotencyKey>,
    /// Time allowed by the caller, from arrival.
    pub deadline: Option<Millis>,
    /// The requested operation.
    pub work: Work,
}

/// A complete generated text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletedText {
    /// Tokens of the text.
    pub tokens: Vec<String>,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Engine that generated the last token.
    pub served_by: String,
    /// Number of times that another engine resumed the text.
    pub resumed: u32,
}

/// The final answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// A complete generated text. If the call is streamed, its tokens were sent before, and this
    /// marks the end of the stream; [`CompletedText::tokens`] holds all of them.
    Text(CompletedText),
    /// A complete response of an application, or a recorded one.
    Response(RecordedResponse),
    /// The request has no complete answer, for the given reason.
    Refused(Refusal),
}
