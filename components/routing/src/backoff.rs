//! The backoff that one back end requests of one gateway, and the recovery after it.
//!
//! Contract: until the requested time is over nothing is sent. Then one request is sent,
//! and each answer lets one more be under way than before, since all gateways that were
//! asked at the same moment come back at the same moment. Another request for a backoff
//! ends the recovery.

use garnet_types::Millis;

use crate::retry_after::RetryAfter;

/// A back end that answers with so many requests under way has recovered.
const RECOVERED_WINDOW: u32 = 16;

/// Gateways that were asked for the same backoff come back so long after one another, in
/// the mean.
const RETURN_INTERVAL: Millis = Millis(2);
/// Longest part of a backoff by which its end is spread.
const SPREAD_PART: u64 = 4;
/// Longest part of the time left by which the return of callers is spread.
const CALLER_SPREAD_PART: u64 = 2;

/// By how much one of `gateways` gateways delays the end of a backoff, at a `draw` from 0
/// to 1.
pub fn end_spread(retry_after: RetryAfter, gateways: u64, draw: f64) -> Millis {
    let longest = retry_after.span().0 / SPREAD_PART;
    let all = RETURN_INTERVAL.0.saturating_mul(gateways);
    Millis((all.min(longest) as f64 * draw) as u64)
}

/// When a caller comes back that nobody takes before `first`, spread over `longest` at
/// most, at a `draw` from 0 to 1.
pub fn caller_return(first: Millis, longest: Millis, draw: f64) -> Millis {
    let spread = Millis(first.0 / CALLER_SPREAD_PART).min(longest);
    first + Millis((spread.0 as f64 * draw) as u64)
}

/// What one back end may be sent after it has requested a backoff.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Backoff {
    phase: Phase,
    /// Number of the recovery, to ignore probes of earlier ones.
    epoch: u32,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Phase {
    /// Nothing was requested, or the back end has recovered.
    #[default]
    Inactive,
    /// Nothing is sent until then.
    Active { until: Millis },
    /// So many requests may be under way.
    Recovering { window: u32, in_flight: u32 },
}

/// A request that was sent during a recovery. It is given back to the [`Backoff`] that it
/// came from, once.
#[derive(Debug, PartialEq, Eq)]
pub struct Probe {
    epoch: u32,
}

impl Backoff {
    /// Takes the back end's request at `now`. The backoff ends `spread` later than
    /// requested. A shorter one does not end a longer one that is in force.
    pub fn request(&mut self, retry_after: RetryAfter, spread: Millis, now: Millis) {
        if retry_after.span() == Millis::ZERO {
            return;
        }
        let until = now + retry_after.span() + spread;
        let in_force = match self.phase {
            Phase::Active { until } => until,
            Phase::Inactive | Phase::Recovering { .. } => Millis::ZERO,
        };
        let until = until.max(in_force);
        self.phase = Phase::Active { until };
        self.epoch = self.epoch.wrapping_add(1);
    }

    /// Forgets what was requested: the back end has started anew.
    pub fn reset(&mut self) {
        self.phase = Phase::Inactive;
        self.epoch = self.epoch.wrapping_add(1);
    }

    /// Time until the first request may be sent; `None` where no backoff is in force.
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

    /// Notes a request that is sent. Gives the probe that it is during a recovery, which
    /// begins with the first request after the backoff.
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

    /// Notes that the back end accepted a probe.
    pub fn accepted(&mut self, probe: Probe) {
        if let Some((window, in_flight)) = self.recovery_of(&probe) {
            *window += 1;
            *in_flight = in_flight.saturating_sub(1);
            if *window >= RECOVERED_WINDOW {
                self.phase = Phase::Inactive;
            }
        }
    }

    /// Notes a probe that ended without a verdict of the back end.
    pub fn released(&mut self, probe: Probe) {
        if let Some((_, in_flight)) = self.recovery_of(&probe) {
            *in_flight = in_flight.saturating_sub(1);
        }
    }

    fn recovery_of(&mut self, probe: &Probe) -> Option<(&mut u32, &mut u32)> {
        match &mut self.phase {
            Phase::Recovering { window, in_flight } if probe.epoch == self.epoch => {
                Some((window, in_flight))
            }
            _ => None,
        }
    }
}
