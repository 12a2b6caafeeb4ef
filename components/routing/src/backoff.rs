//! The backoff that a back end requests of a gateway, and the slow start after it.
//!
//! Contract: nothing is sent until the requested time has passed. Then one request is sent, and
//! each answer raises the number of requests allowed in flight by one, because all gateways that
//! were asked at the same time resume at the same time. Another request for a backoff ends the
//! recovery.

use garnet_types::Millis;

use crate::retry_after::RetryAfter;

/// A back end has recovered when this many requests may be in flight.
const RECOVERED_WINDOW: u32 = 16;

/// Average interval between the first probes of gateways that were asked for the same backoff.
const PROBE_INTERVAL: Millis = Millis(2);
/// The jitter of a backoff is at most the backoff divided by this.
const JITTER_DIVISOR: u64 = 4;
/// The jitter of a caller's retry is at most the remaining time divided by this.
const CALLER_JITTER_DIVISOR: u64 = 2;

/// Jitter that one of `gateways` gateways adds to a backoff; `draw` is a random number from 0 to 1.
pub fn backoff_jitter(retry_after: RetryAfter, gateways: u64, draw: f64) -> Millis {
    let max_jitter_ms = retry_after.span().0 / JITTER_DIVISOR;
    let total = PROBE_INTERVAL.0.saturating_mul(gateways);
    Millis((total.min(max_jitter_ms) as f64 * draw) as u64)
}

/// Retry delay of a caller that no back end takes before `earliest`, with a jitter of at most
/// `max_jitter`; `draw` is a random number from 0 to 1.
pub fn caller_retry_delay(earliest: Millis, max_jitter: Millis, draw: f64) -> Millis {
    let jitter = Millis(earliest.0 / CALLER_JITTER_DIVISOR).min(max_jitter);
    earliest + Millis((jitter.0 as f64 * draw) as u64)
}

/// Limits the requests to one back end after it has requested a backoff.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Backoff {
    phase: Phase,
    /// Identifies the current recovery; probes of earlier ones are ignored.
    epoch: u32,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Phase {
    /// No backoff was requested, or the back end has recovered.
    #[default]
    Inactive,
    /// Nothing is sent before `until`.
    Active { until: Millis },
    /// At most `window` requests may be in flight.
    Recovering { window: u32, in_flight: u32 },
}

/// A request that was sent during a recovery. It must be returned once to the [`Backoff`] that
/// created it.
#[derive(Debug, PartialEq, Eq)]
pub struct Probe {
    epoch: u32,
}

impl Backoff {
    /// Starts a requested backoff at `now`, which ends `jitter` later than requested. It never
    /// shortens a backoff that is in force.
    pub fn request(&mut self, retry_after: RetryAfter, jitter: Millis, now: Millis) {
        if retry_after.span() == Millis::ZERO {
            return;
        }
        let until = now + retry_after.span() + jitter;
        let current_until = match self.phase {
            Phase::Active { until } => until,
            Phase::Inactive | Phase::Recovering { .. } => Millis::ZERO,
        };
        let until = until.max(current_until);
        self.phase = Phase::Active { until };
        self.epoch = self.epoch.wrapping_add(1);
    }

    /// Ends the backoff or recovery, when the back end has restarted.
    pub fn reset(&mut self) {
        self.phase = Phase::Inactive;
        self.epoch = self.epoch.wrapping_add(1);
    }

    /// Remaining time of the backoff; `None` if none is in force.
    pub fn remaining(&self, now: Millis) -> Option<Millis> {
        match self.phase {
            Phase::Active { until } if now < until => Some(until.since(now)),
            _ => None,
        }
    }

    /// Whether a request may be sent.
    pub fn allows(&self, now: Millis) -> bool {
        match self.phase {
            Phase::Inactive => true,
            Phase::Active { until } => now >= until,
            Phase::Recovering { window, in_flight } => in_flight < window,
        }
    }

    /// Records a sent request. Returns a probe during a recovery, which begins with the first
    /// request after the backoff.
    pub fn sent(&mut self, now: Millis) -> Option<Probe> {
        match &mut self.phase {
            Phase::Inactive => return None,
            Phase::Active { until } if now < *until => return None,
            Phase::Active { .. } => {
                self.phase = Phase::Recovering {
                    window: 1,
                    in_flight: 1,
                };
            }
            Phase::Recovering { in_flight, .. } => *in_flight += 1,
        }
        Some(Probe { epoch: self.epoch })
    }

    /// Records that the back end accepted a probe.
    pub fn accepted(&mut self, probe: Probe) {
        if let Some((window, in_flight)) = self.recovery_state(&probe) {
            *window += 1;
            *in_flight = in_flight.saturating_sub(1);
            if *window >= RECOVERED_WINDOW {
                self.phase = Phase::Inactive;
            }
        }
    }

    /// Records a probe that ended without the back end accepting or rejecting it.
    pub fn released(&mut self, probe: Probe) {
        if let Some((_, in_flight)) = self.recovery_state(&probe) {
            *in_flight = in_flight.saturating_sub(1);
        }
    }

    /// Window and requests in flight of the recovery that a probe belongs to, if it continues.
    fn recovery_state(&mut self, probe: &Probe) -> Option<(&mut u32, &mut u32)> {
        match &mut self.phase {
            Phase::Recovering { window, in_flight } if probe.epoch == self.epoch => {
                Some((window, in_flight))
            }
            _ => None,
        }
    }
}
