//! Reasons for refusing a proposal.

use displaydoc::Display;
use garnet_types::ReplicaId;
use thiserror::Error;

/// A proposal was refused and nothing was appended.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ProposeError {
    /// this replica is not the leader
    NotLeader(Option<ReplicaId>),
    /// a leadership transfer is in progress
    Transferring,
    /// an earlier membership change is not committed yet
    ChangePending,
    /// the leader has not yet committed an entry of its own term
    TermNotCommitted,
    /// replica {0} is not a member
    UnknownMember(ReplicaId),
    /// replica {0} is already a member
    AlreadyMember(ReplicaId),
    /// learner {0} has not caught up with the log
    NotCaughtUp(ReplicaId),
    /// the change would leave fewer reachable voters than a quorum
    WouldLoseQuorum,
}
