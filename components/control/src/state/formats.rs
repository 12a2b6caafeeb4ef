//! Snapshot formats of this build and of earlier ones.
//!
//! Contract: a snapshot is written in a format that each member can read, see
//! [`LogEncoding::level`], and is read by the format that it states.

use std::collections::{BTreeMap, VecDeque};

use displaydoc::Display;
use garnet_quarantine::RequestFingerprint;
use garnet_types::{CommandId, EncodingVersion, Millis, ServiceId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{ControlState, SuspectRecord};
use crate::answer::CommandAnswer;
use crate::claims::Claims;
use crate::configuration::Configuration;
use crate::duties::Tenures;
use crate::encoding::{LogEncoding, NotInVersion, decoded, encoded, v11, v12};
use crate::usage::Usage;

/// Format that this build writes at its own level.
pub const STATE_FORMAT: u32 = FORMAT_6;
/// Format of encoding version 11.
const FORMAT_2: u32 = 2;
/// Format of version 12.
const FORMAT_3: u32 = 3;
/// Format of versions 13 to 15.
const FORMAT_4: u32 = 4;
/// Format of version 16.
const FORMAT_5: u32 = 5;
/// Format of version 17, which includes the encoding versions of the log's entries.
const FORMAT_6: u32 = 6;

/// The newest format that a version can read.
fn newest_format(version: EncodingVersion) -> u32 {
    match version {
        EncodingVersion::V11 => FORMAT_2,
        EncodingVersion::V12 => FORMAT_4,
        EncodingVersion::V16 => FORMAT_5,
        _ => FORMAT_6,
    }
}

/// A snapshot that can't be read.
#[derive(Debug, Display, Error)]
pub enum StateDecodeError {
    /// the state has format {0}, which this program does not know
    Format(u32),
    /// the state can't be decoded: {0}
    Malformed(String),
}

impl ControlState {
    /// Encodes the state as a snapshot.
    ///
    /// # Errors
    /// If the state can't be expressed in the format of the level.
    pub fn encode(&self) -> Result<Vec<u8>, NotInVersion> {
        match self.encoding.level() {
            Some(EncodingVersion::V11) => Ok(encoded(&(FORMAT_2, self.as_v11()?))),
            Some(EncodingVersion::V16) => Ok(encoded(&(FORMAT_5, StateV16::from(self)))),
            _ => Ok(encoded(&(FORMAT_6, self))),
        }
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    /// If the format is unknown or the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, StateDecodeError> {
        ControlState::decode_by(EncodingVersion::CURRENT, bytes)
    }

    /// The same for a replica that can read formats up to those of `version`.
    pub(crate) fn decode_by(
        version: EncodingVersion,
        bytes: &[u8],
    ) -> Result<Self, StateDecodeError> {
        let malformed = StateDecodeError::Malformed;
        let (format, read): (u32, usize) =
            bincode::serde::decode_from_slice(bytes, bincode::config::standard())
                .map_err(|error| malformed(error.to_string()))?;
        let state = &bytes[read..];
        if format > newest_format(version) {
            return Err(StateDecodeError::Format(format));
        }
        match format {
            FORMAT_2 => decoded::<v11::State>(state).map(Into::into),
            FORMAT_3 => decoded::<StateV12>(state).map(Into::into),
            FORMAT_4 => decoded::<StateV13>(state).map(Into::into),
            FORMAT_5 => decoded::<StateV16>(state).map(Into::into),
            FORMAT_6 => decoded(state),
            other => return Err(StateDecodeError::Format(other)),
        }
        .map_err(malformed)
    }

    fn as_v11(&self) -> Result<v11::State, NotInVersion> {
        Ok(v11::State {
            configuration: (&self.configuration).try_into()?,
            routes_document: self.routes_document.clone(),
            claims: self.claims.clone(),
            clock: self.clock,
            answers: self.answers.clone(),
            answer_order: self.answer_order.clone(),
        })
    }
}

impl From<v11::State> for ControlState {
    fn from(state: v11::State) -> Self {
        ControlState {
            configuration: state.configuration.into(),
            routes_document: state.routes_document,
            claims: state.claims,
            clock: state.clock,
            answers: state.answers,
            answer_order: state.answer_order,
            encoding: LogEncoding::unversioned(EncodingVersion::V11),
            ..ControlState::default()
        }
    }
}

/// Requests that are suspected of crashing engines but not quarantined yet.
type Suspects = BTreeMap<RequestFingerprint, SuspectRecord>;

/// The state in formats 3 to 5, which differ in the configuration and in the suspects.
#[derive(Debug, Serialize, Deserialize)]
struct Stored<C, S> {
    configuration: C,
    routes_document: Option<String>,
    claims: Claims,
    usage: Usage,
    tenures: Tenures,
    needed_engines: BTreeMap<ServiceId, u32>,
    suspects: S,
    clock: Millis,
    answers: BTreeMap<CommandId, CommandAnswer>,
    answer_order: VecDeque<CommandId>,
}

/// Format 3.
type StateV12 = Stored<v12::Configuration, ()>;
/// Format 4.
type StateV13 = Stored<(v12::Configuration, v12::Quarantine), Suspects>;
/// Format 5.
type StateV16 = Stored<Configuration, Suspects>;

impl<C, S> Stored<C, S> {
    /// The state, given that log entries without a version are of `version`.
    fn restored(
        self,
        version: EncodingVersion,
        configuration: impl FnOnce(C) -> Configuration,
        suspects: impl FnOnce(S) -> Suspects,
    ) -> ControlState {
        ControlState {
            configuration: configuration(self.configuration),
            routes_document: self.routes_document,
            claims: self.claims,
            usage: self.usage,
            tenures: self.tenures,
            needed_engines: self.needed_engines,
            suspects: suspects(self.suspects),
            clock: self.clock,
            answers: self.answers,
            answer_order: self.answer_order,
            encoding: LogEncoding::unversioned(version),
        }
    }
}

impl From<StateV12> for ControlState {
    fn from(state: StateV12) -> Self {
        let configuration =
            |stored: v12::Configuration| stored.with_quarantine(v12::Quarantine::new());
        state.restored(EncodingVersion::V12, configuration, |()| Suspects::new())
    }
}

impl From<StateV13> for ControlState {
    fn from(state: StateV13) -> Self {
        let configuration = |(stored, quarantine): (v12::Configuration, v12::Quarantine)| {
            stored.with_quarantine(quarantine)
        };
        state.restored(EncodingVersion::V12, configuration, |suspects| suspects)
    }
}

impl From<StateV16> for ControlState {
    fn from(state: StateV16) -> Self {
        let configuration = |configuration| configuration;
        state.restored(EncodingVersion::V16, configuration, |suspects| suspects)
    }
}

impl From<&ControlState> for StateV16 {
    fn from(state: &ControlState) -> Self {
        Stored {
            configuration: state.configuration.clone(),
            routes_document: state.routes_document.clone(),
            claims: state.claims.clone(),
            usage: state.usage.clone(),
            tenures: state.tenures.clone(),
            needed_engines: state.needed_engines.clone(),
            suspects: state.suspects.clone(),
            clock: state.clock,
            answers: state.answers.clone(),
            answer_order: state.answer_order.clone(),
        }
    }
}
