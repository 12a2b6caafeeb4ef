//! Windows of true time, over which usage is told.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// A window of true time. Window k begins k times its length after the start
/// of 1970.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UsageWindow(pub u64);

impl UsageWindow {
    /// The window that `time` falls into.
    pub fn at(time: Millis, length: Millis) -> Self {
        UsageWindow(time.0 / length.0.max(1))
    }

    /// When it ends, and the next one begins.
    pub fn end(self, length: Millis) -> Millis {
        Millis(self.0.saturating_add(1).saturating_mul(length.0))
    }

    /// The window after it.
    #[must_use]
    pub fn next(self) -> Self {
        UsageWindow(self.0.saturating_add(1))
    }

    /// The window `count` before it.
    #[must_use]
    pub fn before(self, count: u64) -> Self {
        UsageWindow(self.0.saturating_sub(count))
    }
}

impl fmt::Display for UsageWindow {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for UsageWindow {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(UsageWindow)
    }
}
