//! Connections to back ends: the route table bounds them for all gateways together, and each
//! gateway has an even share.
//!
//! Contract: shares of all gateways that the leader counts stay within the bound, with a
//! reserve for other callers. A bound below one connection a gateway can't be shared out:
//! each may then open one at a time and keeps none.

use garnet_types::Millis;

/// This part of a bound is not shared out: the control group connects to back ends as
/// well, and a closed connection takes a moment to end at the other side.
const RESERVED_DIVISOR: u64 = 8;
/// Fewest connections that are not shared out.
const MIN_RESERVED: u64 = 2;
/// A gateway counts for so long after the leader has ceased to count it: connections of a
/// machine that is suspended or cut off stay open at their back ends.
const GONE_GATEWAY_LIFETIME: Millis = Millis::from_secs(15);

/// Connections that one gateway may have to one back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionShare {
    /// Requests under way at once, each on a connection of its own.
    pub in_use: u64,
    /// Idle connections that may be kept.
    pub idle: usize,
}

impl ConnectionShare {
    /// The share of one of so many gateways.
    pub fn new(bound: u64, gateways: u64) -> Self {
        let reserved = (bound / RESERVED_DIVISOR).max(MIN_RESERVED);
        let share = bound.saturating_sub(reserved) / gateways.max(1);
        ConnectionShare {
            in_use: share.max(1),
            idle: usize::try_from(share).unwrap_or(usize::MAX),
        }
    }

    /// The share where the route table names no bound.
    pub fn unbounded() -> Self {
        ConnectionShare {
            in_use: u64::MAX,
            idle: usize::MAX,
        }
    }
}

/// Gateways among which connections are shared out.
#[derive(Debug, Clone, Default)]
pub(crate) struct SharingGateways {
    highest: Option<u64>,
    /// When the leader last counted that many.
    counted_at: Millis,
}

impl SharingGateways {
    /// Takes the leader's count.
    pub(crate) fn note(&mut self, gateways: u64, now: Millis) {
        let is_expired = now.since(self.counted_at) > GONE_GATEWAY_LIFETIME;
        if is_expired || self.highest.is_none_or(|highest| gateways >= highest) {
            self.highest = Some(gateways);
            self.counted_at = now;
        }
    }

    /// The number of gateways; `None` where no leader has reported it.
    pub(crate) fn count(&self) -> Option<u64> {
        self.highest
    }
}
