//! Commands of the replicated log.

use std::sync::Arc;

use garnet_quarantine::{RequestFingerprint, SuspectedRequest};
use garnet_routes::RouteTable;
use garnet_types::{
    BackendId, ClaimId, CommandId, EncodingVersion, EngineAssignment, Fence, IdempotencyKey,
    MachineState, Millis, RecordedResponse, ReplicaId, ServiceId, SessionId, TenantId, UsageWindow,
};
use serde::{Deserialize, Serialize};

use crate::configuration::{BackendRegistration, EngineObservation, Session};
use crate::usage::UsageReport;

/// A command with the fields that all commands have.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CommandEnvelope {
    /// Id that the operator chose; a resent command with the same id gets the first
    /// answer again.
    pub command_id: Option<CommandId>,
    /// Revision of the item that the operator wants to change; `None` accepts any
    /// revision. Zero means that the item must not exist yet.
    pub expected_revision: Option<u64>,
    /// The leader's clock when it accepted the command.
    pub at: Millis,
    /// The command itself.
    pub command: Command,
}

impl CommandEnvelope {
    /// A command without an id, accepted at `at`.
    pub fn unnamed(command: Command, at: Millis) -> Self {
        CommandEnvelope {
            command_id: None,
            expected_revision: None,
            at,
            command,
        }
    }
}

/// A change of the replicated state. New variants are appended only, as the position of a
/// variant is its encoding.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Creates a session.
    CreateSession(Session),
    /// Ends a session on an operator's request.
    CloseSession(SessionId),
    /// Creates or replaces a policy. It was checked before the command was proposed.
    PutPolicy {
        /// Name of the policy.
        name: String,
        /// Document of the policy.
        document: String,
    },
    /// Withdraws a policy.
    WithdrawPolicy(String),
    /// Replaces the route table. It was checked before the command was proposed. A table
    /// whose version is not higher than the current one changes nothing.
    PutRoutes {
        /// The table.
        table: Arc<RouteTable>,
        /// The document as the operator wrote it, returned when operators read it.
        document: String,
    },
    /// Registers a back end or updates its registration.
    PutBackend(BackendRegistration),
    /// Records the state of a back end's machine as the platform reports it.
    SetMachine {
        /// The back end.
        backend: BackendId,
        /// State of the machine.
        state: MachineState,
    },
    /// Removes a back end.
    RemoveBackend(BackendId),
    /// Sets the desired assignment of an engine.
    Assign {
        /// The engine.
        engine: BackendId,
        /// The desired assignment.
        assignment: EngineAssignment,
    },
    /// Takes an engine out of routing; it is sent the order once it has drained.
    BeginOrder(BackendId),
    /// The same for an engine of a pool without work, of which any number may be out of
    /// routing at once.
    BeginIdleOrder(BackendId),
    /// Gives an outstanding order the fence of a new leader.
    RenewOrder {
        /// The engine.
        engine: BackendId,
        /// Previous fence of the order.
        replaces: Fence,
    },
    /// Closes an order that the engine has carried out.
    SettleOrder {
        /// The engine.
        engine: BackendId,
        /// Fence of the order.
        fence: Fence,
        /// State of the engine after the order.
        observation: EngineObservation,
    },
    /// Records the state of an engine without an order.
    Observe {
        /// The engine.
        engine: BackendId,
        /// State of the engine.
        observation: EngineObservation,
    },
    /// Claims the exclusive right to dispatch a request that must run at most once.
    Claim(ClaimCommand),
    /// Releases a claim whose request provably did not run and will not run.
    ReleaseClaim(ClaimCommand),
    /// Records the answer of a claimed request for resends.
    RecordResult {
        /// The claim.
        claim: ClaimCommand,
        /// The answer.
        response: RecordedResponse,
    },
    /// Makes a replica the holder of the duties towards the platform; the log index of
    /// this command is the fencing token of its calls.
    BeginTenure(ReplicaId),
    /// Records the counts that gateways reported.
    CountUsage(Vec<UsageReport>),
    /// Closes a usage window and all earlier ones: what is reported of them does not
    /// change any more.
    CloseUsage(UsageWindow),
    /// Records how many engines a service needs, if its engines are bought.
    NoteNeeded {
        /// The service.
        service: ServiceId,
        /// Number of engines.
        engines: u32,
    },
    /// The platform has accepted the report of a usage window.
    UsageTold(UsageWindow),
    /// Quarantines a request because engines ended while they ran it.
    QuarantineRequest {
        /// The request.
        fingerprint: RequestFingerprint,
        /// Number of engines that ended.
        crashes: u32,
    },
    /// Ends the quarantine of a request.
    ReleaseRequest(RequestFingerprint),
    /// Records requests that are suspected of crashing engines but not quarantined yet.
    NoteSuspects(Vec<SuspectedRequest>),
    /// Records changes in the platform's list of machines.
    NoteMachines(Vec<MachineUpdate>),
    /// Removes back ends whose machines are gone.
    ForgetMachines(Vec<BackendId>),
    /// States that each member can read entries of this version. The entry is written in
    /// that version itself, so that a build that can't read it stops there.
    RaiseLevel(EncodingVersion),
}

/// State of one machine in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineUpdate {
    /// Registration of the back end on the machine.
    pub registration: BackendRegistration,
    /// State of the machine.
    pub state: MachineState,
    /// State of the engine, if it has changed.
    pub observed: Option<EngineObservation>,
}

/// A claim on an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimCommand {
    /// Tenant that the key belongs to.
    pub tenant: TenantId,
    /// The key.
    pub key: IdempotencyKey,
    /// Hash of method, path and body.
    pub body_hash: u64,
    /// Id of the claim.
    pub claim: ClaimId,
}
