//! Helpers: a control state with engines, and commands for it.

use garnet_control::{
    BackendRegistration, Command, CommandAnswer, CommandEnvelope, ControlState, EngineObservation,
    UNKNOWN_START,
};
use garnet_types::{
    BackendId, BackendKind, CommandId, EngineAssignment, EngineRole, Millis, ModelId, ServiceId,
};

/// Term of all commands.
pub const TERM: u64 = 3;

/// A state and the index of its last command.
#[derive(Debug, Default)]
pub struct Log {
    pub state: ControlState,
    pub index: u64,
}

impl Log {
    /// Applies a command and returns its answer.
    pub fn apply(&mut self, command: Command) -> CommandAnswer {
        self.apply_envelope(&envelope(command))
    }

    /// Applies a command with its envelope and returns its answer.
    pub fn apply_envelope(&mut self, envelope: &CommandEnvelope) -> CommandAnswer {
        self.index += 1;
        self.state.apply(self.index, TERM, envelope).answer
    }
}

/// An envelope without a command id.
pub fn envelope(command: Command) -> CommandEnvelope {
    CommandEnvelope::unnamed(command, Millis(1000))
}

/// An operator's envelope.
pub fn named(id: &str, expected_revision: Option<u64>, command: Command) -> CommandEnvelope {
    CommandEnvelope {
        command_id: Some(CommandId::new(id)),
        expected_revision,
        ..envelope(command)
    }
}

/// An assignment of a role and a model.
pub fn assignment(role: EngineRole, model: &str) -> EngineAssignment {
    EngineAssignment {
        role,
        model: ModelId::new(model),
    }
}

/// An engine's name.
pub fn engine(number: usize) -> BackendId {
    BackendId::new(format!("engine-{number}"))
}

/// A state with engines of the given roles, all of one pool.
pub fn pool(roles: &[EngineRole]) -> Log {
    let mut log = Log::default();
    for (number, role) in roles.iter().enumerate() {
        log.apply(register(number));
        log.apply(Command::Observe {
            engine: engine(number),
            observation: observation(*role),
        });
    }
    log
}

/// Registers an engine.
pub fn register(number: usize) -> Command {
    Command::PutBackend(BackendRegistration {
        id: engine(number),
        kind: BackendKind::Engine,
        service: ServiceId::new("language"),
        address: format!("127.0.0.1:{}", 9000 + number),
        zone: "a".into(),
        start: UNKNOWN_START,
    })
}

/// The observation of an engine of a role, in its first start.
pub fn observation(role: EngineRole) -> EngineObservation {
    EngineObservation {
        incarnation: 1,
        assignment: assignment(role, "model"),
    }
}

/// Sets the desired role of an engine.
pub fn assign(number: usize, role: EngineRole) -> Command {
    Command::Assign {
        engine: engine(number),
        assignment: assignment(role, "model"),
    }
}
