//! Messages between replicas.

use garnet_types::{Millis, ReplicaId};
use serde::{Deserialize, Serialize};

use crate::entry::{Entry, Membership};

/// A message with its sender and receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: ReplicaId,
    /// Receiver.
    pub to: ReplicaId,
    /// Sender's term; for a pre-vote, the term that the election would start.
    pub term: u64,
    /// Content.
    pub message: Message,
}

/// The content of a message between replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a vote; a pre-vote changes no state at the receiver.
    RequestVote {
        /// Whether this is a pre-vote, which only asks if a vote would be granted.
        pre_vote: bool,
        /// Whether the previous leader started the election by a leadership transfer.
        transfer: bool,
        /// Index of the candidate's last entry.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Answer to [`Message::RequestVote`].
    VoteReply {
        /// Copied from the request.
        pre_vote: bool,
        /// Whether it is granted.
        granted: bool,
    },
    /// Appends entries; without entries, a heartbeat.
    Append {
        /// Index of the entry before the first one sent.
        previous_index: u64,
        /// Term of that entry.
        previous_term: u64,
        /// Entries in order.
        entries: Vec<Entry>,
        /// Leader's commit index.
        commit_index: u64,
        /// Leader's clock when it sent this; copied into the reply.
        sent_at: Millis,
    },
    /// Answer to [`Message::Append`].
    AppendReply {
        /// If accepted, the highest index known to match the leader's log; otherwise
        /// the index after which the leader continues.
        match_index: u64,
        /// Whether the entry before the first one sent matched.
        accepted: bool,
        /// Copied from the request.
        sent_at: Millis,
    },
    /// A chunk of a snapshot.
    SnapshotChunk {
        /// Index of the last entry that the snapshot covers.
        index: u64,
        /// Term of that entry.
        snapshot_term: u64,
        /// Members of the group at that entry.
        membership: Membership,
        /// Byte offset of the chunk in the snapshot.
        offset: u64,
        /// Bytes of the chunk.
        #[serde(with = "serde_bytes")]
        data: Vec<u8>,
        /// Whether this is the last chunk.
        done: bool,
        /// Leader's clock when it sent this.
        sent_at: Millis,
    },
    /// Answer to [`Message::SnapshotChunk`].
    SnapshotReply {
        /// Index of the snapshot.
        index: u64,
        /// Count of bytes received so far, which is the offset of the next chunk.
        next_offset: u64,
        /// Copied from the request.
        sent_at: Millis,
    },
    /// Tells a caught-up follower to start an election at once (leadership transfer).
    TimeoutNow,
}

impl Message {
    /// Approximate encoded size of the entries or of the snapshot's chunk, in bytes.
    pub fn len_bytes(&self) -> usize {
        match self {
            Message::Append { entries, .. } => entries.iter().map(|e| e.payload.len_bytes()).sum(),
            Message::SnapshotChunk { data, .. } => data.len(),
            Message::RequestVote { .. }
            | Message::VoteReply { .. }
            | Message::AppendReply { .. }
            | Message::SnapshotReply { .. }
            | Message::TimeoutNow => 0,
        }
    }
}
