//! What the log, the hard state and a snapshot hold.

use std::collections::BTreeMap;
use std::sync::Arc;

use garnet_types::ReplicaId;
use serde::{Deserialize, Serialize};

/// One replica as the group knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where peers and gateways reach it, as the driver understands it.
    pub peer_address: String,
    /// Where operators reach it, as the driver understands it.
    pub admin_address: String,
    /// A voter counts in quorums; a learner only receives the log.
    pub voter: bool,
}

/// The replicas of the group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Every voter and learner.
    pub members: BTreeMap<ReplicaId, Member>,
}

impl Membership {
    /// The voters, in order.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.members
            .iter()
            .filter(|(_, member)| member.voter)
            .map(|(id, _)| *id)
    }

    /// Whether `id` votes.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.members.get(&id).is_some_and(|member| member.voter)
    }

    /// Votes that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether `granted` holds a majority of the voters.
    pub fn has_quorum(&self, granted: impl Fn(ReplicaId) -> bool) -> bool {
        self.voters().filter(|id| granted(*id)).count() >= self.quorum()
    }
}

/// What an entry carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Written by each new leader, so that it can commit what came before.
    Noop,
    /// A command of the state machine above.
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The group from this entry on.
    Membership(Membership),
}

/// About as many bytes as one member takes in a message.
const MEMBER_BYTES: usize = 64;

impl EntryPayload {
    /// About as many bytes as it takes in a message.
    pub fn len_bytes(&self) -> usize {
        match self {
            EntryPayload::Noop => 0,
            EntryPayload::Command(bytes) => bytes.len(),
            EntryPayload::Membership(group) => group.members.len() * MEMBER_BYTES,
        }
    }
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position, from 1.
    pub index: u64,
    /// Term of the leader that wrote it.
    pub term: u64,
    /// Content.
    pub payload: EntryPayload,
}

/// What must be durable before any message that relies on it is sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: u64,
    /// Vote given in that term.
    pub voted_for: Option<ReplicaId>,
}

/// The state machine at one index, in place of the log up to it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry it covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// The group at that entry.
    pub membership: Membership,
    /// The state machine's own bytes.
    pub data: Arc<Vec<u8>>,
}
