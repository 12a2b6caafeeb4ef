//! Connections to back ends. The route table bounds them for all gateways together, and
//! each gateway has an even share.
//!
//! Contract: the shares of all gateways that the leader counts stay within the bound,
//! with a reserve for other callers. A bound below one connection a gateway can't be
//! divided: each gateway may then open one connection at a time and keeps none idle.

use garnet_types::Millis;

/// One connection in this many is reserved: the control group connects to back ends as
/// well, and a closed connection takes a moment to end at the other side.
const RESERVED_DIVISOR: u64 = 8;
/// Minimum number of reserved connections.
const MIN_RESERVED: u64 = 2;
/// How long a gateway still counts after the leader has ceased to count it: connections
/// of a machine that is suspended or partitioned stay open at their back ends.
const GONE_GATEWAY_LIFETIME: Millis = Millis::from_secs(15);

/// Connections that one gateway may have to one back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionShare {
    /// Requests in flight at once, each on its own connection.
    pub in_use: u64,
    /// Idle connections that may be kept.
    pub idle: usize,
}

impl ConnectionShare {
    /// The share of one gateway of `gateways`.
    pub fn new(bound: u64, gateways: u64) -> Self {
        let reserved = (bound / RESERVED_DIVISOR).max(MIN_RESERVED);
        let share = bound.saturating_sub(reserved) / gateways.max(1);
        ConnectionShare {
            in_use: share.max(1),
            idle: usize::try_from(share).unwrap_or(usize::MAX),
        }
    }

    /// The share if the route table sets no bound.
    pub fn unbounded() -> Self {
        ConnectionShare {
            in_use: u64::MAX,
            idle: usize::MAX,
        }
    }
}

/// The number of gateways among which connections are divided.
#[derive(Debug, Clone, Default)]
pub(crate) struct SharingGateways {
    highest: Option<u64>,
    /// When the leader last counted that many.
    counted_at: Millis,
}

impl SharingGateways {
    /// Takes the leader's count of gateways.
    pub(crate) fn note(&mut self, gateways: u64, now: Millis) {
        let is_expired = now.since(self.counted_at) > GONE_GATEWAY_LIFETIME;
        if is_expired || self.highest.is_none_or(|highest| gateways >= highest) {
            self.highest = Some(gateways);
            self.counted_at = now;
        }
    }

    /// The number of gateways; `None` if no leader has reported it.
    pub(crate) fn count(&self) -> Option<u64> {
        self.highest
    }
}
