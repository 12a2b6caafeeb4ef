//! The closed set of answers a caller can get, each with one meaning.

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// Whether the request ran on a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Execution {
    /// Provably not: it may be sent again.
    No,
    /// It did.
    Yes,
    /// It may have; the system does not repeat it.
    Unknown,
}

/// Why a request was refused or given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeCode {
    /// No back end began it, and none will.
    NotRun,
    /// It may have run; a resend with the same key never runs it a second time.
    InDoubt,
    /// The limits or the predicted lateness forbid it now.
    Overloaded,
    /// The tenant used its own allowance up.
    TenantLimit,
    /// Its deadline can't be met any more.
    Deadline,
    /// The key stands for another body.
    Conflict,
    /// The request itself is at fault.
    Invalid,
    /// The named model, service or session does not exist.
    NotFound,
    /// It began and was broken off without the means to go on.
    Failed,
    /// No back end begins it: engines ended under this very request.
    Quarantined,
}

impl OutcomeCode {
    /// The code on the wire and in metrics.
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

    /// The HTTP status that carries the code.
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

/// An answer other than the work's own result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The meaning.
    pub code: OutcomeCode,
    /// Whether the request ran.
    pub ran: Execution,
    /// How long to wait before sending again, where that makes sense.
    pub retry_after: Option<Millis>,
    /// One sentence for a person.
    pub message: String,
}

impl Refusal {
    /// A refusal of a request that provably did not run.
    pub fn not_run(code: OutcomeCode, retry_after: Millis, message: impl Into<String>) -> Self {
        Refusal {
            code,
            ran: Execution::No,
            retry_after: Some(retry_after),
            message: message.into(),
        }
    }

    /// A refusal of a request that is at fault itself: waiting won't help.
    pub fn permanent(code: OutcomeCode, message: impl Into<String>) -> Self {
        Refusal {
            code,
            ran: Execution::No,
            retry_after: None,
            message: message.into(),
        }
    }

    /// The answer when a back end may have run the request.
    pub fn in_doubt(retry_after: Millis, message: impl Into<String>) -> Self {
        Refusal {
            code: OutcomeCode::InDoubt,
            ran: Execution::Unknown,
            retry_after: Some(retry_after),
            message: message.into(),
        }
    }

    /// The answer when work that had begun can't be finished.
    pub fn failed(message: impl Into<String>) -> Self {
        Refusal {
            code: OutcomeCode::Failed,
            ran: Execution::Yes,
            retry_after: None,
            message: message.into(),
        }
    }
}

/// A whole answer as it is kept for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// The back end that gave the answer.
    pub served_by: String,
}

/// The one final answer of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The whole answer.
    Completed(RecordedResponse),
    /// No whole answer, and why.
    Refused(Refusal),
}
