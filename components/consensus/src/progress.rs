//! What a leader knows of one follower.

use garnet_types::Millis;

/// A follower as its leader sees it.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    /// Highest entry known to be durable there.
    pub match_index: u64,
    /// Next entry to send.
    pub next_index: u64,
    /// Messages with entries under way.
    pub inflight: usize,
    /// Leader's clock when it sent the latest message that was answered.
    pub acknowledged_at: Option<Millis>,
    /// Byte of the snapshot to send next, while one is under way.
    pub snapshot_offset: Option<u64>,
    /// When the leader began to track it.
    pub since: Millis,
    /// When something was last sent, for heartbeats and lost messages.
    pub last_sent: Millis,
}

impl Progress {
    /// A follower of which nothing is known yet.
    pub fn new(next_index: u64, now: Millis) -> Self {
        Progress {
            next_index,
            since: now,
            ..Progress::default()
        }
    }
}
