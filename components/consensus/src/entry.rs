//! Contents of the log, the hard state and a snapshot.

use std::collections::BTreeMap;
use std::sync::Arc;

use garnet_types::ReplicaId;
use serde::{Deserialize, Serialize};

/// One replica of the group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address for peers and gateways; its format is up to the driver.
    pub peer_address: String,
    /// Address of its admin interface; its format is up to the driver.
    pub admin_address: String,
    /// Whether it is a voter, which counts in quorums, or a learner, which only
    /// receives the log.
    pub voter: bool,
}

/// The replicas of the group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Every voter and learner.
    pub members: BTreeMap<ReplicaId, Member>,
}

impl Membership {
    /// The voters, ordered by identity.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.members
            .iter()
            .filter(|(_, member)| member.voter)
            .map(|(id, _)| *id)
    }

    /// Whether `id` is a voter.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.members.get(&id).is_some_and(|member| member.voter)
    }

    /// Number of votes that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether `granted` is true for a majority of the voters.
    pub fn has_quorum(&self, granted: impl Fn(ReplicaId) -> bool) -> bool {
        self.voters().filter(|id| granted(*id)).count() >= self.quorum()
    }
}

/// The content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Appended by each new leader so that it can commit entries of earlier terms.
    Noop,
    /// A command for the replicated state machine.
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The members of the group from this entry on.
    Membership(Membership),
}

/// Approximate encoded size of one member.
const MEMBER_BYTES: usize = 64;

impl EntryPayload {
    /// Approximate encoded size, in bytes.
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
    /// Index in the log, starting at 1.
    pub index: u64,
    /// Term of the leader that appended it.
    pub term: u64,
    /// Content.
    pub payload: EntryPayload,
}

/// State that must be durable before any message that depends on it is sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: u64,
    /// Vote given in that term.
    pub voted_for: Option<ReplicaId>,
}

/// The state machine at one index; it replaces the log up to that index.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that it covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Members of the group at that entry.
    pub membership: Membership,
    /// The encoded state machine.
    pub data: Arc<Vec<u8>>,
}
