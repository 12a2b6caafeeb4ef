//! Permits of one back end: they come at its rate, and a few are kept.
//!
//! Bound: a permit lasts [`PERMIT_LASTS`](crate::PERMIT_LASTS), and its request is on
//! its way for 1.35 s at most: a connection has 150 ms to come up, and is given up
//! when its bytes are not acknowledged for 1.2 s. So what reaches the back end in 4 s
//! is at most `KEPT` + rate x (`KEPT_FOR` + 4 s + 0.5 s + 1.35 s), which is less than
//! rate x 6 s + 5.

use garnet_types::Millis;

use crate::rate::RequestRate;

/// One permit, in the unit in which they are counted.
pub(crate) const PERMIT_MICROS: u64 = 1_000_000;
/// Permits that are kept at most: a caller who comes after a pause finds one, and
/// less urgent ones leave some of them to the more urgent.
const KEPT: u64 = 3;
/// Permits of so long a time are kept besides: at high rates callers come in bunches.
const KEPT_FOR: Millis = Millis(150);
/// A back end with a lower limit is sent one request in 10 s, since its recovery shows
/// only in answers.
const SLOWEST: RequestRate = RequestRate::from_micros_per_s(100_000);

/// Permits that may be handed out now.
#[derive(Debug)]
pub(crate) struct PermitBucket {
    micros: u64,
    filled_at: Millis,
}

impl PermitBucket {
    /// One without any permit: what another leader handed out may be under way.
    pub(crate) fn empty(now: Millis) -> Self {
        PermitBucket {
            micros: 0,
            filled_at: now,
        }
    }

    /// The rate at which permits come, for a back end that names `rate`.
    pub(crate) fn pace(rate: RequestRate) -> RequestRate {
        rate.max(SLOWEST)
    }

    /// Permits that are kept at most.
    pub(crate) fn depth_micros(rate: RequestRate) -> u64 {
        if rate <= SLOWEST {
            return PERMIT_MICROS;
        }
        KEPT * PERMIT_MICROS + rate.micros_in(KEPT_FOR)
    }

    /// What is there now.
    pub(crate) fn micros(&mut self, rate: RequestRate, now: Millis) -> u64 {
        let come = Self::pace(rate).micros_in(now.since(self.filled_at));
        // What is less than one unit stays in the time that has passed.
        if come > 0 {
            self.filled_at = self.filled_at.max(now);
        }
        self.micros = (self.micros + come).min(Self::depth_micros(rate));
        self.micros
    }

    /// Takes one permit that is there.
    pub(crate) fn take(&mut self) {
        self.micros = self.micros.saturating_sub(PERMIT_MICROS);
    }
}
