//! Hosts and what travels between them.

use garnet_consensus::Envelope;
use garnet_control::{
    ControlReply, EngineRequest, GatewayRequest, MachineEntry, OperatorAnswer, OperatorRequest,
};
use garnet_gateway::{Answer, AttemptEvent, AttemptId, Call, Job};
use garnet_routing::LoadReport;
use garnet_types::{EngineStatus, OrderAnswer, RequestId};

/// One process of the simulated fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Host {
    /// A control replica.
    Control(usize),
    /// A gateway.
    Gateway(usize),
    /// An engine.
    Engine(usize),
    /// An application instance.
    Application(usize),
    /// The platform.
    Platform,
    /// All callers.
    Callers,
    /// An operator.
    Operator(usize),
}

/// What travels.
#[derive(Debug, Clone)]
pub enum Message {
    /// Between replicas.
    Peer(Envelope),
    /// From a gateway to a replica.
    FromGateway(GatewayRequest),
    /// From a replica to a gateway.
    ToGateway(ControlReply),
    /// From a gateway to a replica, on a report connection.
    FromReporter {
        /// The connection.
        connection: u64,
        /// The request.
        request: GatewayRequest,
    },
    /// From a replica to a gateway, on a report connection.
    ToReporter(ControlReply),
    /// From an operator, with the number of its question.
    FromOperator(u64, OperatorRequest),
    /// To an operator.
    ToOperator(u64, OperatorAnswer),
    /// From a replica to an engine.
    AskEngine(EngineRequest),
    /// An engine's state.
    EngineStatus(EngineStatus),
    /// An engine's answer to an order.
    OrderAnswer(OrderAnswer),
    /// A replica reads the platform's list.
    AskMachines,
    /// The list.
    Machines(Vec<MachineEntry>),
    /// From a gateway to a back end.
    StartJob {
        /// The attempt.
        attempt: AttemptId,
        /// Start of the gateway that sent it: a back end that stood still may
        /// find it after that process has ended, and names of attempts begin
        /// anew with each start.
        gateway_start: u64,
        /// The request that it is for.
        request: RequestId,
        /// The work.
        job: Job,
    },
    /// A gateway closes the connection of an attempt.
    CancelJob(AttemptId),
    /// From a back end to a gateway.
    JobEvent(AttemptId, AttemptEvent),
    /// A gateway asks for load.
    AskLoad,
    /// An engine's load.
    Load(LoadReport),
    /// A caller's request.
    Call(Call),
    /// Tokens of a stream: number of the first one, and the tokens.
    Tokens(RequestId, u64, Vec<String>),
    /// The final answer.
    Answer(RequestId, Answer),
    /// The connection ended without an answer.
    Disconnected(RequestId),
}

impl Message {
    /// Whether the protocol bears a lost or repeated message of this kind:
    /// those that travel on connections of their own do not repeat.
    pub fn may_be_lost(&self) -> bool {
        matches!(
            self,
            Message::Peer(_)
                | Message::FromGateway(_)
                | Message::ToGateway(_)
                | Message::FromReporter { .. }
                | Message::ToReporter(_)
                | Message::FromOperator(..)
                | Message::ToOperator(..)
                | Message::AskEngine(_)
                | Message::EngineStatus(_)
                | Message::OrderAnswer(_)
                | Message::AskMachines
                | Message::Machines(_)
                | Message::AskLoad
                | Message::Load(_)
        )
    }
}
