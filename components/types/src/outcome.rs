//! The outcomes that a caller can get for a request.

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// Whether the request ran on a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Execution {
    /// It provably did not run and may be sent again.
    No,
    /// It ran.
    Yes,
    /// It may have run; the system does not repeat it.
    Unknown,
}

/// Why a request was refused or did not complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeCode {
    /// No back end started the request, and none will.
    NotRun,
    /// The request may have run. Sending it again with the same key never runs it a
    /// second time.
    InDoubt,
    /// The system is at a limit, or the answer would probably be late.
    Overloaded,
    /// The tenant has used up its allowance.
    TenantLimit,
    /// The deadline can't be met any more.
    Deadline,
    /// The idempotency key was used with another body.
    Conflict,
    /// The request is malformed or not allowed.
    Invalid,
    /// The named model, service or session does not exist.
    NotFound,
    /// The request started, broke off and can't be resumed.
    Failed,
    /// No back end starts the request because it has crashed engines.
    Quarantined,
}

impl OutcomeCode {
    /// Name of the code on the wire and in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            OutcomeCode::NotRun => "not_run",
            OutcomeCode::InDoubt => "in_doubt",
            OutcomeCode::Overloaded => "overloaded",
            OutcomeCode::TenantLimit => "tenant_limit",
            OutcomeCode::Deadline => "deadline",
            OutcomeCode::Conflict => "conflict",
            OutcomeCode::Invalid => "invalid",
            OutcomeCode::NotFound => "not_found",
            OutcomeCode::Failed => "failed",
            OutcomeCode::Quarantined => "quarantined",
        }
    }

    /// HTTP status of an answer with this code.
    pub fn status(self) -> u16 {
        match self {
            OutcomeCode::NotRun | OutcomeCode::Overloaded => 503,
            OutcomeCode::TenantLimit | OutcomeCode::Quarantined => 429,
            OutcomeCode::InDoubt | OutcomeCode::Conflict => 409,
            OutcomeCode::Deadline => 504,
            OutcomeCode::Invalid => 400,
            OutcomeCode::NotFound => 404,
            OutcomeCode::Failed => 502,
        }
    }
}

/// An answer that the system gives instead of a back end's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request was refused.
    pub code: OutcomeCode,
    /// Whether the request ran on a back end.
    pub ran: Execution,
    /// How long to wait before sending the request again, where that makes sense.
    pub retry_after: Option<Millis>,
    /// Explanation for a person, one sentence.
    pub message: String,
}

impl Refusal {
    /// A refusal of a request that provably did not run and may be retried.
    pub fn not_run(code: OutcomeCode, retry_after: Millis, message: impl Into<String>) -> Self {
        Refusal {
            code,
            ran: Execution::No,
            retry_after: Some(retry_after),
            message: message.into(),
        }
    }

    /// A refusal of a request that did not run and would be refused again after a wait.
    pub fn permanent(code: OutcomeCode, message: impl Into<String>) -> Self {
        Refusal {
            code,
            ran: Execution::No,
            retry_after: None,
            message: message.into(),
        }
    }

    /// A refusal of a request that a back end may have run.
    pub fn in_doubt(retry_after: Millis, message: impl Into<String>) -> Self {
        Refusal {
            code: OutcomeCode::InDoubt,
            ran: Execution::Unknown,
            retry_after: Some(retry_after),
            message: message.into(),
        }
    }

    /// A refusal of a request that started and can't be finished.
    pub fn failed(message: impl Into<String>) -> Self {
        Refusal {
            code: OutcomeCode::Failed,
            ran: Execution::Yes,
            retry_after: None,
            message: message.into(),
        }
    }
}

/// A complete answer, recorded to answer a resent request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status of the answer.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Body of the answer.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// The back end that gave the answer.
    pub served_by: String,
}

/// Final outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The complete answer.
    Completed(RecordedResponse),
    /// There is no complete answer, for this reason.
    Refused(Refusal),
}
