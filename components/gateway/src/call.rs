//! What a caller asks and what it hears.

use garnet_types::{
    IdempotencyKey, Millis, ModelId, RecordedResponse, Refusal, RequestId, ServiceId, SessionId,
    TenantId,
};

/// Tokens of a text as the system counts them before an engine has: words.
pub fn count_tokens(text: &str) -> u64 {
    text.split_whitespace().count() as u64
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Work {
    /// Text generation.
    Completion {
        /// Model asked for.
        model: ModelId,
        /// The whole prompt.
        prompt: String,
        /// Most tokens to generate.
        max_tokens: u64,
        /// Whether tokens are wanted as they come.
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
        /// Path below the service, with its query.
        path: String,
        /// Content type of the body.
        content_type: String,
        /// Body.
        body: Vec<u8>,
    },
}

/// One request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Its name in this gateway.
    pub id: RequestId,
    /// Who asks, when it is said.
    pub tenant: Option<TenantId>,
    /// Session it belongs to.
    pub session: Option<SessionId>,
    /// Marks it as not repeatable.
    pub key: Option<IdempotencyKey>,
    /// Time that the caller gives it, from arrival.
    pub deadline: Option<Millis>,
    /// What is to be done.
    pub work: Work,
}

/// A whole generated text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletedText {
    /// Its tokens.
    pub tokens: Vec<String>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Engine that gave the last token.
    pub served_by: String,
    /// Times that another engine took over.
    pub resumed: u32,
}

/// The one final answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// A whole generated text. When the call streams, its tokens were handed
    /// out before, and this is the explicit end with their count.
    Text(CompletedText),
    /// A whole response: of an application, or one that was recorded.
    Response(RecordedResponse),
    /// No whole answer, and why.
    Refused(Refusal),
}
