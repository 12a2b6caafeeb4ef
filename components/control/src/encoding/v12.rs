//! Encoding versions 12 to 15, of log entries and snapshots. Back ends have no start;
//! everything else is as in version 16.

use std::collections::BTreeMap;
use std::sync::Arc;

use garnet_quarantine::RequestFingerprint;
use garnet_routes::RouteTable;
use garnet_types::{BackendId, CommandId, MachineState, Millis, SessionId};
use serde::{Deserialize, Serialize};

use super::decoded;
use super::v11::{BackendRecord, BackendRegistration};
use crate::command::{Command, CommandEnvelope, MachineUpdate as CurrentMachineUpdate};
use crate::configuration::{
    Configuration as CurrentConfiguration, EngineObservation, PolicyRecord, QuarantineRecord,
    Session,
};

/// Variant index of [`Command::PutBackend`].
const PUT_BACKEND: u32 = 5;
/// Variant index of [`Command::NoteMachines`].
const NOTE_MACHINES: u32 = 25;

/// The fields common to all commands, and the variant index of the command.
#[derive(Debug, Serialize, Deserialize)]
struct EnvelopeHead {
    command_id: Option<CommandId>,
    expected_revision: Option<u64>,
    at: Millis,
    command: u32,
}

#[derive(Debug, Serialize, Deserialize)]
struct MachineUpdate {
    registration: BackendRegistration,
    state: MachineState,
    observed: Option<EngineObservation>,
}

impl From<MachineUpdate> for CurrentMachineUpdate {
    fn from(update: MachineUpdate) -> Self {
        CurrentMachineUpdate {
            registration: update.registration.into(),
            state: update.state,
            observed: update.observed,
        }
    }
}

/// Decodes a log entry.
pub(crate) fn decode_entry(bytes: &[u8]) -> Result<CommandEnvelope, String> {
    let (head, consumed): (EnvelopeHead, usize) =
        bincode::serde::decode_from_slice(bytes, bincode::config::standard())
            .map_err(|error| error.to_string())?;
    let payload = &bytes[consumed..];
    let command = match head.command {
        PUT_BACKEND => Command::PutBackend(decoded::<BackendRegistration>(payload)?.into()),
        NOTE_MACHINES => {
            let updates = decoded::<Vec<MachineUpdate>>(payload)?;
            Command::NoteMachines(updates.into_iter().map(Into::into).collect())
        }
        _ => return decoded(bytes),
    };
    Ok(CommandEnvelope {
        command_id: head.command_id,
        expected_revision: head.expected_revision,
        at: head.at,
        command,
    })
}

/// The configuration in snapshots of format 3, and in those of format 4, where the
/// quarantine follows it.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Configuration {
    index: u64,
    sessions: BTreeMap<SessionId, Session>,
    routes: Option<Arc<RouteTable>>,
    policies: BTreeMap<String, PolicyRecord>,
    backends: BTreeMap<BackendId, BackendRecord>,
}

/// Requests that are refused.
pub(crate) type Quarantine = BTreeMap<RequestFingerprint, QuarantineRecord>;

impl Configuration {
    /// Converts to the current type, with the given quarantine.
    pub(crate) fn with_quarantine(self, quarantine: Quarantine) -> CurrentConfiguration {
        let backends = self.backends.into_iter();
        CurrentConfiguration {
            index: self.index,
            sessions: self.sessions,
            routes: self.routes,
            policies: self.policies,
            backends: backends.map(|(id, record)| (id, record.into())).collect(),
            quarantine,
        }
    }
}
