//! Links: latency, order, cuts, loss.

use std::collections::{BTreeMap, BTreeSet};

use garnet_types::Millis;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::message::Host;

const FASTEST_MS: u64 = 1;
const SLOWEST_MS: u64 = 4;
/// Longest extra delay on a bad network.
const BAD_DELAY_MS: u64 = 800;
const BAD_LOSS: f64 = 0.15;
const BAD_REPEAT: f64 = 0.1;

/// The state of all links.
#[derive(Debug, Default)]
pub(crate) struct Network {
    no_inbound: BTreeMap<Host, u32>,
    no_outbound: BTreeMap<Host, u32>,
    bad: BTreeMap<Host, u32>,
    /// Gateways that no message passes to or from back ends.
    no_back_ends: BTreeMap<Host, u32>,
    last_delivery: BTreeMap<(Host, Host), Millis>,
}

/// When the copies of one message arrive; none when it is lost.
pub(crate) type Deliveries = Vec<Millis>;

impl Network {
    pub(crate) fn cut_inbound(&mut self, host: Host) {
        *self.no_inbound.entry(host).or_default() += 1;
    }

    pub(crate) fn heal_inbound(&mut self, host: Host) {
        release(&mut self.no_inbound, host);
    }

    pub(crate) fn cut_outbound(&mut self, host: Host) {
        *self.no_outbound.entry(host).or_default() += 1;
    }

    pub(crate) fn heal_outbound(&mut self, host: Host) {
        release(&mut self.no_outbound, host);
    }

    pub(crate) fn cut_from_back_ends(&mut self, gateway: Host) {
        *self.no_back_ends.entry(gateway).or_default() += 1;
    }

    pub(crate) fn heal_to_back_ends(&mut self, gateway: Host) {
        release(&mut self.no_back_ends, gateway);
    }

    pub(crate) fn make_bad(&mut self, host: Host) {
        *self.bad.entry(host).or_default() += 1;
    }

    pub(crate) fn make_good(&mut self, host: Host) {
        release(&mut self.bad, host);
    }

    /// Whether nothing gets from one host to the other now.
    pub(crate) fn is_cut(&self, from: Host, to: Host) -> bool {
        let is_back_end = |host| matches!(host, Host::Engine(_) | Host::Application(_));
        let lacks_path =
            |gateway, other| is_back_end(other) && self.no_back_ends.contains_key(&gateway);
        self.no_outbound.contains_key(&from)
            || self.no_inbound.contains_key(&to)
            || lacks_path(from, to)
            || lacks_path(to, from)
    }

    /// When a message that may be lost arrives.
    pub(crate) fn deliveries(
        &mut self,
        random: &mut Pcg64Mcg,
        from: Host,
        to: Host,
        now: Millis,
    ) -> Deliveries {
        if self.is_cut(from, to) {
            return Vec::new();
        }
        let is_bad = self.bad.contains_key(&from) || self.bad.contains_key(&to);
        if !is_bad {
            return vec![self.in_order(random, from, to, now)];
        }
        let mut deliveries = Vec::new();
        let copies = 1 + u32::from(random.random_bool(BAD_REPEAT));
        for _ in 0..copies {
            if !random.random_bool(BAD_LOSS) {
                let delay = random.random_range(FASTEST_MS..BAD_DELAY_MS);
                deliveries.push(now + Millis(delay));
            }
        }
        deliveries
    }

    /// When a message of a connection arrives: behind all earlier ones.
    pub(crate) fn in_order(
        &mut self,
        random: &mut Pcg64Mcg,
        from: Host,
        to: Host,
        now: Millis,
    ) -> Millis {
        let latency = Millis(random.random_range(FASTEST_MS..=SLOWEST_MS));
        let last = self.last_delivery.entry((from, to)).or_default();
        *last = (*last).max(now + latency);
        *last
    }

    /// Hosts with any fault of their links.
    pub(crate) fn troubled(&self) -> BTreeSet<Host> {
        let all = [
            &self.no_inbound,
            &self.no_outbound,
            &self.bad,
            &self.no_back_ends,
        ];
        all.into_iter()
            .flat_map(|map| map.keys().copied())
            .collect()
    }
}

fn release(counts: &mut BTreeMap<Host, u32>, host: Host) {
    if let Some(count) = counts.get_mut(&host) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&host);
        }
    }
}
