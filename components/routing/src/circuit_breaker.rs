//! A circuit breaker: stops requests to a failing back end except for one probe at a time.

use garnet_types::Millis;

/// Consecutive failures that open the breaker.
const FAILURES_TO_OPEN: u32 = 3;
/// Initial time that the breaker stays open; it doubles with each failed probe.
const INITIAL_OPEN_DURATION: Millis = Millis(500);
/// Longest time that the breaker stays open.
const MAX_OPEN_DURATION: Millis = Millis::from_secs(8);

/// The circuit breaker of one back end.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CircuitBreaker {
    failures: u32,
    open_duration: Millis,
    open_until: Option<Millis>,
    probe_in_flight: bool,
}

impl CircuitBreaker {
    /// Whether a request may be sent at `now`.
    pub fn allows(&self, now: Millis) -> bool {
        match self.open_until {
            None => true,
            Some(until) => now >= until && !self.probe_in_flight,
        }
    }

    /// Whether the back end has failed since its last answer.
    pub fn has_failures(&self) -> bool {
        self.failures > 0
    }

    /// Records a sent request, which is the probe if the breaker is open.
    pub fn sent(&mut self) {
        self.probe_in_flight = self.open_until.is_some();
    }

    /// Records an answer, which closes the breaker.
    pub fn succeeded(&mut self) {
        *self = CircuitBreaker::default();
    }

    /// Records a request that ended without an answer or a failure of the back end, for example
    /// because the caller disconnected.
    pub fn released(&mut self) {
        self.probe_in_flight = false;
    }

    /// Records that the back end was silent for so long that other requests should not wait for it.
    /// This opens the breaker without further failures.
    pub fn unresponsive(&mut self, now: Millis) {
        self.failures = self.failures.max(FAILURES_TO_OPEN - 1);
        self.failed(now);
    }

    /// Records a failure to connect or an answer that broke off.
    pub fn failed(&mut self, now: Millis) {
        self.failures += 1;
        self.probe_in_flight = false;
        if self.failures < FAILURES_TO_OPEN {
            return;
        }
        self.open_duration = (self.open_duration + self.open_duration)
            .clamp(INITIAL_OPEN_DURATION, MAX_OPEN_DURATION);
        self.open_until = Some(now + self.open_duration);
    }
}
