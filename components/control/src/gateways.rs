//! The gateways' leases on the configuration, as tracked by the leader.
//!
//! A gateway may take new work until its own `sent_at` plus the lease duration. The leader
//! counts from the time of its answer, which is later, so it never considers a lease
//! expired too early. A new leader does not know the leases that the previous leader
//! granted, but all of them were granted before its election, so it waits for the duration
//! of one lease.

use std::collections::BTreeMap;

use garnet_types::{EncodingVersion, GatewayId, Millis};

use crate::operator::GatewayView;

/// How long a gateway may take new work after it asked for a lease.
pub const CONFIGURATION_LEASE: Millis = Millis(2500);
/// Added by the leader because clocks run at different speeds.
const CLOCK_DRIFT_ALLOWANCE: Millis = Millis(250);
/// A gateway is forgotten this long after its lease has expired.
const EXPIRED_LEASE_RETENTION: Millis = Millis::from_secs(60);

#[derive(Debug, Clone)]
struct GatewayLease {
    confirmed_index: u64,
    lease_end: Millis,
}

/// All leases that this leader has granted.
#[derive(Debug, Clone, Default)]
pub struct GatewayLeases {
    leases: BTreeMap<GatewayId, GatewayLease>,
    /// Until then leases granted by the previous leader may be valid.
    unknown_until: Millis,
    /// Number of leases that were valid at the last count or granted since.
    valid_count: u64,
    /// None of the counted leases expires before this time.
    next_expiry: Millis,
    /// Leases that counting has examined so far.
    leases_examined: u64,
}

impl GatewayLeases {
    /// The state at the start of a term: no lease is known, but some may be valid.
    pub fn at_start_of_term(now: Millis) -> Self {
        GatewayLeases {
            unknown_until: now + CONFIGURATION_LEASE + CLOCK_DRIFT_ALLOWANCE,
            ..GatewayLeases::default()
        }
    }

    /// Records a lease granted now to a gateway whose configuration has this index.
    pub fn grant(&mut self, gateway: GatewayId, index: u64, now: Millis) {
        let lease_end = now + CONFIGURATION_LEASE + CLOCK_DRIFT_ALLOWANCE;
        let lease = GatewayLease {
            confirmed_index: index,
            lease_end,
        };
        let previous = self.leases.insert(gateway, lease);
        if previous.is_none_or(|previous| previous.lease_end <= now) {
            self.valid_count += 1;
            self.next_expiry = self.next_expiry.min(lease_end);
        }
    }

    /// Returns whether no gateway can still take new work under a configuration older than
    /// `index`.
    pub fn all_confirmed(&self, index: u64, now: Millis) -> bool {
        let known_confirmed = self
            .leases
            .values()
            .all(|lease| lease.confirmed_index >= index || lease.lease_end <= now);
        known_confirmed && now >= self.unknown_until
    }

    /// Forgets gateways whose lease expired long ago.
    pub fn forget_silent(&mut self, now: Millis) {
        self.leases
            .retain(|_, lease| now.since(lease.lease_end) < EXPIRED_LEASE_RETENTION);
    }

    /// Returns whether the gateway holds or recently held a lease.
    pub(crate) fn is_known(&self, gateway: &GatewayId) -> bool {
        self.leases.contains_key(gateway)
    }

    /// Whether the gateway is among the first `count` that hold a lease.
    pub(crate) fn is_among_first(&self, gateway: &GatewayId, count: usize, now: Millis) -> bool {
        let holders = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.lease_end > now);
        holders.take(count).any(|(holder, _)| holder == gateway)
    }

    /// Number of gateways that hold a lease. All leases are examined only when one of them
    /// may have expired: each answer to a gateway contains this number, and examining all
    /// leases for each would cost the square of the number of gateways.
    pub fn count(&mut self, now: Millis) -> u64 {
        if now >= self.next_expiry {
            let valid = self.leases.values().map(|lease| lease.lease_end);
            let valid = valid.filter(|end| *end > now);
            let (count, first) = valid.fold((0, Millis::NEVER), |(count, first), end| {
                (count + 1, first.min(end))
            });
            self.leases_examined += self.leases.len() as u64;
            self.valid_count = count;
            self.next_expiry = first;
        }
        self.valid_count
    }

    /// Number of leases that counting has examined so far.
    pub fn leases_examined(&self) -> u64 {
        self.leases_examined
    }

    /// The leases for a status page, with the version of each gateway.
    pub fn view(
        &self,
        now: Millis,
        version: impl Fn(&GatewayId) -> EncodingVersion,
    ) -> BTreeMap<GatewayId, GatewayView> {
        let view = |(id, lease): (&GatewayId, &GatewayLease)| {
            let view = GatewayView {
                confirmed_index: lease.confirmed_index,
                lease_left: lease.lease_end.since(now),
                version: version(id),
            };
            (id.clone(), view)
        };
        self.leases.iter().map(view).collect()
    }
}
