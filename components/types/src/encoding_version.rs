//! Versions of the encodings that builds share.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Version of the encodings of a build: of its frames, of the entries that it writes
/// into the log and of its snapshots. A change of any of them is a new version.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct EncodingVersion(pub u32);

impl EncodingVersion {
    /// The oldest version that is spoken. Log entries carry no version.
    pub const V11: Self = EncodingVersion(11);
    /// Stands for 12 to 15, whose log entries are encoded alike. Read from disks only.
    pub const V12: Self = EncodingVersion(12);
    /// The last version without versions of log entries.
    pub const V16: Self = EncodingVersion(16);
    /// Log entries carry their version, and the acceptor of a connection answers with its
    /// own.
    pub const V17: Self = EncodingVersion(17);
    /// The version of this build.
    pub const CURRENT: Self = Self::V17;
}

impl fmt::Display for EncodingVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for EncodingVersion {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(EncodingVersion)
    }
}
