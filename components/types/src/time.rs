//! Time in the state machines: whole milliseconds on one monotonic clock.
//!
//! A state machine never reads a clock. Its driver passes the current time in, so
//! that the daemons and the simulator can run the same code.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point in time or a duration, in milliseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// The start of the clock, and the duration zero.
    pub const ZERO: Millis = Millis(0);
    /// A point in time that is never reached.
    pub const NEVER: Millis = Millis(u64::MAX);

    /// Converts whole seconds to a duration.
    pub const fn from_secs(seconds: u64) -> Self {
        Millis(seconds * 1000)
    }

    /// Duration from `earlier` to `self`; zero if `earlier` is the later one.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// The duration in seconds, rounded up, as for a `Retry-After` header.
    pub fn as_secs_ceil(self) -> u64 {
        self.0.div_ceil(1000)
    }

    /// The duration in seconds as a float, as for averages.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl Add for Millis {
    type Output = Millis;
    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Millis;
    fn sub(self, other: Millis) -> Millis {
        self.since(other)
    }
}
