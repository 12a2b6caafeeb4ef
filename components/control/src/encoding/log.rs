//! Which versions the entries of one log are of.

use std::collections::BTreeSet;

use garnet_types::EncodingVersion;
use serde::{Deserialize, Serialize};

use super::{EntryError, LARGEST_OPTION_TAG, decoded, v11, v12};
use crate::command::CommandEnvelope;

/// A decoded entry.
#[derive(Debug, Clone, PartialEq)]
pub struct DecodedEntry {
    /// The command.
    pub envelope: CommandEnvelope,
    /// The version that it was written in; the oldest one where several read it alike.
    pub version: EncodingVersion,
}

/// Which versions the entries of a log are of. It is part of the replicated state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEncoding {
    /// Versions that can have written the entries without a version.
    unversioned: BTreeSet<EncodingVersion>,
    /// Highest version of any entry that carries one.
    level: Option<EncodingVersion>,
}

impl Default for LogEncoding {
    fn default() -> Self {
        LogEncoding {
            unversioned: UNVERSIONED.into(),
            level: None,
        }
    }
}

/// Versions whose entries carry no version.
const UNVERSIONED: [EncodingVersion; 3] = [
    EncodingVersion::V11,
    EncodingVersion::V12,
    EncodingVersion::V16,
];

impl LogEncoding {
    /// A log whose entries without a version are of this one.
    pub(crate) fn unversioned(version: EncodingVersion) -> Self {
        LogEncoding {
            unversioned: [version].into(),
            level: None,
        }
    }

    /// The level: the version that each member of the group can read. `None` while the
    /// log does not show it.
    pub fn level(&self) -> Option<EncodingVersion> {
        let only = self
            .unversioned
            .first()
            .filter(|_| self.unversioned.len() == 1);
        self.level.or(only.copied())
    }

    /// Decodes an entry, and learns from it which version entries without one are of.
    ///
    /// # Errors
    /// When it can't be decoded: the log must not be applied any further.
    pub fn decode(&mut self, bytes: &[u8]) -> Result<DecodedEntry, EntryError> {
        self.decode_by(EncodingVersion::CURRENT, bytes)
    }

    /// The same by a replica that knows versions up to `known`.
    pub(crate) fn decode_by(
        &mut self,
        known: EncodingVersion,
        bytes: &[u8],
    ) -> Result<DecodedEntry, EntryError> {
        match bytes.first() {
            Some(&first) if first > LARGEST_OPTION_TAG => {
                self.decode_versioned(known, first, bytes)
            }
            _ => self.decode_unversioned(bytes),
        }
    }

    fn decode_versioned(
        &mut self,
        known: EncodingVersion,
        first: u8,
        bytes: &[u8],
    ) -> Result<DecodedEntry, EntryError> {
        let version = EncodingVersion(u32::from(first));
        if version < EncodingVersion::V17 || version > known {
            let found = version;
            return Err(EntryError::UnknownVersion { found, known });
        }
        let envelope =
            decoded(&bytes[1..]).map_err(|cause| EntryError::Malformed { version, cause })?;
        self.level = self.level.max(Some(version));
        Ok(DecodedEntry { envelope, version })
    }

    fn decode_unversioned(&mut self, bytes: &[u8]) -> Result<DecodedEntry, EntryError> {
        if let (Some(only), 1) = (self.unversioned.first(), self.unversioned.len()) {
            let version = *only;
            let envelope = decode_in(version, bytes)
                .map_err(|cause| EntryError::Malformed { version, cause })?;
            return Ok(DecodedEntry { envelope, version });
        }
        let readings: Vec<DecodedEntry> = self
            .unversioned
            .iter()
            .filter_map(|version| {
                let envelope = decode_in(*version, bytes).ok()?;
                let version = *version;
                Some(DecodedEntry { envelope, version })
            })
            .collect();
        let first = readings.first().ok_or(EntryError::UnknownEncoding)?;
        let agree = readings
            .iter()
            .all(|other| other.envelope == first.envelope);
        if !agree {
            return Err(EntryError::Ambiguous);
        }
        self.unversioned = readings.iter().map(|reading| reading.version).collect();
        Ok(first.clone())
    }
}

/// An entry without a version, read in one.
fn decode_in(version: EncodingVersion, bytes: &[u8]) -> Result<CommandEnvelope, String> {
    match version {
        EncodingVersion::V11 => decoded::<v11::CommandEnvelope>(bytes).map(Into::into),
        EncodingVersion::V12 => v12::decode_entry(bytes),
        _ => decoded(bytes),
    }
}
