//! How long a connection to another process of the system is waited for.
//!
//! A machine without power answers nothing, and the operating system repeats a
//! lost first packet only after a second. A short wait finds out soon that
//! such a machine is back; waits that grow bear a path that takes long.

use std::time::Duration;

/// The first wait.
const FIRST: Duration = Duration::from_millis(125);
/// The longest one.
const LONGEST: Duration = Duration::from_millis(500);

/// The waits for one address, or for several that stand for one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectTimeout {
    next: Duration,
}

impl Default for ConnectTimeout {
    fn default() -> Self {
        ConnectTimeout { next: FIRST }
    }
}

impl ConnectTimeout {
    /// The wait for the next connection.
    pub fn next(&self) -> Duration {
        self.next
    }

    /// Notes a connection that did not come up: the next wait is longer.
    pub fn failed(&mut self) {
        self.next = (self.next * 2).min(LONGEST);
    }

    /// Notes a connection that came up: the next wait is a short one again.
    pub fn succeeded(&mut self) {
        self.next = FIRST;
    }
}
