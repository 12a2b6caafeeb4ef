//! What the state machine answers to a command.

use garnet_types::RecordedResponse;
use serde::{Deserialize, Serialize};

/// Answer to an operator's or the leader's command. A resent command gets the
/// first answer again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandAnswer {
    /// In force from this configuration index on.
    Accepted {
        /// Configuration index of the change.
        revision: u64,
    },
    /// Another command came first.
    Conflict {
        /// Revision that stands now.
        current_revision: u64,
    },
    /// The named thing does not exist.
    NotFound,
    /// The command does not fit the present state.
    Rejected(String),
    /// Answer to a claim.
    Claim(ClaimAnswer),
}

/// Answer to a claim on a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The asker owns the key and may dispatch once.
    Granted,
    /// Another request owns it and has no recorded result: never a second run.
    Held,
    /// The request ran; this is its recorded answer.
    Recorded(RecordedResponse),
    /// The key stands for another body.
    BodyDiffers,
    /// This very claim was given back before; it may not dispatch any more.
    Released,
    /// The table of claims is full.
    Full,
    /// The release or the record is in the log.
    Noted,
}
