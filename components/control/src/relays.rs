//! The gateways that relay requests of their peers, as they last reported to the leader.
//!
//! Contract: each gateway is sent a bounded list, whatever the size of the fleet, and each
//! gateway is on about as many lists as any other. A gateway takes the relays that follow it
//! on a ring, which is ordered by a hash of the gateways' ids. The reports are estimates: they
//! are never logged, and a new leader starts without them.

use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

use garnet_types::{GatewayId, Millis};
use xxhash_rust::xxh3::xxh3_64;

use crate::messages::{Relay, RelayReport};

/// A gateway that has not reported for this time is not listed: three times the interval
/// between two reports.
const REPORT_LIFETIME: Millis = Millis::from_secs(3);
/// Maximum number of relays in the gateway's own zone.
const MAX_NEAR_RELAYS: usize = 4;
/// Maximum number of relays in other zones. All gateways of a zone may lose their path at
/// once.
const MAX_FAR_RELAYS: usize = 6;
/// Maximum number of gateways of a zone that are examined for one list.
const MAX_EXAMINED: usize = 64;

/// Position of a gateway on the ring of its zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    hash: u64,
    gateway: GatewayId,
}

impl Position {
    fn of(gateway: &GatewayId) -> Self {
        Position {
            hash: xxh3_64(gateway.as_str().as_bytes()),
            gateway: gateway.clone(),
        }
    }
}

#[derive(Debug)]
struct Entry {
    relay: Relay,
    reported_at: Millis,
}

type Ring = BTreeMap<Position, Entry>;

/// The relays of all zones.
#[derive(Debug, Default)]
pub(crate) struct Relays {
    rings: BTreeMap<String, Ring>,
}

impl Relays {
    /// Records a gateway's report and returns the relays that it may use, the nearest first.
    pub(crate) fn report(&mut self, report: RelayReport, now: Millis) -> Vec<Relay> {
        let position = Position::of(&report.gateway);
        let ring = self.rings.entry(report.zone.clone()).or_default();
        match report.address {
            Some(address) => {
                let relay = Relay {
                    address,
                    zone: report.zone.clone(),
                    unreached: report.unreached,
                };
                let reported_at = now;
                ring.insert(position.clone(), Entry { relay, reported_at });
            }
            None => {
                ring.remove(&position);
            }
        }
        self.list_for(&position, &report.zone, now)
    }

    fn list_for(&self, position: &Position, zone: &str, now: Millis) -> Vec<Relay> {
        let near = self
            .rings
            .get(zone)
            .map(|ring| following(ring, position, now));
        let near = near.unwrap_or_default().into_iter().take(MAX_NEAR_RELAYS);
        let others = self.rings.iter().filter(|(other, _)| *other != zone);
        let far: Vec<Vec<&Relay>> = others
            .map(|(_, ring)| following(ring, position, now))
            .collect();
        near.chain(interleaved(&far).take(MAX_FAR_RELAYS))
            .cloned()
            .collect()
    }

    /// Removes gateways that no longer report.
    pub(crate) fn prune(&mut self, now: Millis) {
        for ring in self.rings.values_mut() {
            ring.retain(|_, entry| is_fresh(entry, now));
        }
        self.rings.retain(|_, ring| !ring.is_empty());
    }

    pub(crate) fn clear(&mut self) {
        self.rings.clear();
    }
}

fn is_fresh(entry: &Entry, now: Millis) -> bool {
    now.since(entry.reported_at) <= REPORT_LIFETIME
}

/// The gateways that follow a position on a ring. Those that reach all services come first.
fn following<'a>(ring: &'a Ring, position: &Position, now: Millis) -> Vec<&'a Relay> {
    let after = ring.range((Excluded(position), Unbounded));
    let before = ring.range(..position);
    let examined = after.chain(before).take(MAX_EXAMINED);
    let fresh = examined.filter(|(_, entry)| is_fresh(entry, now));
    let (mut complete, partial): (Vec<&Relay>, Vec<&Relay>) = fresh
        .map(|(_, entry)| &entry.relay)
        .partition(|relay| relay.unreached.is_empty());
    complete.extend(partial);
    complete
}

/// The first items of all lists, then the second ones, and so on.
fn interleaved<'a>(lists: &[Vec<&'a Relay>]) -> impl Iterator<Item = &'a Relay> {
    let longest = lists.iter().map(Vec::len).max().unwrap_or_default();
    (0..longest).flat_map(move |place| {
        lists
            .iter()
            .filter_map(move |list| list.get(place).copied())
    })
}
