//! The leader's orders to buy and to release engines, in virtual time.

use std::collections::BTreeMap;
use std::sync::Arc;

use garnet_consensus::Config;
use garnet_control::{
    BackendRegistration, Command, Duty, DutyAnswer, DutyCall, DutySettings, Effect,
    EngineObservation, Event, MachineEntry, ReplicaSettings, UNKNOWN_START,
};
use garnet_planner::EngineKind;
use garnet_routes::{PriceMilli, RouteTable, ScalingSettings, ServiceSettings};
use garnet_types::{
    BackendId, BackendKind, BuildId, EngineRole, MachineState, Millis, ReplicaId, ServiceId,
};

use crate::fleet::assignment;
use crate::leader::Leader;

const ZONES: [&str; 3] = ["a", "b", "c"];
const STEP: Millis = Millis(1000);

fn table(buying: Option<ScalingSettings>) -> Command {
    let service = ServiceSettings {
        name: ServiceId::new("words"),
        max_connections: 100,
        engine: None,
        buying,
    };
    Command::PutRoutes {
        table: Arc::new(RouteTable {
            version: 1,
            services: vec![service],
            ..RouteTable::default()
        }),
        document: String::new(),
    }
}

fn terms() -> ScalingSettings {
    ScalingSettings {
        least_in_zone: 1,
        most_in_zone: 15,
        start_ms: Millis(4000),
        preemptible_price: Some(PriceMilli(200)),
        zone_prices: BTreeMap::new(),
    }
}

/// A replica that buys engines.
fn settings() -> ReplicaSettings {
    ReplicaSettings {
        duties: Some(DutySettings {
            fences_checked: true,
            alternation_window: Millis(3000),
            call_timeout: Millis(1500),
            usage_window: None,
            buys_engines: true,
        }),
        ..ReplicaSettings::new(Config::new(ReplicaId(1), 1))
    }
}

/// A provider that carries out orders, and its list of machines.
struct Provider {
    leader: Leader,
    /// Number of serving engines, by zone and kind.
    engines: BTreeMap<(usize, EngineKind), u32>,
    /// Answer to orders for preemptible engines.
    answer: DutyAnswer,
    calls: Vec<DutyCall>,
}

impl Provider {
    /// A provider with `dedicated` engines in each zone, and a service with these terms.
    fn with(dedicated: u32, buying: Option<ScalingSettings>) -> Self {
        let in_zone = |zone| ((zone, EngineKind::Dedicated), dedicated);
        Provider {
            leader: Leader::elected(settings(), vec![table(buying)]),
            engines: (0..ZONES.len()).map(in_zone).collect(),
            answer: DutyAnswer::Done,
            calls: Vec::new(),
        }
    }

    fn list(&self) -> Vec<MachineEntry> {
        let of_kind = |((zone, kind), count): (&(usize, EngineKind), &u32)| {
            let (zone, kind) = (*zone, *kind);
            (0..*count).map(move |number| entry(zone, kind, number))
        };
        self.engines.iter().flat_map(of_kind).collect()
    }

    /// Advances the time by some seconds; orders are carried out at once.
    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.leader.handle_event(Event::Machines(self.list()));
            let effects = self.leader.run(STEP);
            for effect in effects {
                if let Effect::CallPlatform(call) = effect {
                    self.carry_out(call);
                }
            }
        }
    }

    fn carry_out(&mut self, call: DutyCall) {
        let Duty::Fleet {
            zone,
            kind,
            engines,
            ..
        } = &call.duty
        else {
            panic!("no usage is reported here");
        };
        let zone_index = ZONES.iter().position(|name| name == zone).expect("a zone");
        let answer = match kind {
            EngineKind::Preemptible => self.answer,
            EngineKind::Dedicated => DutyAnswer::Done,
        };
        if answer == DutyAnswer::Done {
            self.engines.insert((zone_index, *kind), *engines);
        }
        self.calls.push(call.clone());
        self.leader
            .handle_event(Event::DutyAnswered { call, answer });
    }

    fn count(&self, kind: EngineKind) -> Vec<u32> {
        let in_zone = |zone| self.engines.get(&(zone, kind)).copied().unwrap_or_default();
        (0..ZONES.len()).map(in_zone).collect()
    }
}

