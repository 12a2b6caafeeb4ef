//! Versions of the encodings in which builds exchange data.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Version of the encodings of a build: its frames, the entries that it writes into the
/// log, and its snapshots. A change to any of them gets a new version.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct EncodingVersion(pub u32);

impl EncodingVersion {
    /// The oldest version that is supported on connections. Log entries carry no version.
    pub const V11: Self = EncodingVersion(11);
    /// Represents versions 12 to 15, which encode log entries the same way. Supported only
    /// when reading from disk.
    pub const V12: Self = EncodingVersion(12);
    /// The last version whose log entries carry no version.
    pub const V16: Self = EncodingVersion(16);
    /// Log entries carry their version, and the process that accepts a connection replies
    /// with its own version.
    pub const V17: Self = EncodingVersion(17);
    /// Gateways report whether they relay requests for peer gateways.
    pub const V18: Self = EncodingVersion(18);
    /// The leader sends the builds of engines, and the builds at which streams began.
    pub const V19: Self = EncodingVersion(19);
    /// Gateways report the parts of prompts during whose runs engines crashed.
    pub const V20: Self = EncodingVersion(20);
    /// The leader names the only build of a service.
    pub const V21: Self = EncodingVersion(21);
    /// The version of this build.
    pub const CURRENT: Self = Self::V21;
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
