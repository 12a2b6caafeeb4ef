//! The leader's orders to buy and to release engines: what was ordered, what the
//! platform's list shows, and when to order again.

use std::collections::{BTreeMap, BTreeSet};

use garnet_planner::{EngineKind, FleetConstraints, ZoneFleet, target_fleet};
use garnet_routes::{RouteTable, ScalingSettings, ServiceSettings};
use garnet_types::{BackendId, BackendKind, MachineState, Millis, ServiceId};

use crate::duties::{Duty, DutyAnswer};
use crate::effects::MachineEntry;

/// How long the number of dedicated engines in the list must not have grown before any is
/// released: the list arrives in parts when everything starts.
const SETTLE_TIME: Millis = Millis(2500);
/// Delay of the list: engines of an order appear in it this long after they serve.
const LIST_DELAY: Millis = Millis::from_secs(3);
/// Time that released engines take to finish their work and leave the list.
const RELEASE_DURATION: Millis = Millis::from_secs(15);
/// Time after which an order is repeated if it was not carried out.
const RETRY_INTERVAL: Millis = Millis::from_secs(1);

/// Subject of an order for engines: a zone of a service, and a kind.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct OrderKey {
    service: ServiceId,
    zone: String,
    kind: EngineKind,
}

/// The last order for one subject.
#[derive(Debug, Clone, Copy)]
struct LastOrder {
    /// Ordered number of engines; `None` if the order was not carried out.
    engines: Option<u32>,
    at: Millis,
    /// When the order may be repeated.
    retry_at: Millis,
}

/// Engines of one service in the platform's list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct ListedEngines {
    /// Zones without engines are kept, as engines may be bought there again.
    zones: BTreeMap<String, ZoneFleet>,
    /// When the number of dedicated engines last reached a new maximum.
    grew_at: Millis,
    max_dedicated: u32,
    dedicated_engines: BTreeSet<BackendId>,
}

impl ListedEngines {
    fn dedicated(&self) -> u32 {
        self.zones.values().map(|zone| zone.dedicated).sum()
    }
}

/// State of the fleet's sizing on the leader. It may be lost at any time.
#[derive(Debug, Default)]
pub(crate) struct FleetSizing {
    listed: BTreeMap<ServiceId, ListedEngines>,
    ordered: BTreeMap<OrderKey, LastOrder>,
}

/// A step of the fleet's sizing.
#[derive(Debug, PartialEq)]
pub(crate) enum SizingStep {
    /// Record in the log that the service needs as many engines as it has dedicated ones.
    NoteNeeded(ServiceId, u32),
    /// Order engines.
    Order(Duty),
}

impl FleetSizing {
    /// Updates the listed engines from the platform's list.
    pub(crate) fn update_machines(&mut self, machines: &[MachineEntry], now: Millis) {
        for service in self.listed.values_mut() {
            service
                .zones
                .values_mut()
                .for_each(|zone| *zone = ZoneFleet::default());
        }
        let engines = machines
            .iter()
            .filter(|entry| entry.registration.kind == BackendKind::Engine);
        for entry in engines {
            let service = entry.registration.service.clone();
            let service = self.listed.entry(service).or_default();
            let zone = entry.registration.zone.clone();
            let fleet = service.zones.entry(zone).or_default();
            match (entry.state, entry.is_preemptible) {
                (MachineState::Live, true) => fleet.preemptible += 1,
                (MachineState::Live, false) => {
                    fleet.dedicated += 1;
                    let id = entry.registration.id.clone();
                    service.dedicated_engines.insert(id);
                }
                (MachineState::Leaving, _) => {}
            }
        }
        for service in self.listed.values_mut() {
            let dedicated = service.dedicated();
            if dedicated > service.max_dedicated {
                service.max_dedicated = dedicated;
                service.grew_at = now;
            }
        }
    }

    /// Engines that will be released as soon as other engines serve in their place.
    pub(crate) fn engines_to_release(
        &self,
        routes: &RouteTable,
        needed: &BTreeMap<ServiceId, u32>,
    ) -> BTreeSet<BackendId> {
        let mut engines = BTreeSet::new();
        for service in &routes.services {
            let listed = self.listed.get(&service.name);
            let (Some(terms), Some(listed)) = (&service.buying, listed) else {
                continue;
            };
            let needed = needed.get(&service.name).copied().unwrap_or_default();
            let zones: Vec<ZoneFleet> = listed.zones.values().copied().collect();
            if target_fleet(needed, &fleet_constraints(terms), &zones).is_some() {
                engines.extend(listed.dedicated_engines.iter().cloned());
            }
        }
        engines
    }

