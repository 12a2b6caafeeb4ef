//! A leader's record of one follower.

use garnet_types::Millis;

/// Replication progress of one follower.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    /// Highest index known to be durable on the follower.
    pub match_index: u64,
    /// Index of the next entry to send.
    pub next_index: u64,
    /// Count of messages with entries in flight.
    pub inflight: usize,
    /// Leader's clock when it sent the latest message that the follower acknowledged.
    pub acknowledged_at: Option<Millis>,
    /// Offset of the next snapshot byte to send, while a snapshot is in flight.
    pub snapshot_offset: Option<u64>,
    /// When a snapshot chunk was last sent.
    pub snapshot_sent_at: Millis,
    /// When the leader began to track the follower.
    pub since: Millis,
    /// When a message was last sent, for heartbeats.
    pub last_sent: Millis,
    /// When entries were last sent.
    pub entries_sent_at: Millis,
    /// When the leader last went back to the entries known to match. Rejections of
    /// messages sent before that are ignored.
    pub rewound_at: Millis,
}

impl Progress {
    /// The record of a follower whose log is not known yet.
    pub fn new(next_index: u64, now: Millis) -> Self {
        Progress {
            next_index,
            since: now,
            ..Progress::default()
        }
    }

    /// Whether the entries in flight are lost: the follower acknowledged a message
    /// that was sent after them, or they were sent at least `silence` ago. Messages
    /// to one follower arrive in order.
    pub fn has_lost_entries(&self, silence: Millis, now: Millis) -> bool {
        let has_unacknowledged = self.next_index > self.match_index + 1;
        let overtaken = self.acknowledged_at > Some(self.entries_sent_at);
        has_unacknowledged && (overtaken || now.since(self.entries_sent_at) >= silence)
    }

    /// Continues from `next_index`, with nothing in flight.
    pub fn rewind_to(&mut self, next_index: u64, now: Millis) {
        self.next_index = next_index;
        self.inflight = 0;
        self.rewound_at = now;
    }
}
