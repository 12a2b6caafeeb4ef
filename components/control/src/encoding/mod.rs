//! Encodings of log entries, of this build and of earlier ones.
//!
//! Contract: an entry is decoded in the version in which it was written, whatever the
//! current version is, and it is applied by the rules of that version. Entries of
//! [`EncodingVersion::V17`] and later begin with their version. Earlier ones carry none:
//! their version is known from the preceding snapshot, or is determined by the first entry
//! that only one version can have written. An entry that can't be decoded is an error and
//! is never skipped: a state without it is not the group's state.
//!
//! The rest of the code uses the current types only; all conversions are in this module.

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

/// An entry without a version begins with the tag of an `Option`, which is at most this.
const MAX_OPTION_TAG: u8 = 1;

/// Why a log entry can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum EntryError {
    /// the entry has encoding version {found}, this build supports {supported} and earlier ones
    UnknownVersion {
        /// Version of the entry.
        found: EncodingVersion,
        /// The highest version that the decoder supports.
        supported: EncodingVersion,
    },
    /// the entry can't be decoded in encoding version {version}: {cause}
    Malformed {
        /// The version in which the entry must have been written.
        version: EncodingVersion,
        /// The decoder's message.
        cause: String,
    },
    /// the entry carries no version, and none of the versions that write such entries decodes it
    UnknownEncoding,
    /// the entry carries no version, and several versions read it differently
    Ambiguous,
}

/// {item} can't be expressed in encoding version {version}
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub struct NotInVersion {
    /// The item that the version can't express.
    pub item: &'static str,
    /// The encoding version.
    pub version: EncodingVersion,
}

/// Encodes a command as a log entry of `version`, which must be a version that is still
/// written: 11, 16, or the current one.
///
/// # Errors
/// When the version can't express the command.
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

/// The byte for a version, which is the version itself from [`EncodingVersion::V17`] to
/// 250.
fn version_byte(version: EncodingVersion) -> u8 {
    u8::try_from(version.0).unwrap_or(u8::MAX)
}

/// Fails for a raise of the level, which versions before 17 do not have.
fn check_v16(envelope: &CommandEnvelope) -> Result<(), NotInVersion> {
    match envelope.command {
        Command::RaiseLevel(_) => Err(NotInVersion {
            item: "a raise of the level",
            version: EncodingVersion::V16,
        }),
        _ => Ok(()),
    }
}

/// Encodes plain data.
pub(crate) fn encoded<T: Serialize>(value: &T) -> Vec<u8> {
    // Encoding plain data into memory can't fail.
    bincode::serde::encode_to_vec(value, bincode::config::standard()).unwrap_or_default()
}

/// Decodes plain data, which must take up all of the bytes.
pub(crate) fn decoded<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let (value, consumed) = bincode::serde::decode_from_slice(bytes, bincode::config::standard())
        .map_err(|error| error.to_string())?;
    if consumed == bytes.len() {
        Ok(value)
    } else {
        Err(format!("{} bytes are left over", bytes.len() - consumed))
    }
}
