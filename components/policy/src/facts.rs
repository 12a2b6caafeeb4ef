//! What a condition can ask about a request.

/// Facts of one request; each field is a variable of the conditions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestFacts {
    /// Service that the request is for.
    pub service: String,
    /// Tenant that sent it.
    pub tenant: String,
    /// Session it belongs to; empty when it names none.
    pub session: String,
    /// Model it asks for; empty for an application call.
    pub model: String,
    /// Path below the service, or the path of the completion call.
    pub path: String,
    /// Estimated tokens of its prompt.
    pub prompt_tokens: u64,
    /// Most tokens it wants generated.
    pub max_tokens: u64,
}

/// Names of the variables, for checking a condition.
pub(crate) const VARIABLES: [&str; 7] = [
    "service",
    "tenant",
    "session",
    "model",
    "path",
    "prompt_tokens",
    "max_tokens",
];
