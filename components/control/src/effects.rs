//! What a replica takes and what it wants done.

use garnet_consensus::Envelope;
use garnet_planner::PhaseOccupancy;
use garnet_quarantine::RefusedRequest;
use garnet_types::{
    BackendId, EncodingVersion, EngineAssignment, EngineOrder, EngineStatus, MachineState,
    OrderAnswer, ReplicaId,
};
use serde::{Deserialize, Serialize};

use crate::configuration::{BackendRegistration, EngineObservation};
use crate::duties::{DutyAnswer, DutyCall};
use crate::encoding::EntryError;
use crate::group_step::GroupStep;
use crate::messages::{ControlReply, GatewayRequest, JoinRequest};
use crate::operator::{OperatorAnswer, OperatorRequest};

/// One line of the platform's list of machines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineEntry {
    /// The back end on the machine.
    pub registration: BackendRegistration,
    /// What the platform believes of the machine.
    pub state: MachineState,
    /// What the platform saw the engine to be, where it tells that.
    #[serde(default)]
    pub observed: Option<EngineObservation>,
    /// Whether the provider may take the machine away.
    #[serde(default)]
    pub is_preemptible: bool,
}

/// A question to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineRequest {
    /// How it is.
    Status,
    /// Become another.
    Order(EngineOrder),
}

/// Something that happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message of another replica.
    Peer(Envelope),
    /// A request of a gateway; `connection` takes the reply.
    Gateway {
        /// Where the reply goes.
        connection: u64,
        /// The request.
        request: GatewayRequest,
    },
    /// A question of an operator; `ticket` takes the answer.
    Operator {
        /// Where the answer goes.
        ticket: u64,
        /// The question.
        request: OperatorRequest,
    },
    /// An engine told its state.
    EngineStatus {
        /// The engine.
        engine: BackendId,
        /// Its state.
        status: EngineStatus,
    },
    /// An engine answered an order.
    EngineOrder {
        /// The engine.
        engine: BackendId,
        /// Its answer.
        answer: OrderAnswer,
    },
    /// The platform's list, which lags.
    Machines(Vec<MachineEntry>),
    /// A replica asks to be a member.
    Join(JoinRequest),
    /// A member has opened a connection and speaks this version.
    MemberOpened {
        /// The member.
        id: ReplicaId,
        /// The version.
        version: EncodingVersion,
    },
    /// A gateway has opened a connection that speaks this version.
    GatewayOpened {
        /// The connection.
        connection: u64,
        /// The version.
        version: EncodingVersion,
    },
    /// A gateway's connection is over.
    GatewayClosed {
        /// The connection.
        connection: u64,
    },
    /// A call to the platform ended.
    DutyAnswered {
        /// What was called.
        call: DutyCall,
        /// How it ended.
        answer: DutyAnswer,
    },
}

/// Where and why a replica applies no more of its log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Halted {
    /// The entry that it can't read.
    pub index: u64,
    /// Why.
    pub cause: EntryError,
}

/// Something to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a message to a replica.
    SendPeer(Envelope),
    /// Reply to a gateway.
    ReplyGateway {
        /// Where the reply goes.
        connection: u64,
        /// The reply.
        reply: ControlReply,
    },
    /// Answer an operator.
    AnswerOperator {
        /// Where the answer goes.
        ticket: u64,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// Ask an engine. The driver reads the clock and asks
    /// [`crate::Replica::may_send_order`] again just before it sends an order.
    AskEngine {
        /// The engine.
        engine: BackendId,
        /// Its address.
        address: String,
        /// The question.
        request: EngineRequest,
    },
    /// Call the platform. The driver reads the clock and asks
    /// [`crate::Replica::may_call`] again just before it does, and answers with
    /// [`Event::DutyAnswered`] in any case.
    CallPlatform(DutyCall),
    /// Pass a wish to join on to the leader.
    ForwardJoin {
        /// The leader's address for peers.
        address: String,
        /// The wish.
        request: JoinRequest,
    },
    /// The leader states a role for an engine, to balance the phases.
    Balanced {
        /// The engine.
        engine: BackendId,
        /// What it shall become.
        assignment: EngineAssignment,
        /// What was seen.
        occupancy: PhaseOccupancy,
    },
    /// The leader changes the group.
    GroupChanged {
        /// The step that it takes.
        step: GroupStep,
    },
    /// The replica applies no more of its log, until another build runs there.
    Halted(Halted),
    /// The leader refuses a request from now on.
    Quarantined(RefusedRequest),
    /// The replica began to lead in this term.
    BecameLeader {
        /// The term.
        term: u64,
    },
    /// The replica stopped leading.
    LostLeadership {
        /// The term in which it led.
        term: u64,
    },
}
