//! The request attributes that conditions can use.

/// Facts about one request. Each field is a variable in conditions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestFacts {
    /// Service that the request is sent to.
    pub service: String,
    /// Tenant that sent the request.
    pub tenant: String,
    /// Session of the request; empty if it has none.
    pub session: String,
    /// Requested model; empty for an application call.
    pub model: String,
    /// Path relative to the service, or the path of the completion call.
    pub path: String,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
}

/// Names of the variables that a condition may use.
pub(crate) const VARIABLES: [&str; 7] = [
    "service",
    "tenant",
    "session",
    "model",
    "path",
    "prompt_tokens",
    "max_tokens",
];
