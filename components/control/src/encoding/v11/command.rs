//! Commands in log entries.

use std::sync::Arc;

use garnet_types::{
    BackendId, CommandId, EngineAssignment, Fence, MachineState, Millis, RecordedResponse,
    SessionId,
};
use serde::{Deserialize, Serialize};

use super::configuration::{BackendRegistration, RouteTable};
use super::not_in_v11;
use crate::command::{ClaimCommand, Command as CurrentCommand, CommandEnvelope as CurrentEnvelope};
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

impl TryFrom<&CurrentEnvelope> for CommandEnvelope {
    type Error = NotInVersion;

    fn try_from(envelope: &CurrentEnvelope) -> Result<Self, NotInVersion> {
        Ok(CommandEnvelope {
            command_id: envelope.command_id.clone(),
            expected_revision: envelope.expected_revision,
            at: envelope.at,
            command: Command::try_from(&envelope.command)?,
        })
    }
}

impl From<CommandEnvelope> for CurrentEnvelope {
    fn from(envelope: CommandEnvelope) -> Self {
        CurrentEnvelope {
            command_id: envelope.command_id,
            expected_revision: envelope.expected_revision,
            at: envelope.at,
            command: envelope.command.into(),
        }
    }
}

impl TryFrom<&CurrentCommand> for Command {
    type Error = NotInVersion;

    fn try_from(command: &CurrentCommand) -> Result<Self, NotInVersion> {
        Ok(match command.clone() {
            CurrentCommand::CreateSession(session) => Command::CreateSession(session),
            CurrentCommand::CloseSession(id) => Command::CloseSession(id),
            CurrentCommand::PutPolicy { name, document } => Command::PutPolicy { name, document },
            CurrentCommand::WithdrawPolicy(name) => Command::WithdrawPolicy(name),
            CurrentCommand::PutRoutes { table, document } => Command::PutRoutes {
                table: table.as_ref().try_into()?,
                document,
            },
            CurrentCommand::PutBackend(registration) => Command::PutBackend((&registration).into()),
            CurrentCommand::SetMachine { backend, state } => Command::SetMachine { backend, state },
            CurrentCommand::RemoveBackend(id) => Command::RemoveBackend(id),
            CurrentCommand::Assign { engine, assignment } => Command::Assign { engine, assignment },
            CurrentCommand::BeginOrder(engine) => Command::BeginOrder(engine),
            CurrentCommand::RenewOrder { engine, replaces } => {
                Command::RenewOrder { engine, replaces }
            }
            CurrentCommand::SettleOrder {
                engine,
                fence,
                observation,
            } => Command::SettleOrder {
                engine,
                fence,
                observation,
            },
            CurrentCommand::Observe {
                engine,
                observation,
            } => Command::Observe {
                engine,
                observation,
            },
            CurrentCommand::Claim(claim) => Command::Claim(claim),
            CurrentCommand::ReleaseClaim(claim) => Command::ReleaseClaim(claim),
            CurrentCommand::RecordResult { claim, response } => {
                Command::RecordResult { claim, response }
            }
            CurrentCommand::BeginIdleOrder(_) => {
                return Err(not_in_v11("an order to an idle pool"));
            }
            CurrentCommand::BeginTenure(_) => return Err(not_in_v11("a tenure")),
            CurrentCommand::CountUsage(_)
            | CurrentCommand::CloseUsage(_)
            | CurrentCommand::UsageTold(_) => return Err(not_in_v11("usage")),
            CurrentCommand::NoteNeeded { .. } => return Err(not_in_v11("buying of engines")),
            CurrentCommand::QuarantineRequest { .. }
            | CurrentCommand::ReleaseRequest(_)
            | CurrentCommand::NoteSuspects(_) => return Err(not_in_v11("quarantine")),
            CurrentCommand::NoteMachines(_) | CurrentCommand::ForgetMachines(_) => {
                return Err(not_in_v11("a command of many machines"));
            }
            CurrentCommand::RaiseLevel(_) => return Err(not_in_v11("a raise of the level")),
        })
    }
}

impl From<Command> for CurrentCommand {
    fn from(command: Command) -> Self {
        match command {
            Command::CreateSession(session) => CurrentCommand::CreateSession(session),
            Command::CloseSession(id) => CurrentCommand::CloseSession(id),
            Command::PutPolicy { name, document } => CurrentCommand::PutPolicy { name, document },
            Command::WithdrawPolicy(name) => CurrentCommand::WithdrawPolicy(name),
            Command::PutRoutes { table, document } => CurrentCommand::PutRoutes {
                table: Arc::new(table.into()),
                document,
            },
            Command::PutBackend(registration) => CurrentCommand::PutBackend(registration.into()),
            Command::SetMachine { backend, state } => CurrentCommand::SetMachine { backend, state },
            Command::RemoveBackend(id) => CurrentCommand::RemoveBackend(id),
            Command::Assign { engine, assignment } => CurrentCommand::Assign { engine, assignment },
            Command::BeginOrder(engine) => CurrentCommand::BeginOrder(engine),
            Command::RenewOrder { engine, replaces } => {
                CurrentCommand::RenewOrder { engine, replaces }
            }
            Command::SettleOrder {
                engine,
                fence,
                observation,
            } => CurrentCommand::SettleOrder {
                engine,
                fence,
                observation,
            },
            Command::Observe {
                engine,
                observation,
            } => CurrentCommand::Observe {
                engine,
                observation,
            },
            Command::Claim(claim) => CurrentCommand::Claim(claim),
            Command::ReleaseClaim(claim) => CurrentCommand::ReleaseClaim(claim),
            Command::RecordResult { claim, response } => {
                CurrentCommand::RecordResult { claim, response }
            }
        }
    }
}
