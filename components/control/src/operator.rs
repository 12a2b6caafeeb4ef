//! What operators ask of a replica and what they hear.

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
        /// Its identity, as its log line and status page give it.
        id: ReplicaId,
        /// Where peers and gateways reach it.
        peer_address: String,
        /// Where operators reach it.
        admin_address: String,
    },
    /// Gives a caught-up learner a vote.
    Promote(ReplicaId),
    /// Takes a replica out.
    Remove(ReplicaId),
    /// Asks another replica to lead.
    TransferLeadership,
}

/// A question of an operator.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRequest {
    /// A command; with `wait` the answer comes when it is in force everywhere.
    Command {
        /// The command.
        envelope: CommandEnvelope,
        /// Whether to wait for the gateways.
        wait: bool,
    },
    /// A change of the group.
    Member(MemberChange),
    /// The configuration, as the leader under its lease knows it.
    Configuration,
    /// The route table's document, as the leader under its lease knows it.
    Routes,
    /// State of the replica; any replica answers.
    Status,
    /// Raises the level to the version of this build; see `docs/OPERATIONS.md`.
    RaiseLevel,
}

/// One member as the replica sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Where peers and gateways reach it.
    pub peer_address: String,
    /// Where operators reach it.
    pub admin_address: String,
    /// Whether it votes.
    pub voter: bool,
    /// Highest index known to be durable there, as the leader knows it.
    pub match_index: Option<u64>,
    /// Milliseconds since it was last in touch, as the leader knows it.
    pub silent_for: Option<Millis>,
    /// Encoding version that it spoke when it connected last.
    pub version: Option<EncodingVersion>,
}

/// One gateway as the leader sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayView {
    /// Configuration index that it has confirmed.
    pub confirmed_index: u64,
    /// Milliseconds that its lease has left.
    pub lease_left: Millis,
    /// Encoding version of its build, as far as its connection shows it.
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
    /// The leader, as far as known.
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
    /// Why it applies no more of the log, if it does not.
    pub halted: Option<String>,
    /// Whether one more voter could be lost now; only the leader can say so.
    pub survives_one_loss: bool,
    /// The group.
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
        /// Whether every gateway works by it, or has lost its lease.
        in_force: bool,
    },
    /// The configuration.
    Configuration(Box<Configuration>),
    /// The document of the route table in force, `None` before the first one.
    Routes(Option<String>),
    /// The replica's state.
    Status(Box<StatusView>),
    /// Ask the leader; its address for operators, as far as known.
    NotLeader(Option<String>),
    /// The change was refused before it was proposed; it has no effect.
    Refused(String),
    /// The change has no effect now and may have later: a process of an earlier build
    /// could not follow it.
    NotYet(String),
    /// The leader lost its office before the command was committed: it may yet
    /// be. Send it again with the same command id.
    Unconfirmed,
}
