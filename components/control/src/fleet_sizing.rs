//! The leader's orders for engines that are bought and given back: what the
//! platform was asked for, what its list shows, and when to ask again.

use std::collections::{BTreeMap, BTreeSet};

use garnet_planner::{EngineKind, FleetConstraints, ZoneFleet, target_fleet};
use garnet_routes::{BuyingTerms, RouteTable, ServiceSettings};
use garnet_types::{BackendId, BackendKind, MachineState, Millis, ServiceId};

use crate::duties::{Duty, DutyAnswer};
use crate::effects::MachineEntry;

/// How long the list must show no more dedicated engines than before, until any
/// is given back: it comes in parts when all starts.
const SETTLED_AFTER: Millis = Millis(2500);
/// The list trails by so much: an order that was carried out shows this much
/// later than its engines serve.
const LIST_TRAILS: Millis = Millis::from_secs(3);
/// Engines that are given back finish their work before they leave the list.
const LEAVING_TAKES: Millis = Millis::from_secs(15);
/// None were to be had: asked again after this time.
const ASKED_AGAIN_AFTER: Millis = Millis::from_secs(1);

/// What an order for engines is about: a zone of a service, and a kind.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct OrderKey {
    service: ServiceId,
    zone: String,
    kind: EngineKind,
}

/// The last order of its kind.
#[derive(Debug, Clone, Copy)]
struct Ordered {
    /// How many; `None` where it came to nothing.
    engines: Option<u32>,
    at: Millis,
    /// When it may be given again.
    again_at: Millis,
}

/// Engines of one service as the list shows them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Seen {
    /// Zones without engines stay known: engines are bought there again.
    zones: BTreeMap<String, ZoneFleet>,
    /// When more dedicated engines were seen than ever before.
    grew_at: Millis,
    most_dedicated: u32,
    dedicated_engines: BTreeSet<BackendId>,
}

impl Seen {
    fn dedicated(&self) -> u32 {
        self.zones.values().map(|zone| zone.dedicated).sum()
    }
}

/// What the leader remembers of the fleet's size. It can be lost at any time.
#[derive(Debug, Default)]
pub(crate) struct FleetSizing {
    seen: BTreeMap<ServiceId, Seen>,
    ordered: BTreeMap<OrderKey, Ordered>,
}

/// What is to be done about the fleet's size.
#[derive(Debug, PartialEq)]
pub(crate) enum SizingStep {
    /// Put the number of dedicated engines that the service has into the log: as
    /// many are needed.
    NoteNeeded(ServiceId, u32),
    /// Order engines.
    Order(Duty),
}

impl FleetSizing {
    /// Takes the platform's list.
    pub(crate) fn update_machines(&mut self, machines: &[MachineEntry], now: Millis) {
        for service in self.seen.values_mut() {
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
            let service = self.seen.entry(service).or_default();
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
        for service in self.seen.values_mut() {
            let dedicated = service.dedicated();
            if dedicated > service.most_dedicated {
                service.most_dedicated = dedicated;
                service.grew_at = now;
            }
        }
    }

    /// Engines that are given back as soon as others serve in their place.
    pub(crate) fn engines_to_release(
        &self,
        routes: &RouteTable,
        needed: &BTreeMap<ServiceId, u32>,
    ) -> BTreeSet<BackendId> {
        let mut engines = BTreeSet::new();
        for service in &routes.services {
            let seen = self.seen.get(&service.name);
            let (Some(terms), Some(seen)) = (&service.buying, seen) else {
                continue;
            };
            let needed = needed.get(&service.name).copied().unwrap_or_default();
            let zones: Vec<ZoneFleet> = seen.zones.values().copied().collect();
            if target_fleet(needed, &fleet_terms(terms), &zones).is_some() {
                engines.extend(seen.dedicated_engines.iter().cloned());
            }
        }
        engines
    }

    /// What is to be done now. `needed` are the engines that services need as
    /// the log tells.
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
        let Some(seen) = self.seen.get(&service.name) else {
            return Vec::new();
        };
        let dedicated = seen.dedicated();
        let needed = needed.copied().unwrap_or_default();
        if dedicated > needed {
            return vec![SizingStep::NoteNeeded(service.name.clone(), dedicated)];
        }
        let zones: Vec<ZoneFleet> = seen.zones.values().copied().collect();
        let Some(wanted) = target_fleet(needed, &fleet_terms(terms), &zones) else {
            return Vec::new();
        };
        let is_settled = now.since(seen.grew_at) >= SETTLED_AFTER;
        let mut steps = Vec::new();
        for ((zone, present), wanted) in seen.zones.iter().zip(&wanted) {
            for kind in [EngineKind::Preemptible, EngineKind::Dedicated] {
                if kind == EngineKind::Dedicated && !is_settled {
                    continue;
                }
                let key = OrderKey {
                    service: service.name.clone(),
                    zone: zone.clone(),
                    kind,
                };
                let (present, wanted) = (present.count(kind), wanted.count(kind));
                if self.is_due(&key, present, wanted, terms.start_ms, now) {
                    steps.push(SizingStep::Order(key.order(wanted)));
                }
            }
        }
        steps
    }

    /// Whether the order has to be given, for the first time or again.
    fn is_due(
        &self,
        key: &OrderKey,
        present: u32,
        wanted: u32,
        start_time: Millis,
        now: Millis,
    ) -> bool {
        let Some(ordered) = self.ordered.get(key) else {
            return present != wanted;
        };
        if now < ordered.again_at {
            return false;
        }
        if ordered.engines != Some(wanted) {
            return true;
        }
        let takes = if present < wanted {
            start_time + LIST_TRAILS
        } else {
            LEAVING_TAKES
        };
        present != wanted && now.since(ordered.at) >= takes
    }

    /// An order leaves now.
    pub(crate) fn on_order_sent(&mut self, duty: &Duty, now: Millis) {
        if let Some((key, engines)) = OrderKey::of(duty) {
            let ordered = Ordered {
                engines: Some(engines),
                at: now,
                again_at: now,
            };
            self.ordered.insert(key, ordered);
        }
    }

    /// An order was answered.
    pub(crate) fn on_answer(&mut self, duty: &Duty, answer: DutyAnswer, now: Millis) {
        if answer == DutyAnswer::Done {
            return;
        }
        // As if it had never been given; one whose answer was lost is void by
        // the next one's token.
        if let Some((key, _)) = OrderKey::of(duty)
            && let Some(ordered) = self.ordered.get_mut(&key)
        {
            ordered.engines = None;
            ordered.again_at = now + ASKED_AGAIN_AFTER;
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

fn fleet_terms(terms: &BuyingTerms) -> FleetConstraints {
    FleetConstraints {
        min_per_zone: terms.least_in_zone,
        max_per_zone: terms.most_in_zone,
        preemptible_price: terms.preemptible_price.map(|price| price.as_f64()),
    }
}
