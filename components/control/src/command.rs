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

/// A command with what is common to all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CommandEnvelope {
    /// The operator's name for it: the same name gets the first answer again.
    pub command_id: Option<CommandId>,
    /// Revision that the operator saw of the thing to change; `None` takes
    /// whatever stands. Zero means that it must not exist yet.
    pub expected_revision: Option<u64>,
    /// The leader's clock when it took the command.
    pub at: Millis,
    /// What to do.
    pub command: Command,
}

impl CommandEnvelope {
    /// A command that no operator named, taken at `at`.
    pub fn unnamed(command: Command, at: Millis) -> Self {
        CommandEnvelope {
            command_id: None,
            expected_revision: None,
            at,
            command,
        }
    }
}

/// A change of the replicated state. Variants are appended only: their places are their
/// encoding.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Accepts a session.
    CreateSession(Session),
    /// Ends a session at the operator's wish.
    CloseSession(SessionId),
    /// Writes or replaces a policy. It was checked before it was proposed.
    PutPolicy {
        /// Its name.
        name: String,
        /// Its document.
        document: String,
    },
    /// Withdraws a policy.
    WithdrawPolicy(String),
    /// Replaces the route table. It was checked before it was proposed. A
    /// version that does not exceed the one held changes nothing.
    PutRoutes {
        /// The table.
        table: Arc<RouteTable>,
        /// The document as the operator wrote it, to be read back.
        document: String,
    },
    /// Makes a back end known, or notes its new address.
    PutBackend(BackendRegistration),
    /// Notes what the platform says of a back end's machine.
    SetMachine {
        /// The back end.
        backend: BackendId,
        /// State of its machine.
        state: MachineState,
    },
    /// Forgets a back end.
    RemoveBackend(BackendId),
    /// States what an engine shall become.
    Assign {
        /// The engine.
        engine: BackendId,
        /// What it shall become.
        assignment: EngineAssignment,
    },
    /// Takes the engine out of routing, to order it once it has drained.
    BeginOrder(BackendId),
    /// The same for an engine of a pool that has no work: any number may be out
    /// at once.
    BeginIdleOrder(BackendId),
    /// Puts an outstanding order under the fence of a new leader.
    RenewOrder {
        /// The engine.
        engine: BackendId,
        /// Fence that the order had.
        replaces: Fence,
    },
    /// Closes an order that the engine has carried out.
    SettleOrder {
        /// The engine.
        engine: BackendId,
        /// Fence of the order.
        fence: Fence,
        /// What the engine is now.
        observation: EngineObservation,
    },
    /// Notes what an engine without an order is.
    Observe {
        /// The engine.
        engine: BackendId,
        /// What it is.
        observation: EngineObservation,
    },
    /// Asks for the one right to dispatch a request that is not repeatable.
    Claim(ClaimCommand),
    /// Gives a claim back: its request provably did not and will not run.
    ReleaseClaim(ClaimCommand),
    /// Keeps the answer of a claimed request for resends.
    RecordResult {
        /// The claim.
        claim: ClaimCommand,
        /// The answer.
        response: RecordedResponse,
    },
    /// A replica begins to hold the duties towards the platform; the index of
    /// this command is the fencing token of its calls.
    BeginTenure(ReplicaId),
    /// Notes what gateways counted.
    CountUsage(Vec<UsageReport>),
    /// Closes a window of usage and all before it: what is told of them never
    /// changes from now on.
    CloseUsage(UsageWindow),
    /// Notes how many engines a service needs, where they are bought.
    NoteNeeded {
        /// The service.
        service: ServiceId,
        /// The engines.
        engines: u32,
    },
    /// The platform has taken what was told of a window.
    UsageTold(UsageWindow),
    /// Refuses a request from now on: engines ended under it.
    QuarantineRequest {
        /// The request.
        fingerprint: RequestFingerprint,
        /// Engines that ended.
        crashes: u32,
    },
    /// Refuses it no longer.
    ReleaseRequest(RequestFingerprint),
    /// Notes requests that have come close to being refused.
    NoteSuspects(Vec<SuspectedRequest>),
    /// Notes what the platform's list says of machines.
    NoteMachines(Vec<MachineUpdate>),
    /// Forgets back ends whose machines are gone.
    ForgetMachines(Vec<BackendId>),
    /// Each member reads entries of this version. The entry is of that version itself, so
    /// that a build which does not read it stops there.
    RaiseLevel(EncodingVersion),
}

/// What the platform's list says of one machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineUpdate {
    /// How the back end on it introduces itself.
    pub registration: BackendRegistration,
    /// State of the machine.
    pub state: MachineState,
    /// What an engine is, where that is news.
    pub observed: Option<EngineObservation>,
}

/// A key and who claims it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimCommand {
    /// Whose key.
    pub tenant: TenantId,
    /// The key.
    pub key: IdempotencyKey,
    /// Hash of method, path and body.
    pub body_hash: u64,
    /// Who claims it.
    pub claim: ClaimId,
}
