//! Leases of the gateways on the configuration, as the leader counts them.
//!
//! A gateway may take new work until its own `sent_at` plus the lease. The
//! leader counts from when it answered, which is later, so its view of the end
//! is never too early. A new leader knows no leases of the former one, but all
//! of them were given before it was elected: it waits one lease out.

use std::collections::BTreeMap;

use garnet_types::{EncodingVersion, GatewayId, Millis};

use crate::operator::GatewayView;

/// How long a gateway may take new work after it asked for a lease.
pub const CONFIGURATION_LEASE: Millis = Millis(2500);
/// Added by the leader for clocks that run at different speeds.
const DRIFT_ALLOWANCE: Millis = Millis(250);
/// A gateway that was silent for this long is forgotten.
const FORGET_AFTER: Millis = Millis::from_secs(60);

#[derive(Debug, Clone)]
struct GatewayLease {
    confirmed_index: u64,
    lease_end: Millis,
}

/// All leases that this leader gave.
#[derive(Debug, Clone, Default)]
pub struct GatewayLeases {
    leases: BTreeMap<GatewayId, GatewayLease>,
    unknown_until: Millis,
    /// Leases that were held at the last count and since.
    held: u64,
    /// Until then none of those ends.
    held_until: Millis,
    /// Leases that counting has looked at so far.
    leases_examined: u64,
}

impl GatewayLeases {
    /// Leases at the start of a term: none known, some may run.
    pub fn at_start_of_term(now: Millis) -> Self {
        GatewayLeases {
            unknown_until: now + CONFIGURATION_LEASE + DRIFT_ALLOWANCE,
            ..GatewayLeases::default()
        }
    }

    /// Notes a lease that is given now to a gateway that works by `index`.
    pub fn grant(&mut self, gateway: GatewayId, index: u64, now: Millis) {
        let lease_end = now + CONFIGURATION_LEASE + DRIFT_ALLOWANCE;
        let lease = GatewayLease {
            confirmed_index: index,
            lease_end,
        };
        let before = self.leases.insert(gateway, lease);
        if before.is_none_or(|before| before.lease_end <= now) {
            self.held += 1;
            self.held_until = self.held_until.min(lease_end);
        }
    }

    /// Whether no gateway can take new work by a configuration before `index`.
    pub fn all_confirmed(&self, index: u64, now: Millis) -> bool {
        let known = self
            .leases
            .values()
            .all(|lease| lease.confirmed_index >= index || lease.lease_end <= now);
        known && now >= self.unknown_until
    }

    /// Forgets gateways that have been silent for long.
    pub fn forget_silent(&mut self, now: Millis) {
        self.leases
            .retain(|_, lease| now.since(lease.lease_end) < FORGET_AFTER);
    }

    /// Whether a gateway was heard not too long ago.
    pub(crate) fn is_known(&self, gateway: &GatewayId) -> bool {
        self.leases.contains_key(gateway)
    }

    /// Gateways that hold a lease. All are looked at only when one of them may have
    /// ended: each answer to a gateway tells this number, and a look at all for each
    /// would cost the square of the gateways.
    pub fn count(&mut self, now: Millis) -> u64 {
        if now >= self.held_until {
            let held = self.leases.values().map(|lease| lease.lease_end);
            let held = held.filter(|end| *end > now);
            let (count, first) = held.fold((0, Millis::NEVER), |(count, first), end| {
                (count + 1, first.min(end))
            });
            self.leases_examined += self.leases.len() as u64;
            self.held = count;
            self.held_until = first;
        }
        self.held
    }

    /// Leases that counting has looked at so far.
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
