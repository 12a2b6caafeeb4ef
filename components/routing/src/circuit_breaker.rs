//! Sets a failing back end aside and lets one probe through at a time.

use garnet_types::Millis;

/// Failures in a row that open the breaker.
const FAILURES_TO_OPEN: u32 = 3;
/// First time aside; it doubles with each failed probe.
const FIRST_PAUSE: Millis = Millis(500);
/// Longest time aside.
const LONGEST_PAUSE: Millis = Millis::from_secs(8);

/// Health of one back end as its own failures show it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CircuitBreaker {
    failures: u32,
    pause: Millis,
    open_until: Option<Millis>,
    probing: bool,
}

impl CircuitBreaker {
    /// Whether a request may be sent at `now`.
    pub fn allows(&self, now: Millis) -> bool {
        match self.open_until {
            None => true,
            Some(until) => now >= until && !self.probing,
        }
    }

    /// Notes that a request was sent; while open it is the probe.
    pub fn sent(&mut self) {
        self.probing = self.open_until.is_some();
    }

    /// Notes an answer.
    pub fn succeeded(&mut self) {
        *self = CircuitBreaker::default();
    }

    /// Notes that a request ended with neither an answer nor a fault of the
    /// back end, such as a caller that left.
    pub fn released(&mut self) {
        self.probing = false;
    }

    /// Notes that it was silent for so long that nobody else should wait for
    /// it: a fault that needs no repetition to be believed.
    pub fn silent(&mut self, now: Millis) {
        self.failures = self.failures.max(FAILURES_TO_OPEN - 1);
        self.failed(now);
    }

    /// Notes a failure to connect or a broken answer.
    pub fn failed(&mut self, now: Millis) {
        self.failures += 1;
        self.probing = false;
        if self.failures < FAILURES_TO_OPEN {
            return;
        }
        self.pause = (self.pause + self.pause).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.open_until = Some(now + self.pause);
    }
}
