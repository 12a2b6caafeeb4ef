//! Time as the cores see it: whole milliseconds on one monotonic clock.
//!
//! A core never reads a clock. Its driver passes the present in, which is what
//! lets the daemon and the simulator run the same code.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point in time or a span, in milliseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// The start of the clock, and the empty span.
    pub const ZERO: Millis = Millis(0);
    /// A point that is never reached.
    pub const NEVER: Millis = Millis(u64::MAX);

    /// Builds a span from whole seconds.
    pub const fn from_secs(seconds: u64) -> Self {
        Millis(seconds * 1000)
    }

    /// Span from `earlier` to `self`; zero when `earlier` is later.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// The span in seconds, rounded up, as the `Retry-After` header wants it.
    pub fn as_secs_ceil(self) -> u64 {
        self.0.div_ceil(1000)
    }

    /// The span in seconds as a float, for averages.
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
