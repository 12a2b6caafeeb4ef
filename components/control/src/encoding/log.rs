//! Tracks the encoding versions of the entries of one log.

use std::collections::BTreeSet;

use garnet_types::EncodingVersion;
use serde::{Deserialize, Serialize};

use super::{EntryError, MAX_OPTION_TAG, decoded, v11, v12};
use crate::command::CommandEnvelope;

/// A decoded entry.
#[derive(Debug, Clone, PartialEq)]
pub struct DecodedEntry {
    /// The command.
    pub envelope: CommandEnvelope,
    /// The version in which the entry was written; the oldest one if several versions
    /// decode it to the same command.
    pub version: EncodingVersion,
}

/// The encoding versions of a log's entries. This is part of the replicated state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEncoding {
    /// Versions that may have written the entries that carry no version.
    unversioned: BTreeSet<EncodingVersion>,
    /// Highest version of any entry that carries its version.
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
    /// A log whose entries without a version are of the given version.
    pub(crate) fn unversioned(version: EncodingVersion) -> Self {
        LogEncoding {
            unversioned: [version].into(),
            level: None,
        }
    }

    /// The level: the encoding version that each member of the group can read. `None` while
    /// the log does not show it.
    pub fn level(&self) -> Option<EncodingVersion> {
        let only = self
            .unversioned
            .first()
            .filter(|_| self.unversioned.len() == 1);
        self.level.or(only.copied())
    }

    /// Decodes an entry, and narrows down which version the entries without one are of.
    ///
    /// # Errors
    /// When the entry can't be decoded: the log must not be applied any further.
    pub fn decode(&mut self, bytes: &[u8]) -> Result<DecodedEntry, EntryError> {
        self.decode_up_to(EncodingVersion::CURRENT, bytes)
    }

    /// Decodes an entry as a replica that supports versions up to `supported` does.
    pub(crate) fn decode_up_to(
        &mut self,
        supported: EncodingVersion,
        bytes: &[u8],
    ) -> Result<DecodedEntry, EntryError> {
        match bytes.first() {
            Some(&first) if first > MAX_OPTION_TAG => {
                self.decode_versioned(supported, first, bytes)
            }
            _ => self.decode_unversioned(bytes),
        }
    }

    fn decode_versioned(
        &mut self,
        supported: EncodingVersion,
        first: u8,
        bytes: &[u8],
    ) -> Result<DecodedEntry, EntryError> {
        let version = EncodingVersion(u32::from(first));
        if version < EncodingVersion::V17 || version > supported {
            let found = version;
            return Err(EntryError::UnknownVersion { found, supported });
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
        let candidates: Vec<DecodedEntry> = self
            .unversioned
            .iter()
            .filter_map(|version| {
                let envelope = decode_in(*version, bytes).ok()?;
                let version = *version;
                Some(DecodedEntry { envelope, version })
            })
            .collect();
        let first = candidates.first().ok_or(EntryError::UnknownEncoding)?;
        let all_equal = candidates
            .iter()
            .all(|other| other.envelope == first.envelope);
        if !all_equal {
            return Err(EntryError::Ambiguous);
        }
        self.unversioned = candidates
            .iter()
            .map(|candidate| candidate.version)
            .collect();
        Ok(first.clone())
    }
}

/// Decodes an entry without a version as one of `version`.
fn decode_in(version: EncodingVersion, bytes: &[u8]) -> Result<CommandEnvelope, String> {
    match version {
        EncodingVersion::V11 => decoded::<v11::CommandEnvelope>(bytes).map(Into::into),
        EncodingVersion::V12 => v12::decode_entry(bytes),
        _ => decoded(bytes),
    }
}
