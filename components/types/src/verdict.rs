//! A policy's decision about a request.

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// Urgency of a request. Requests are served in the order of the variants.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A person is waiting at a counter or paying.
    Urgent,
    /// A person is waiting at a screen.
    #[default]
    Interactive,
    /// The request may wait for spare capacity.
    Deferrable,
}

impl Class {
    /// Name of the class on the wire and in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Urgent => "urgent",
            Class::Interactive => "interactive",
            Class::Deferrable => "deferrable",
        }
    }

    /// All classes, most urgent first.
    pub const ALL: [Class; 3] = [Class::Urgent, Class::Interactive, Class::Deferrable];
}

/// How a request is to be treated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Urgency of the request.
    pub class: Class,
    /// Time from the arrival of the request to its complete answer.
    pub deadline: Millis,
    /// Whether the request may wait in a queue.
    pub may_wait: bool,
    /// Whether the request may be sent to a second back end once it may have started.
    pub repeatable: bool,
    /// Tokens per second that the tenant may use.
    pub tenant_tokens_per_second: f64,
}

/// Deadline of a request if no policy sets one.
pub const DEFAULT_DEADLINE: Millis = Millis::from_secs(30);
/// Tenant allowance in tokens per second, if no policy sets one.
pub const DEFAULT_TENANT_RATE: f64 = 50_000.0;

impl Default for Verdict {
    /// The safe decision if no policy matches or if a policy fails during evaluation.
    fn default() -> Self {
        Verdict {
            class: Class::Interactive,
            deadline: DEFAULT_DEADLINE,
            may_wait: false,
            repeatable: true,
            tenant_tokens_per_second: DEFAULT_TENANT_RATE,
        }
    }
}
