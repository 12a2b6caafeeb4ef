//! Events that a replica handles, and the effects that it asks its driver for.

use garnet_consensus::Envelope;
use garnet_planner::PhaseOccupancy;
use garnet_quarantine::{RefusedParts, RefusedRequest};
use garnet_types::{
    BackendId, BuildId, EncodingVersion, EngineAssignment, EngineOrder, EngineStatus, MachineState,
    OrderAnswer, ReplicaId,
};
use serde::{Deserialize, Serialize};

use crate::configuration::{BackendRegistration, EngineObservation};
use crate::duties::{DutyAnswer, DutyCall};
use crate::encoding::EntryError;
use crate::group_step::GroupStep;
use crate::messages::{ControlReply, GatewayRequest, JoinRequest};
use crate::operator::{OperatorAnswer, OperatorRequest};

/// One entry of the platform's list of machines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineEntry {
    /// The back end on the machine.
    pub registration: BackendRegistration,
    /// State of the machine.
    pub state: MachineState,
    /// State of the engine, if the platform reports it.
    #[serde(default)]
    pub observed: Option<EngineObservation>,
    /// Whether the provider may take the machine away.
    #[serde(default)]
    pub is_preemptible: bool,
    /// Build of the back end's software; empty if the platform does not name it.
    #[serde(default)]
    pub build: BuildId,
}

/// A request to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineRequest {
    /// Report the status.
    Status,
    /// Take another assignment.
    Order(EngineOrder),
}

/// An event that a replica handles.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message from another replica.
    Peer(Envelope),
    /// A request from a gateway.
    Gateway {
        /// Connection on which the reply is sent.
        connection: u64,
        /// The request.
        request: GatewayRequest,
    },
    /// A request from an operator.
    Operator {
        /// Identifies the request; the answer carries the same ticket.
        ticket: u64,
        /// The request.
        request: OperatorRequest,
    },
    /// An engine reported its status.
    EngineStatus {
        /// The engine.
        engine: BackendId,
        /// Its status.
        status: EngineStatus,
    },
    /// An engine answered an order.
    OrderAnswered {
        /// The engine.
        engine: BackendId,
        /// Its answer.
        answer: OrderAnswer,
    },
    /// The platform's list of machines, which lags behind.
    Machines(Vec<MachineEntry>),
    /// A replica asks to join the group.
    Join(JoinRequest),
    /// A member has opened a connection that uses this version.
    MemberOpened {
        /// The member.
        id: ReplicaId,
        /// The version.
        version: EncodingVersion,
    },
    /// A gateway has opened a connection that uses this version.
    GatewayOpened {
        /// The connection.
        connection: u64,
        /// The version.
        version: EncodingVersion,
    },
    /// A gateway's connection has closed.
    GatewayClosed {
        /// The connection.
        connection: u64,
    },
    /// A call to the platform ended.
    DutyAnswered {
        /// The call.
        call: DutyCall,
        /// How it ended.
        answer: DutyAnswer,
    },
}

/// Where and why a replica has stopped applying its log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Halted {
    /// Index of the entry that it can't read.
    pub index: u64,
    /// Why it can't read the entry.
    pub cause: EntryError,
}

/// An action that a replica asks its driver for.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a message to a replica.
    SendPeer(Envelope),
    /// Reply to a gateway.
    ReplyGateway {
        /// Connection of the request.
        connection: u64,
        /// The reply.
        reply: ControlReply,
    },
    /// Answer an operator.
    AnswerOperator {
        /// Ticket of the request.
        ticket: u64,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// Send a request to an engine. Just before it sends an order, the driver reads the
    /// clock and checks [`crate::Replica::may_send_order`] again.
    AskEngine {
        /// The engine.
        engine: BackendId,
        /// Its address.
        address: String,
        /// The request.
        request: EngineRequest,
    },
    /// Call the platform. Just before the call, the driver reads the clock and checks
    /// [`crate::Replica::may_call`] again; it reports [`Event::DutyAnswered`] in any case.
    CallPlatform(DutyCall),
    /// Forward a join request to the leader.
    ForwardJoin {
        /// The leader's address for peers.
        address: String,
        /// The request.
        request: JoinRequest,
    },
    /// The leader assigned a role to an engine to balance prefill and decode.
    Balanced {
        /// The engine.
        engine: BackendId,
        /// The new assignment.
        assignment: EngineAssignment,
        /// Occupancy of the pool that led to the change.
        occupancy: PhaseOccupancy,
    },
    /// The leader changes the members of the group.
    GroupChanged {
        /// The change.
        step: GroupStep,
    },
    /// The replica has stopped applying its log until another build runs there.
    Halted(Halted),
    /// The leader quarantined a request.
    Quarantined(RefusedRequest),
    /// The leader quarantined a set of parts of prompts.
    PartsQuarantined(RefusedParts),
    /// The replica became the leader.
    BecameLeader {
        /// The term.
        term: u64,
    },
    /// The replica is no longer the leader.
    LostLeadership {
        /// The term in which it was the leader.
        term: u64,
    },
}
