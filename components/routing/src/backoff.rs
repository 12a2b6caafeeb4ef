//! The backoff that one back end requests of one gateway.

use garnet_types::Millis;

use crate::retry_after::RetryAfter;

/// Until when a back end is to be sent nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backoff {
    requested_at: Millis,
    until: Millis,
}

impl Backoff {
    /// Takes a request of the back end. A shorter one does not end a longer one.
    pub fn requested(&mut self, retry_after: RetryAfter, now: Millis) {
        self.requested_at = now;
        self.until = self.until.max(now + retry_after.span());
    }

    /// Time left; `None` where none is in force.
    pub fn remaining(&self, now: Millis) -> Option<Millis> {
        (now < self.until).then(|| self.until.since(now))
    }

    /// Time since the newest request.
    pub fn requested_ago(&self, now: Millis) -> Millis {
        now.since(self.requested_at)
    }
}