fn entry(zone: usize, kind: EngineKind, number: u32) -> MachineEntry {
    MachineEntry {
        registration: BackendRegistration {
            id: BackendId::new(format!("{}-{}-{number}", ZONES[zone], kind.as_str())),
            kind: BackendKind::Engine,
            service: ServiceId::new("words"),
            address: format!("10.0.{zone}.1:{number}"),
            zone: ZONES[zone].to_owned(),
            start: UNKNOWN_START,
        },
        state: MachineState::Live,
        observed: Some(EngineObservation {
            incarnation: 1,
            assignment: assignment(EngineRole::Mixed, "m"),
        }),
        is_preemptible: kind == EngineKind::Preemptible,
        build: BuildId::default(),
    }
}

#[test]
fn dedicated_engines_are_replaced_by_more_that_cost_less() {
    let mut provider = Provider::with(10, Some(terms()));
    provider.run(12);
    assert_eq!(provider.count(EngineKind::Preemptible), [15, 15, 15]);
    assert_eq!(provider.count(EngineKind::Dedicated), [0, 0, 0]);
    // Engines that exist are not ordered again.
    let calls = provider.calls.len();
    provider.run(30);
    assert_eq!(provider.calls.len(), calls);
}

#[test]
fn a_fixed_fleet_stays_as_it_is() {
    let mut provider = Provider::with(10, None);
    provider.run(12);
    assert_eq!(provider.calls, []);
}

/// Without preemptible engines no dedicated ones are released, and each further order has a
/// higher token.
#[test]
fn refused_orders_release_no_engines() {
    let mut provider = Provider::with(10, Some(terms()));
    provider.answer = DutyAnswer::Refused;
    provider.run(12);
    assert_eq!(provider.count(EngineKind::Dedicated), [10, 10, 10]);
    let of_zone = |zone: &'static str| {
        let calls = provider.calls.iter();
        calls.filter(move |call| matches!(&call.duty, Duty::Fleet { zone: z, .. } if z == zone))
    };
    for zone in ZONES {
        let tokens: Vec<u64> = of_zone(zone).map(|call| call.token).collect();
        assert!(tokens.len() > 3, "asked only {} times", tokens.len());
        assert!(
            tokens.is_sorted_by(|left, right| left < right),
            "{tokens:?}"
        );
    }
    provider.answer = DutyAnswer::Done;
    provider.run(20);
    assert_eq!(provider.count(EngineKind::Dedicated), [0, 0, 0]);
}

/// An order without an answer may be carried out late; the next one makes it void.
#[test]
fn an_unanswered_order_is_repeated_with_a_higher_token() {
    let mut provider = Provider::with(10, Some(terms()));
    provider.answer = DutyAnswer::Unknown;
    provider.run(8);
    let first = &provider.calls[0];
    let again = provider.calls.iter().filter(|call| call.duty == first.duty);
    let tokens: Vec<u64> = again.map(|call| call.token).collect();
    assert!(tokens.len() > 1);
    assert!(
        tokens.is_sorted_by(|left, right| left < right),
        "{tokens:?}"
    );
}

#[test]
fn engines_of_a_lost_zone_are_bought_again() {
    let mut provider = Provider::with(10, Some(terms()));
    provider.run(12);
    provider.engines.insert((1, EngineKind::Preemptible), 0);
    provider.answer = DutyAnswer::Refused;
    provider.run(5);
    assert_eq!(provider.count(EngineKind::Preemptible), [15, 0, 15]);
    provider.answer = DutyAnswer::Done;
    provider.run(5);
    assert_eq!(provider.count(EngineKind::Preemptible), [15, 15, 15]);
    assert_eq!(provider.count(EngineKind::Dedicated), [0, 0, 0]);
}

/// The number of needed engines is in the log: a new leader that sees only the preemptible
/// engines buys no fewer.
#[test]
fn a_new_leader_knows_how_many_engines_are_needed() {
    let mut provider = Provider::with(10, Some(terms()));
    provider.run(12);
    let needed = provider.leader.replica.state().needed_engines.clone();
    assert_eq!(needed.get(&ServiceId::new("words")), Some(&30));
    let note = Command::NoteNeeded {
        service: ServiceId::new("words"),
        engines: 30,
    };
    let leader = Leader::elected(settings(), vec![table(Some(terms())), note]);
    provider.leader = leader;
    provider.calls.clear();
    provider.engines.insert((2, EngineKind::Preemptible), 4);
    provider.run(12);
    assert_eq!(provider.count(EngineKind::Preemptible), [15, 15, 15]);
    assert_eq!(provider.calls.len(), 1);
}