    /// The steps to take now. `needed` holds the number of engines that each service needs
    /// according to the log.
    pub(crate) fn steps(
        &self,
        routes: &RouteTable,
        needed: &BTreeMap<ServiceId, u32>,
        now: Millis,
    ) -> Vec<SizingStep> {
        let services = routes.services.iter();
        services
            .flat_map(|service| self.steps_for(service, needed.get(&service.name), now))
            .collect()
    }

    fn steps_for(
        &self,
        service: &ServiceSettings,
        needed: Option<&u32>,
        now: Millis,
    ) -> Vec<SizingStep> {
        let Some(terms) = &service.buying else {
            return Vec::new();
        };
        let Some(listed) = self.listed.get(&service.name) else {
            return Vec::new();
        };
        let dedicated = listed.dedicated();
        let needed = needed.copied().unwrap_or_default();
        if dedicated > needed {
            return vec![SizingStep::NoteNeeded(service.name.clone(), dedicated)];
        }
        let zones: Vec<ZoneFleet> = listed.zones.values().copied().collect();
        let Some(target) = target_fleet(needed, &fleet_constraints(terms), &zones) else {
            return Vec::new();
        };
        let is_settled = now.since(listed.grew_at) >= SETTLE_TIME;
        let mut steps = Vec::new();
        for ((zone, listed_fleet), zone_target) in listed.zones.iter().zip(&target) {
            for kind in [EngineKind::Preemptible, EngineKind::Dedicated] {
                if kind == EngineKind::Dedicated && !is_settled {
                    continue;
                }
                let key = OrderKey {
                    service: service.name.clone(),
                    zone: zone.clone(),
                    kind,
                };
                let (listed_count, target) = (listed_fleet.count(kind), zone_target.count(kind));
                if self.is_due(&key, listed_count, target, terms.start_ms, now) {
                    steps.push(SizingStep::Order(key.order(target)));
                }
            }
        }
        steps
    }

    /// Returns whether the order has to be sent, for the first time or again.
    fn is_due(
        &self,
        key: &OrderKey,
        listed_count: u32,
        target: u32,
        start_time: Millis,
        now: Millis,
    ) -> bool {
        let Some(ordered) = self.ordered.get(key) else {
            return listed_count != target;
        };
        if now < ordered.retry_at {
            return false;
        }
        if ordered.engines != Some(target) {
            return true;
        }
        let expected_duration = if listed_count < target {
            start_time + LIST_DELAY
        } else {
            RELEASE_DURATION
        };
        listed_count != target && now.since(ordered.at) >= expected_duration
    }

    /// Records that an order is sent now.
    pub(crate) fn on_order_sent(&mut self, duty: &Duty, now: Millis) {
        if let Some((key, engines)) = OrderKey::of(duty) {
            let ordered = LastOrder {
                engines: Some(engines),
                at: now,
                retry_at: now,
            };
            self.ordered.insert(key, ordered);
        }
    }

    /// Handles the answer to an order.
    pub(crate) fn on_answer(&mut self, duty: &Duty, answer: DutyAnswer, now: Millis) {
        if answer == DutyAnswer::Done {
            return;
        }
        // Treated as if the order had never been sent. If its answer was lost, the token of
        // the next order makes it void.
        if let Some((key, _)) = OrderKey::of(duty)
            && let Some(ordered) = self.ordered.get_mut(&key)
        {
            ordered.engines = None;
            ordered.retry_at = now + RETRY_INTERVAL;
        }
    }
}

impl OrderKey {
    fn of(duty: &Duty) -> Option<(OrderKey, u32)> {
        let Duty::Fleet {
            service,
            zone,
            kind,
            engines,
        } = duty
        else {
            return None;
        };
        let key = OrderKey {
            service: service.clone(),
            zone: zone.clone(),
            kind: *kind,
        };
        Some((key, *engines))
    }

    fn order(self, engines: u32) -> Duty {
        Duty::Fleet {
            service: self.service,
            zone: self.zone,
            kind: self.kind,
            engines,
        }
    }
}

fn fleet_constraints(terms: &ScalingSettings) -> FleetConstraints {
    FleetConstraints {
        min_per_zone: terms.least_in_zone,
        max_per_zone: terms.most_in_zone,
        preemptible_price: terms.preemptible_price.map(|price| price.as_f64()),
    }
}
