//! Adaptive timeout for connections to other processes of the system.
//!
//! A machine without power answers nothing, and the operating system resends a
//! lost SYN packet only after a second. A short timeout soon detects that such a
//! machine is back; growing timeouts allow for a path with a long round trip.

use std::time::Duration;

/// Timeout of the first attempt.
const INITIAL_TIMEOUT: Duration = Duration::from_millis(125);
/// Upper bound of the timeout.
const MAX_TIMEOUT: Duration = Duration::from_millis(500);

/// The connect timeout for one address, or for several interchangeable ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectTimeout {
    next: Duration,
}

impl Default for ConnectTimeout {
    fn default() -> Self {
        ConnectTimeout {
            next: INITIAL_TIMEOUT,
        }
    }
}

impl ConnectTimeout {
    /// Timeout of the next attempt.
    pub fn next(&self) -> Duration {
        self.next
    }

    /// Records a failed attempt, which doubles the timeout up to its bound.
    pub fn failed(&mut self) {
        self.next = (self.next * 2).min(MAX_TIMEOUT);
    }

    /// Records a successful attempt, which resets the timeout.
    pub fn succeeded(&mut self) {
        self.next = INITIAL_TIMEOUT;
    }
}
