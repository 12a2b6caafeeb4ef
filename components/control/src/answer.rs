//! Answers of the state machine to commands.

use garnet_types::RecordedResponse;
use serde::{Deserialize, Serialize};

/// Answer to a command. A command that is resent under the same id gets the first
/// answer again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandAnswer {
    /// The command was applied.
    Accepted {
        /// Configuration index of the change.
        revision: u64,
    },
    /// The item does not have the expected revision.
    Conflict {
        /// Current revision of the item.
        current_revision: u64,
    },
    /// The named item does not exist.
    NotFound,
    /// The command is not allowed in the current state.
    Rejected(String),
    /// Answer to a claim.
    Claim(ClaimAnswer),
}

/// Answer to a claim on an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The claimant owns the key and may dispatch its request once.
    Granted,
    /// Another request owns the key and has no recorded answer, so this one must not run.
    Held,
    /// The request has run; this is its recorded answer.
    Recorded(RecordedResponse),
    /// The key belongs to a request with another body.
    BodyDiffers,
    /// This claim was released before; its request must not be dispatched any more.
    Released,
    /// The table of claims is full.
    Full,
    /// The release or the recorded answer is in the log.
    Noted,
}
