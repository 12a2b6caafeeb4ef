//! Encodings of log entries, of this build and of earlier ones.
//!
//! Contract: an entry is decoded in the version that it was written in, whatever the
//! present one is, and by the rules of that version it is applied. Entries of
//! [`EncodingVersion::V17`] and later begin with their version. Earlier ones carry none:
//! which version they are of is known from the snapshot before them, or shown by the
//! first entry that only one version can have written. An entry that can't be decoded is
//! an error, never left out: a state without it is not the group's state.
//!
//! The rest of the code knows the present types only; conversions stand here.

mod log;
pub mod v11;
pub(crate) mod v12;

use displaydoc::Display;
use garnet_types::EncodingVersion;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::command::{Command, CommandEnvelope};

pub use log::{DecodedEntry, LogEncoding};

/// The first byte of an entry without a version is the tag of an option.
const LARGEST_OPTION_TAG: u8 = 1;

/// Why a log entry can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum EntryError {
    /// the entry has encoding version {found}, this build knows {known} and earlier ones
    UnknownVersion {
        /// Version of the entry.
        found: EncodingVersion,
        /// Version of this build.
        known: EncodingVersion,
    },
    /// the entry can't be decoded in encoding version {version}: {cause}
    Malformed {
        /// The version that the entry must be of.
        version: EncodingVersion,
        /// What the decoder reports.
        cause: String,
    },
    /// the entry carries no version, and no version without one can have written it
    UnknownEncoding,
    /// the entry carries no version, and several versions read it differently
    Ambiguous,
}

/// {item} can't be expressed in encoding version {version}
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub struct NotInVersion {
    /// What the version has no place for.
    pub item: &'static str,
    /// The version.
    pub version: EncodingVersion,
}

/// A command as a log entry of `version`, which is one that is still written: 11, 16, or
/// the present one.
///
/// # Errors
/// When the version has no place for it.
pub fn encode_entry(
    envelope: &CommandEnvelope,
    version: EncodingVersion,
) -> Result<Vec<u8>, NotInVersion> {
    if version >= EncodingVersion::V17 {
        let mut bytes = vec![version_byte(version)];
        bytes.extend(encoded(envelope));
        return Ok(bytes);
    }
    if version > EncodingVersion::V11 {
        check_v16(envelope)?;
        return Ok(encoded(envelope));
    }
    Ok(encoded(&v11::CommandEnvelope::try_from(envelope)?))
}

/// Versions from [`EncodingVersion::V17`] to 250 take one byte.
fn version_byte(version: EncodingVersion) -> u8 {
    u8::try_from(version.0).unwrap_or(u8::MAX)
}

/// Raising the level has no place in a version before levels.
fn check_v16(envelope: &CommandEnvelope) -> Result<(), NotInVersion> {
    match envelope.command {
        Command::RaiseLevel(_) => Err(NotInVersion {
            item: "a raise of the level",
            version: EncodingVersion::V16,
        }),
        _ => Ok(()),
    }
}

/// Plain data as bytes.
pub(crate) fn encoded<T: Serialize>(value: &T) -> Vec<u8> {
    // Encoding plain data into memory has no way to fail.
    bincode::serde::encode_to_vec(value, bincode::config::standard()).unwrap_or_default()
}

/// Plain data from exactly these bytes.
pub(crate) fn decoded<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let (value, read) = bincode::serde::decode_from_slice(bytes, bincode::config::standard())
        .map_err(|error| error.to_string())?;
    if read == bytes.len() {
        Ok(value)
    } else {
        Err(format!("{} bytes are left over", bytes.len() - read))
    }
}
