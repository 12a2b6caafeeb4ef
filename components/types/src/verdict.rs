//! What a policy says of one request.

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// How urgent a request is; the order of the variants is the order of service.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Somebody waits at a counter or pays.
    Urgent,
    /// Somebody looks at a screen.
    #[default]
    Interactive,
    /// May wait for spare capacity.
    Deferrable,
}

impl Class {
    /// Name on the wire and in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Urgent => "urgent",
            Class::Interactive => "interactive",
            Class::Deferrable => "deferrable",
        }
    }

    /// Every class, most urgent first.
    pub const ALL: [Class; 3] = [Class::Urgent, Class::Interactive, Class::Deferrable];
}

/// How one request is to be treated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Class of service.
    pub class: Class,
    /// Time from arrival to the whole answer.
    pub deadline: Millis,
    /// Whether it may wait in a queue.
    pub may_wait: bool,
    /// Whether it may be sent to a second back end after it may have begun.
    pub repeatable: bool,
    /// Tokens a second that the tenant may use.
    pub tenant_tokens_per_second: f64,
}

/// Deadline where no policy gives one.
pub const DEFAULT_DEADLINE: Millis = Millis::from_secs(30);
/// Tenant allowance where no policy gives one, in tokens a second.
pub const DEFAULT_TENANT_RATE: f64 = 50_000.0;

impl Default for Verdict {
    /// The safe result where no policy matches or one fails while it runs.
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
