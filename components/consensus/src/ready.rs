//! The work a node hands to its driver.

use crate::entry::{Entry, HardState, Snapshot};
use crate::message::Envelope;

/// One batch of work, in the order in which it must be done.
#[derive(Debug, Default)]
pub struct Ready {
    /// To be made durable first.
    pub hard_state: Option<HardState>,
    /// To be made durable and then restored into the state machine; the log
    /// before it is void.
    pub snapshot: Option<Snapshot>,
    /// To be made durable; they replace any entry at or after the first one.
    pub entries: Vec<Entry>,
    /// To be sent once the above is synced.
    pub messages: Vec<Envelope>,
    /// To be applied, in order, once the above is synced. That they are
    /// committed is made durable too: a replica that starts again applies them
    /// before it hears anybody.
    pub committed: Vec<Entry>,
}

impl Ready {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        !self.needs_sync() && self.messages.is_empty()
    }

    /// Whether anything has to be synced before the messages may go.
    pub fn needs_sync(&self) -> bool {
        let log_changes =
            self.hard_state.is_some() || self.snapshot.is_some() || !self.entries.is_empty();
        log_changes || !self.committed.is_empty()
    }

    /// Highest index that is handed out for applying.
    pub fn commit_index(&self) -> Option<u64> {
        self.committed.last().map(|entry| entry.index)
    }
}
