//! Why a proposal is not taken.

use displaydoc::Display;
use garnet_types::ReplicaId;
use thiserror::Error;

/// A proposal that was refused; nothing was appended.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ProposeError {
    /// this replica is not the leader
    NotLeader(Option<ReplicaId>),
    /// the leader is handing its office over
    Transferring,
    /// an earlier membership change is not committed yet
    ChangePending,
    /// the leader has not yet committed an entry of its own term
    TermNotCommitted,
    /// replica {0} is not a member
    UnknownMember(ReplicaId),
    /// replica {0} is a member already
    AlreadyMember(ReplicaId),
    /// learner {0} has not caught up with the log yet
    NotCaughtUp(ReplicaId),
    /// the change would leave fewer reachable voters than a quorum
    WouldLoseQuorum,
}
