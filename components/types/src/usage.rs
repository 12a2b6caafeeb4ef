//! Windows of wall-clock time for which usage is reported.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// A window of wall-clock time. Window `k` begins `k` window lengths after the Unix
/// epoch.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UsageWindow(pub u64);

impl UsageWindow {
    /// The window that contains `time`.
    pub fn at(time: Millis, length: Millis) -> Self {
        UsageWindow(time.0 / length.0.max(1))
    }

    /// The end of the window, at which the next one begins.
    pub fn end(self, length: Millis) -> Millis {
        Millis(self.0.saturating_add(1).saturating_mul(length.0))
    }

    /// The following window.
    #[must_use]
    pub fn next(self) -> Self {
        UsageWindow(self.0.saturating_add(1))
    }

    /// The window that is `count` windows earlier.
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
