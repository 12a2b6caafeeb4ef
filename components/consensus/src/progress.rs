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
    /// When something was last sent, for heartbeats.
    pub last_sent: Millis,
    /// When entries were last sent.
    pub entries_sent_at: Millis,
    /// When the leader last began anew from what is known to match: refusals of
    /// what was sent before tell nothing new.
    pub began_anew_at: Millis,
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

    /// Whether the entries under way are lost: the follower has answered
    /// something that was sent after them, or nothing for `silence`. Messages to
    /// one follower arrive in their order.
    pub fn has_lost_entries(&self, silence: Millis, now: Millis) -> bool {
        let under_way = self.next_index > self.match_index + 1;
        let overtaken = self.acknowledged_at > Some(self.entries_sent_at);
        under_way && (overtaken || now.since(self.entries_sent_at) >= silence)
    }

    /// Begins anew from an entry, with nothing under way.
    pub fn begin_anew(&mut self, next_index: u64, now: Millis) {
        self.next_index = next_index;
        self.inflight = 0;
        self.began_anew_at = now;
    }
}
