//! Sizes in bytes.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Bytes of a megabyte.
const BYTES_PER_MEGABYTE: f64 = 1_000_000.0;

/// A number of bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ByteCount(pub usize);

impl ByteCount {
    /// Converts megabytes of 1,000,000 bytes, rounded down.
    pub fn from_megabytes(megabytes: f64) -> Self {
        ByteCount((megabytes * BYTES_PER_MEGABYTE) as usize)
    }
}

impl fmt::Display for ByteCount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for ByteCount {
    type Err = ParseIntError;

    /// Parses a number of bytes without a unit.
    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(ByteCount)
    }
}
