//! The token bucket of permits for one back end.
//!
//! Bound: a permit is valid for [`PERMIT_LIFETIME`](crate::PERMIT_LIFETIME), 0.5 s, and its
//! request takes at most 1.35 s to reach the back end: a connection must be established
//! within 150 ms, and it is closed when sent bytes stay unacknowledged for 1.2 s. At most
//! `BASE_DEPTH` + rate x (`DEPTH_DURATION` + 4 s + 0.5 s + 1.35 s) requests therefore reach
//! the back end in any 4 s, which is less than rate x 6 s + 5.

use garnet_types::Millis;

use crate::rate::RequestRate;

/// One permit, in the unit of the bucket.
pub(crate) const PERMIT_MICROS: u64 = 1_000_000;
/// Permits that the bucket holds whatever the limit, so that a request after a pause is granted
/// one at once and some can be reserved for more urgent requests.
const BASE_DEPTH: u64 = 3;
/// The bucket also holds the permits of this duration, since at high rates requests arrive in
/// bursts.
const DEPTH_DURATION: Millis = Millis(150);
/// Lowest refill rate, one request in 10 s: the recovery of a back end with a lower limit shows
/// only in its answers.
const MIN_RATE: RequestRate = RequestRate::from_micros_per_s(100_000);

/// Permits that may be granted now.
#[derive(Debug)]
pub(crate) struct PermitBucket {
    micros: u64,
    filled_at: Millis,
}

impl PermitBucket {
    /// An empty bucket: requests with permits of another leader may still be in flight.
    pub(crate) fn empty(now: Millis) -> Self {
        PermitBucket {
            micros: 0,
            filled_at: now,
        }
    }

    /// The refill rate for a back end that reports the limit `rate`.
    pub(crate) fn refill_rate(rate: RequestRate) -> RequestRate {
        rate.max(MIN_RATE)
    }

    /// The capacity of the bucket.
    pub(crate) fn depth_micros(rate: RequestRate) -> u64 {
        if rate <= MIN_RATE {
            return PERMIT_MICROS;
        }
        BASE_DEPTH * PERMIT_MICROS + rate.micros_in(DEPTH_DURATION)
    }

    /// Refills the bucket and returns its content.
    pub(crate) fn available_micros(&mut self, rate: RequestRate, now: Millis) -> u64 {
        let refill = Self::refill_rate(rate).micros_in(now.since(self.filled_at));
        // Keep the elapsed time until it yields a whole unit.
        if refill > 0 {
            self.filled_at = self.filled_at.max(now);
        }
        self.micros = (self.micros + refill).min(Self::depth_micros(rate));
        self.micros
    }

    /// Takes one permit out of the bucket.
    pub(crate) fn take(&mut self) {
        self.micros = self.micros.saturating_sub(PERMIT_MICROS);
    }
}
