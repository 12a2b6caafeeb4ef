//! Commands in log entries.

use std::sync::Arc;

use garnet_types::{
    BackendId, CommandId, EngineAssignment, Fence, MachineState, Millis, RecordedResponse,
    SessionId,
};
use serde::{Deserialize, Serialize};

use super::configuration::{BackendRegistration, RouteTable};
use super::not_in_v11;
use crate::command::{ClaimCommand, Command as PresentCommand, CommandEnvelope as PresentEnvelope};
use crate::configuration::{EngineObservation, Session};
use crate::encoding::NotInVersion;

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct CommandEnvelope {
    command_id: Option<CommandId>,
    expected_revision: Option<u64>,
    at: Millis,
    command: Command,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
enum Command {
    CreateSession(Session),
    CloseSession(SessionId),
    PutPolicy {
        name: String,
        document: String,
    },
    WithdrawPolicy(String),
    PutRoutes {
        table: RouteTable,
        document: String,
    },
    PutBackend(BackendRegistration),
    SetMachine {
        backend: BackendId,
        state: MachineState,
    },
    RemoveBackend(BackendId),
    Assign {
        engine: BackendId,
        assignment: EngineAssignment,
    },
    BeginOrder(BackendId),
    RenewOrder {
        engine: BackendId,
        replaces: Fence,
    },
    SettleOrder {
        engine: BackendId,
        fence: Fence,
        observation: EngineObservation,
    },
    Observe {
        engine: BackendId,
        observation: EngineObservation,
    },
    Claim(ClaimCommand),
    ReleaseClaim(ClaimCommand),
    RecordResult {
        claim: ClaimCommand,
        response: RecordedResponse,
    },
}

impl TryFrom<&PresentEnvelope> for CommandEnvelope {
    type Error = NotInVersion;

    fn try_from(envelope: &PresentEnvelope) -> Result<Self, NotInVersion> {
        Ok(CommandEnvelope {
            command_id: envelope.command_id.clone(),
            expected_revision: envelope.expected_revision,
            at: envelope.at,
            command: Command::try_from(&envelope.command)?,
        })
    }
}

impl From<CommandEnvelope> for PresentEnvelope {
    fn from(envelope: CommandEnvelope) -> Self {
        PresentEnvelope {
            command_id: envelope.command_id,
            expected_revision: envelope.expected_revision,
            at: envelope.at,
            command: envelope.command.into(),
        }
    }
}

impl TryFrom<&PresentCommand> for Command {
    type Error = NotInVersion;

    fn try_from(command: &PresentCommand) -> Result<Self, NotInVersion> {
        Ok(match command.clone() {
            PresentCommand::CreateSession(session) => Command::CreateSession(session),
            PresentCommand::CloseSession(id) => Command::CloseSession(id),
            PresentCommand::PutPolicy { name, document } => Command::PutPolicy { name, document },
            PresentCommand::WithdrawPolicy(name) => Command::WithdrawPolicy(name),
            PresentCommand::PutRoutes { table, document } => Command::PutRoutes {
                table: table.as_ref().try_into()?,
                document,
            },
            PresentCommand::PutBackend(registration) => Command::PutBackend((&registration).into()),
            PresentCommand::SetMachine { backend, state } => Command::SetMachine { backend, state },
            PresentCommand::RemoveBackend(id) => Command::RemoveBackend(id),
            PresentCommand::Assign { engine, assignment } => Command::Assign { engine, assignment },
            PresentCommand::BeginOrder(engine) => Command::BeginOrder(engine),
            PresentCommand::RenewOrder { engine, replaces } => {
                Command::RenewOrder { engine, replaces }
            }
            PresentCommand::SettleOrder {
                engine,
                fence,
                observation,
            } => Command::SettleOrder {
                engine,
                fence,
                observation,
            },
            PresentCommand::Observe {
                engine,
                observation,
            } => Command::Observe {
                engine,
                observation,
            },
            PresentCommand::Claim(claim) => Command::Claim(claim),
            PresentCommand::ReleaseClaim(claim) => Command::ReleaseClaim(claim),
            PresentCommand::RecordResult { claim, response } => {
                Command::RecordResult { claim, response }
            }
            PresentCommand::BeginIdleOrder(_) => {
                return Err(not_in_v11("an order to an idle pool"));
            }
            PresentCommand::BeginTenure(_) => return Err(not_in_v11("a tenure")),
            PresentCommand::CountUsage(_)
            | PresentCommand::CloseUsage(_)
            | PresentCommand::UsageTold(_) => return Err(not_in_v11("usage")),
            PresentCommand::NoteNeeded { .. } => return Err(not_in_v11("buying of engines")),
            PresentCommand::QuarantineRequest { .. }
            | PresentCommand::ReleaseRequest(_)
            | PresentCommand::NoteSuspects(_) => return Err(not_in_v11("quarantine")),
            PresentCommand::NoteMachines(_) | PresentCommand::ForgetMachines(_) => {
                return Err(not_in_v11("a command of many machines"));
            }
            PresentCommand::RaiseLevel(_) => return Err(not_in_v11("a raise of the level")),
        })
    }
}

impl From<Command> for PresentCommand {
    fn from(command: Command) -> Self {
        match command {
            Command::CreateSession(session) => PresentCommand::CreateSession(session),
            Command::CloseSession(id) => PresentCommand::CloseSession(id),
            Command::PutPolicy { name, document } => PresentCommand::PutPolicy { name, document },
            Command::WithdrawPolicy(name) => PresentCommand::WithdrawPolicy(name),
            Command::PutRoutes { table, document } => PresentCommand::PutRoutes {
                table: Arc::new(table.into()),
                document,
            },
            Command::PutBackend(registration) => PresentCommand::PutBackend(registration.into()),
            Command::SetMachine { backend, state } => PresentCommand::SetMachine { backend, state },
            Command::RemoveBackend(id) => PresentCommand::RemoveBackend(id),
            Command::Assign { engine, assignment } => PresentCommand::Assign { engine, assignment },
            Command::BeginOrder(engine) => PresentCommand::BeginOrder(engine),
            Command::RenewOrder { engine, replaces } => {
                PresentCommand::RenewOrder { engine, replaces }
            }
            Command::SettleOrder {
                engine,
                fence,
                observation,
            } => PresentCommand::SettleOrder {
                engine,
                fence,
                observation,
            },
            Command::Observe {
                engine,
                observation,
            } => PresentCommand::Observe {
                engine,
                observation,
            },
            Command::Claim(claim) => PresentCommand::Claim(claim),
            Command::ReleaseClaim(claim) => PresentCommand::ReleaseClaim(claim),
            Command::RecordResult { claim, response } => {
                PresentCommand::RecordResult { claim, response }
            }
        }
    }
}
