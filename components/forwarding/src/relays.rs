//! Peer gateways that relay requests for this one.
//!
//! Contract: [`RelayDirectory::choose`] spreads requests over the nearest relays that are
//! reported to reach the service and that work. The list comes from the leader; while there is no
//! leader, the last list stays in force.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use garnet_control::Relay;
use garnet_routes::WorkKind;
use garnet_routing::CircuitBreaker;
use garnet_types::{Millis, ServiceId};

/// A relay that is missing in the leader's lists for this time is forgotten: a new leader
/// knows all gateways after about a second.
const UNLISTED_LIFETIME: Millis = Millis::from_secs(3);

/// A relay that stops is left out for this time at most: no list may tell that it has been started
/// again.
const MAX_STOP_TIME: Millis = Millis::from_secs(8);

/// A relay in another zone is chosen if the nearest one has more requests in flight by this
/// number.
const FAR_PENALTY: usize = 4;

#[derive(Debug)]
struct Known {
    relay: Relay,
    listed_at: Millis,
    /// Requests of this gateway that it has in flight.
    in_flight: usize,
    /// Number of the last request that it was sent, in the order of all.
    last_sent: u64,
    breaker: CircuitBreaker,
    /// Whether it has declined work that may run at most once, as it is of an earlier build.
    declines_single_runs: bool,
    /// When it last refused a request as it stops.
    stopping_since: Option<Millis>,
}

impl Known {
    fn is_stopping(&self, now: Millis) -> bool {
        let since = self.stopping_since;
        since.is_some_and(|since| now.since(since) <= MAX_STOP_TIME)
    }
}

/// The relays that this gateway may use.
#[derive(Debug)]
pub struct RelayDirectory {
    zone: String,
    relays: BTreeMap<SocketAddr, Known>,
    /// When the last list was taken.
    listed_at: Millis,
    sent: u64,
}

impl RelayDirectory {
    /// Creates an empty directory of a gateway in `zone`.
    pub fn new(zone: String) -> Self {
        RelayDirectory {
            zone,
            relays: BTreeMap::new(),
            listed_at: Millis(0),
            sent: 0,
        }
    }

    /// Takes the leader's list.
    pub fn take_list(&mut self, list: Vec<Relay>, now: Millis) {
        let last_list_at = std::mem::replace(&mut self.listed_at, now);
        for relay in list {
            match self.relays.get_mut(&relay.address) {
                Some(known) => {
                    // The leader may not have the report of a stop yet.
                    let is_listed_anew = known.listed_at < last_list_at;
                    if is_listed_anew {
                        known.stopping_since = None;
                    }
                    known.relay = relay;
                    known.listed_at = now;
                    known.declines_single_runs = false;
                }
                None => {
                    let known = Known {
                        listed_at: now,
                        in_flight: 0,
                        last_sent: 0,
                        breaker: CircuitBreaker::default(),
                        declines_single_runs: false,
                        stopping_since: None,
                        relay,
                    };
                    self.relays.insert(known.relay.address, known);
                }
            }
        }
        self.relays.retain(|_, known| {
            known.in_flight > 0 || now.since(known.listed_at) <= UNLISTED_LIFETIME
        });
    }

    /// Number of known relays.
    pub fn len(&self) -> usize {
        self.relays.len()
    }

    /// Whether no relay is known.
    pub fn is_empty(&self) -> bool {
        self.relays.is_empty()
    }

    /// The relay for the next request of a kind to a service, none of those in `tried`: the one with
    /// the fewest requests of this gateway, where one in another zone counts as busier. Relays that
    /// the last list lacks come last.
    pub fn choose(
        &self,
        service: &ServiceId,
        kind: WorkKind,
        tried: &[SocketAddr],
        now: Millis,
    ) -> Option<SocketAddr> {
        let may_take = |known: &&Known| {
            known.breaker.allows(now)
                && !known.is_stopping(now)
                && (kind.may_repeat() || !known.declines_single_runs)
                && !known.relay.unreached.contains(service)
                && !tried.contains(&known.relay.address)
        };
        let candidates = self.relays.values().filter(may_take);
        let order = |known: &&Known| {
            let is_far = known.relay.zone != self.zone;
            let penalty = if is_far { FAR_PENALTY } else { 0 };
            let is_unlisted = known.listed_at < self.listed_at;
            (is_unlisted, known.in_flight + penalty, known.last_sent)
        };
        let chosen = candidates.min_by_key(order)?;
        Some(chosen.relay.address)
    }

    /// Records that a request is sent to a relay.
    pub fn sent(&mut self, address: SocketAddr) {
        self.sent += 1;
        if let Some(known) = self.relays.get_mut(&address) {
            known.in_flight += 1;
            known.last_sent = self.sent;
            known.breaker.sent();
        }
    }

    /// Records that a request at a relay has ended.
    pub fn ended(&mut self, address: SocketAddr) {
        if let Some(known) = self.relays.get_mut(&address) {
            known.in_flight = known.in_flight.saturating_sub(1);
            known.breaker.released();
        }
    }

    /// Records that a relay answered, whatever the answer.
    pub fn answered(&mut self, address: SocketAddr) {
        if let Some(known) = self.relays.get_mut(&address) {
            known.breaker.succeeded();
        }
    }

    /// Records that a relay has no path to a service itself. The leader's next list replaces
    /// this.
    pub fn lacks_path(&mut self, address: SocketAddr, service: &ServiceId) {
        if let Some(known) = self.relays.get_mut(&address) {
            known.relay.unreached.push(service.clone());
        }
    }

    /// Records that a relay declines work that may run at most once. It is asked again after the
    /// leader's next list: the relay may have been upgraded, and the list does not name builds.
    pub fn declines_single_runs(&mut self, address: SocketAddr) {
        if let Some(known) = self.relays.get_mut(&address) {
            known.breaker.succeeded();
            known.declines_single_runs = true;
        }
    }

    /// Records that a relay has begun a planned stop and takes no more requests. It is left out
    /// until the leader lists it anew.
    pub fn stopping(&mut self, address: SocketAddr, now: Millis) {
        if let Some(known) = self.relays.get_mut(&address) {
            known.breaker.succeeded();
            known.stopping_since = Some(now);
        }
    }

    /// Records that a relay is not reached or has no room.
    pub fn unavailable(&mut self, address: SocketAddr, now: Millis) {
        if let Some(known) = self.relays.get_mut(&address) {
            known.breaker.unresponsive(now);
        }
    }
}
