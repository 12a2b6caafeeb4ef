//! The work that a node returns to its driver.

use crate::entry::{Entry, HardState, Snapshot};
use crate::message::Envelope;

/// One batch of work, in the order in which it must be done.
#[derive(Debug, Default)]
pub struct Ready {
    /// Term and vote to make durable first.
    pub hard_state: Option<HardState>,
    /// Snapshot to make durable and then load into the state machine. It
    /// replaces the whole log.
    pub snapshot: Option<Snapshot>,
    /// Entries to make durable; they replace all entries from the first index on.
    pub entries: Vec<Entry>,
    /// Messages to send once the above is synced.
    pub messages: Vec<Envelope>,
    /// Entries to apply, in order, once the above is synced. The commit index is
    /// made durable as well, so that a restarted replica applies them before it
    /// receives any message.
    pub committed: Vec<Entry>,
}

impl Ready {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        !self.needs_sync() && self.messages.is_empty()
    }

    /// Whether anything must be synced before the messages are sent.
    pub fn needs_sync(&self) -> bool {
        let log_changes =
            self.hard_state.is_some() || self.snapshot.is_some() || !self.entries.is_empty();
        log_changes || !self.committed.is_empty()
    }

    /// Highest index among the committed entries.
    pub fn commit_index(&self) -> Option<u64> {
        self.committed.last().map(|entry| entry.index)
    }
}
