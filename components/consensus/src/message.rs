//! Messages between replicas.

use garnet_types::{Millis, ReplicaId};
use serde::{Deserialize, Serialize};

use crate::entry::{Entry, Membership};

/// A message and its ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: ReplicaId,
    /// Receiver.
    pub to: ReplicaId,
    /// Sender's term; for a pre-vote the term it would start.
    pub term: u64,
    /// Content.
    pub message: Message,
}

/// What one replica says to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a vote; a pre-vote changes nothing at the receiver.
    RequestVote {
        /// Whether this only asks if a vote would be granted.
        pre_vote: bool,
        /// Whether the old leader asked for the election itself.
        transfer: bool,
        /// Candidate's last entry.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Answer to [`Message::RequestVote`].
    VoteReply {
        /// Kind of the vote that is answered.
        pre_vote: bool,
        /// Whether it is granted.
        granted: bool,
    },
    /// New entries, or none as a heartbeat.
    Append {
        /// Entry before the first one sent.
        previous_index: u64,
        /// Term of that entry.
        previous_term: u64,
        /// Entries in order.
        entries: Vec<Entry>,
        /// Leader's commit index.
        commit_index: u64,
        /// Leader's clock when it sent this; the reply returns it.
        sent_at: Millis,
    },
    /// Answer to [`Message::Append`].
    AppendReply {
        /// Highest entry known to equal the leader's, when accepted.
        match_index: u64,
        /// Whether the entry before the first one sent matched.
        accepted: bool,
        /// Copied from the message that is answered.
        sent_at: Millis,
    },
    /// A chunk of a snapshot.
    SnapshotChunk {
        /// Last entry that the snapshot covers.
        index: u64,
        /// Term of that entry.
        snapshot_term: u64,
        /// The group at that entry.
        membership: Membership,
        /// Where in the snapshot the chunk begins.
        offset: u64,
        /// The chunk.
        #[serde(with = "serde_bytes")]
        data: Vec<u8>,
        /// Whether it is the last one.
        done: bool,
        /// Leader's clock when it sent this.
        sent_at: Millis,
    },
    /// Answer to [`Message::SnapshotChunk`].
    SnapshotReply {
        /// Snapshot that is answered.
        index: u64,
        /// Bytes held so far.
        next_offset: u64,
        /// Copied from the message that is answered.
        sent_at: Millis,
    },
    /// The leader asks a caught-up follower to start an election at once.
    TimeoutNow,
}
