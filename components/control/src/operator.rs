//! Requests of operators to a replica, and the answers.

use std::collections::BTreeMap;

use garnet_types::{EncodingVersion, Fence, GatewayId, Millis, ReplicaId};
use serde::{Deserialize, Serialize};

use crate::answer::CommandAnswer;
use crate::command::CommandEnvelope;
use crate::configuration::Configuration;

/// A change of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Adds a replica that receives the log.
    AddLearner {
        /// Identity of the replica, found in its log and on its status page.
        id: ReplicaId,
        /// Address for peers and gateways.
        peer_address: String,
        /// Address for operators.
        admin_address: String,
    },
    /// Gives a caught-up learner a vote.
    Promote(ReplicaId),
    /// Removes a replica.
    Remove(ReplicaId),
    /// Transfers leadership to another replica.
    TransferLeadership,
}

/// A request from an operator.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRequest {
    /// Applies a command.
    Command {
        /// The command.
        envelope: CommandEnvelope,
        /// Whether to answer only when the command is in force at all gateways.
        wait: bool,
    },
    /// Changes the members of the group.
    Member(MemberChange),
    /// Reads the configuration from the leader, under its lease.
    Configuration,
    /// Reads the route table's document from the leader, under its lease.
    Routes,
    /// Reads the state of the replica; any replica answers.
    Status,
    /// Raises the encoding level to the version of this build; see `docs/OPERATIONS.md`.
    RaiseLevel,
}

/// State of one member as known to the replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Address for peers and gateways.
    pub peer_address: String,
    /// Address for operators.
    pub admin_address: String,
    /// Whether it votes.
    pub voter: bool,
    /// Highest log index known to be durable there; only the leader knows it.
    pub match_index: Option<u64>,
    /// Milliseconds since its last message; only the leader knows it.
    pub silent_for: Option<Millis>,
    /// Encoding version that it used when it connected last.
    pub version: Option<EncodingVersion>,
}

/// State of one gateway as known to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayView {
    /// Configuration index that it has confirmed.
    pub confirmed_index: u64,
    /// Milliseconds until its lease expires.
    pub lease_left: Millis,
    /// Encoding version of its build, as far as the connection shows it.
    pub version: EncodingVersion,
}

/// State of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusView {
    /// The replica.
    pub replica: ReplicaId,
    /// `leader`, `follower`, `candidate` or `pre_candidate`.
    pub role: String,
    /// Its term.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<ReplicaId>,
    /// Whether it holds the leader's lease now.
    pub holds_lease: bool,
    /// Highest committed index.
    pub commit_index: u64,
    /// Highest applied index.
    pub applied_index: u64,
    /// Configuration index.
    pub configuration_index: u64,
    /// Claims that are kept.
    pub claims: usize,
    /// Encoding version of the build.
    pub version: EncodingVersion,
    /// Version in which the log is written, as far as the log shows it.
    pub level: Option<EncodingVersion>,
    /// Why the replica has stopped applying the log, if it has.
    pub halted: Option<String>,
    /// Whether the group would survive the loss of one more voter now; only the leader
    /// knows it.
    pub survives_one_loss: bool,
    /// Members of the group.
    pub members: BTreeMap<ReplicaId, MemberView>,
    /// Gateways that hold or held a lease; only the leader knows them.
    pub gateways: BTreeMap<GatewayId, GatewayView>,
    /// Outstanding orders by engine.
    pub orders: BTreeMap<String, Fence>,
}

/// An answer to an operator.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorAnswer {
    /// The command is committed.
    Committed {
        /// The state machine's answer.
        answer: CommandAnswer,
        /// Whether every gateway has applied the command or lost its lease.
        in_force: bool,
    },
    /// The configuration.
    Configuration(Box<Configuration>),
    /// The document of the route table in force; `None` before the first one.
    Routes(Option<String>),
    /// State of the replica.
    Status(Box<StatusView>),
    /// This replica is not the leader; the leader's address for operators, if known.
    NotLeader(Option<String>),
    /// The change was refused before it was proposed; it has no effect.
    Refused(String),
    /// The change can't be made yet, because a process of an earlier build could not
    /// handle it; it may be possible later.
    NotYet(String),
    /// The leader lost its leadership before the command was committed; the command may
    /// still be committed. Send it again with the same command id.
    Unconfirmed,
}
