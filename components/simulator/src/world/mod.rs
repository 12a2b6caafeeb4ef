//! The event loop of a run and everything that hosts do to each other.

mod applications;
mod availability;
mod callers_and_operators;
mod control;
mod crashing;
mod ending;
mod engines;
mod experimenting;
mod faulting;
mod gateways;
mod limits;
mod messages;
mod path_cuts;
mod processes;
mod reporting;
mod ticks;
mod upgrading;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use garnet_planner::PlannerSettings;
use garnet_stand_in::{EngineSettings, PlatformStandIn};
use garnet_types::{BackendId, EncodingVersion, EngineRole, Millis, ReplicaId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::callers::Callers;
use crate::checker::Checker;
use crate::control_host::{ControlHost, initial_membership};
use crate::faults::{Fault, FaultKind, Sizes, plan_faults};
use crate::gateway_host::GatewayHost;
use crate::message::{Host, Message};
use crate::mix::{Demand, MixTraffic, Steering, Strategy};
use crate::network::Network;
use crate::operators::Operators;
use crate::scenario::{Report, Scenario};
use crate::service_hosts::{ApplicationHost, EngineHost, fast_engine, ordinary_engine};
use crate::timeline::Timeline;
use crate::workload::Workload;

use availability::{Overload, Reports};
use crashing::CrashingRequest;
use limits::NamedLimit;
use path_cuts::PathCuts;
use upgrading::Move;

pub(crate) use reporting::ReportTarget;
pub(crate) use upgrading::upgrade_settings;

/// How often daemons look at the clock.
const TICK: Millis = Millis(20);
/// Lag of the platform's list.
const PLATFORM_LAG: Millis = Millis(1000);
/// After the last fault the system has this long to serve as if nothing had
/// been.
const SETTLE: Millis = Millis::from_secs(45);
/// When the first request is sent.
const FIRST_ARRIVAL: Millis = Millis(4000);

#[derive(Debug, Clone)]
enum WorldEvent {
    Tick(Host),
    Deliver {
        from: Host,
        to: Host,
        /// Start of the receiver that the message was meant for, where that matters.
        start: Option<u64>,
        message: Box<Message>,
    },
    FaultBegins(usize),
    FaultEnds(usize),
    Start(Host),
    MoveOver(usize),
    RollIsHalted,
    NextArrival,
    NextCommand,
    CrashingRequestComes(usize),
    EngineCrashes {
        engine: usize,
        start: u64,
        request: usize,
        /// Gateway whose run crashes the engine.
        gateway: usize,
    },
}

/// A run in progress.
struct World {
    scenario: Scenario,
    random: Pcg64Mcg,
    now: Millis,
    queue: BinaryHeap<Reverse<(Millis, u64)>>,
    events: BTreeMap<u64, WorldEvent>,
    next_event: u64,
    network: Network,
    controls: Vec<ControlHost>,
    places: BTreeMap<ReplicaId, usize>,
    gateways: Vec<GatewayHost>,
    gateway_heard: Vec<Millis>,
    engines: Vec<EngineHost>,
    applications: Vec<ApplicationHost>,
    platform: PlatformStandIn,
    wrong_list: u32,
    delayed_orders: BTreeMap<Host, u32>,
    frozen_until: BTreeMap<Host, Millis>,
    clocks: BTreeMap<Host, f64>,
    /// Time for which each machine was suspended so far.
    suspended: BTreeMap<Host, Millis>,
    crashing: Vec<CrashingRequest>,
    /// Back ends that name a limit now.
    limits: BTreeMap<Host, NamedLimit>,
    overloads: BTreeMap<Host, Overload>,
    path_cuts: PathCuts,
    /// Until when the responses of an application have no marked end.
    unframed_until: BTreeMap<Host, Millis>,
    reports: BTreeMap<Host, Reports>,
    /// Faults that go on.
    open_faults: u64,
    callers: Callers,
    steering: Option<Steering>,
    operators: Operators,
    checker: Checker,
    timeline: Timeline,
    faults: Vec<Fault>,
    /// Processes that go over to another build.
    moves: Vec<Move>,
    struck: BTreeMap<FaultKind, u64>,
    /// When control, gateways or the platform last had trouble.
    disturbed_at: Millis,
    /// When each gateway last had trouble of its own.
    gateway_trouble: Vec<Millis>,
    next_call: u64,
    next_replica: u64,
    elections: u64,
    last_leader: Option<usize>,
    role_changes: u64,
    leaderless_since: Option<Millis>,
    leaderless_ms: Vec<u64>,
    questions: BTreeMap<u64, (Host, u64)>,
    next_ticket: u64,
    platform_read: Vec<Millis>,
}

/// Runs a scenario to its end, or to the first rule that does not hold.
pub fn run(scenario: &Scenario) -> Report {
    let mut world = World::new(scenario.clone());
    world.start_all();
    let end = scenario.span + Millis::from_secs(20) + SETTLE;
    let mut steps = 0;
    while let Some(Reverse((at, number))) = world.queue.pop() {
        steps += 1;
        if at > end || steps > scenario.most_steps || !world.checker.violations.is_empty() {
            break;
        }
        world.now = at;
        if let Some(event) = world.events.remove(&number) {
            world.take_event(event);
        }
    }
    if world.checker.violations.is_empty() && steps <= scenario.most_steps {
        world.final_checks();
    }
    world.report()
}

impl World {
    fn new(scenario: Scenario) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(scenario.seed);
        let sizes = Sizes {
            controls: scenario.controls,
            gateways: scenario.gateways,
            engines: scenario.engines,
            applications: scenario.applications,
        };
        let drawn = plan_faults(
            &mut random,
            &scenario.kinds,
            sizes,
            scenario.span,
            scenario.seed,
        );
        let faults = scenario.faults.clone().unwrap_or(drawn);
        let initial = initial_membership(scenario.controls);
        let planner = planner_settings(&scenario);
        let demand = scenario
            .experiment
            .is_some()
            .then(|| Demand::draw(scenario.seed, FIRST_ARRIVAL, scenario.span));
        let version = scenario.build_before.unwrap_or(EncodingVersion::CURRENT);
        let gateway_version = match scenario.gateways_first {
            true => EncodingVersion::CURRENT,
            false => version,
        };
        let controls: Vec<ControlHost> = (0..scenario.controls)
            .map(|place| {
                let host = ControlHost::new(place, initial.clone(), scenario.seed, planner);
                host.of_version(version)
            })
            .collect();
        let places = (0..scenario.controls)
            .map(|place| (ReplicaId(place as u64 + 1), place))
            .collect();
        let only_planned_faults = scenario
            .kinds
            .iter()
            .all(|kind| FaultKind::PLANNED.contains(kind));
        let mut clocks = BTreeMap::new();
        for place in 0..scenario.controls {
            clocks.insert(Host::Control(place), random.random_range(0.98..1.02));
        }
        for place in 0..scenario.gateways {
            clocks.insert(Host::Gateway(place), random.random_range(0.98..1.02));
        }
        World {
            now: Millis(1000),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            network: Network::default(),
            controls,
            places,
            gateways: (0..scenario.gateways)
                .map(|place| GatewayHost::new(place, scenario.seed).of_version(gateway_version))
                .collect(),
            gateway_heard: vec![Millis::ZERO; scenario.gateways],
            engines: (0..scenario.engines)
                .map(|place| EngineHost::new(engine_settings(&scenario, place)))
                .collect(),
            applications: (0..scenario.applications)
                .map(ApplicationHost::new)
                .collect(),
            platform: PlatformStandIn::new(PLATFORM_LAG),
            wrong_list: 0,
            delayed_orders: BTreeMap::new(),
            frozen_until: BTreeMap::new(),
            clocks,
            suspended: BTreeMap::new(),
            crashing: Vec::new(),
            limits: BTreeMap::new(),
            overloads: BTreeMap::new(),
            path_cuts: PathCuts::default(),
            unframed_until: BTreeMap::new(),
            reports: BTreeMap::new(),
            open_faults: 0,
            callers: new_callers(&scenario, demand.as_ref(), only_planned_faults),
            steering: new_steering(&scenario, demand),
            operators: Operators::new(2, scenario.controls, scenario.engines),
            checker: Checker::default(),
            timeline: Timeline::of(scenario.timeline_of),
            faults,
            moves: upgrading::plan(&scenario),
            struck: BTreeMap::new(),
            disturbed_at: Millis::ZERO,
            gateway_trouble: vec![Millis::ZERO; scenario.gateways],
            next_call: 0,
            next_replica: 1000,
            elections: 0,
            last_leader: None,
            role_changes: 0,
            leaderless_since: Some(Millis(1000)),
            leaderless_ms: Vec::new(),
            questions: BTreeMap::new(),
            next_ticket: 0,
            platform_read: vec![Millis::ZERO; scenario.controls],
            random,
            scenario,
        }
    }

    fn start_all(&mut self) {
        let hosts = self.all_hosts();
        for host in hosts {
            self.start(host);
            self.schedule(self.now + TICK, WorldEvent::Tick(host));
        }
        for number in 0..self.faults.len() {
            self.schedule(self.faults[number].at, WorldEvent::FaultBegins(number));
        }
        if self.scenario.build_before.is_some() {
            let halted_until = upgrading::halted_until(&self.scenario);
            self.schedule(halted_until, WorldEvent::RollIsHalted);
        }
        for number in 0..self.moves.len() {
            self.schedule(self.moves[number].at, WorldEvent::MoveOver(number));
        }
        self.schedule(FIRST_ARRIVAL, WorldEvent::NextArrival);
        self.schedule(Millis(3000), WorldEvent::NextCommand);
    }

    fn all_hosts(&self) -> Vec<Host> {
        let controls = (0..self.controls.len()).map(Host::Control);
        let gateways = (0..self.gateways.len()).map(Host::Gateway);
        let engines = (0..self.engines.len()).map(Host::Engine);
        let applications = (0..self.applications.len()).map(Host::Application);
        controls
            .chain(gateways)
            .chain(engines)
            .chain(applications)
            .collect()
    }

    fn schedule(&mut self, at: Millis, event: WorldEvent) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((at, self.next_event)));
    }

    /// The clock of a host: each runs at a speed of its own.
    fn clock(&self, host: Host) -> Millis {
        let speed = self.clocks.get(&host).copied().unwrap_or(1.0);
        let suspended = self.suspended.get(&host).copied().unwrap_or_default();
        let counted = if self.scenario.clocks_stop {
            self.now - suspended
        } else {
            self.now
        };
        Millis((counted.0 as f64 * speed) as u64)
    }

    fn take_event(&mut self, event: WorldEvent) {
        if let Some(until) = self.frozen(&event) {
            // A frozen process finds its messages when it goes on.
            self.schedule(until, event);
            return;
        }
        match event {
            WorldEvent::Tick(host) => self.tick(host),
            WorldEvent::Deliver {
                from,
                to,
                start,
                message,
            } => self.deliver(from, to, start, *message),
            WorldEvent::FaultBegins(number) => self.begin_fault(number),
            WorldEvent::FaultEnds(number) => self.end_fault(number),
            WorldEvent::Start(host) => self.start(host),
            WorldEvent::MoveOver(number) => self.move_over(number),
            WorldEvent::RollIsHalted => self.check_halted(),
            WorldEvent::NextArrival => self.next_arrival(),
            WorldEvent::NextCommand => self.next_command(),
            WorldEvent::CrashingRequestComes(number) => self.crashing_request_comes(number),
            WorldEvent::EngineCrashes {
                engine,
                start,
                request,
                gateway,
            } => self.engine_crashes(engine, start, request, gateway),
        }
        self.check_leases();
    }

    fn frozen(&self, event: &WorldEvent) -> Option<Millis> {
        let host = match event {
            WorldEvent::Tick(host) => host,
            WorldEvent::Deliver { to, .. } => to,
            _ => return None,
        };
        let until = *self.frozen_until.get(host)?;
        (until > self.now).then_some(until)
    }
}

/// The planner works in every other run, and in experiments on it.
fn planner_settings(scenario: &Scenario) -> Option<PlannerSettings> {
    match &scenario.experiment {
        None => Some(PlannerSettings::default()).filter(|_| scenario.seed.is_multiple_of(2)),
        Some(experiment) => {
            let plans = experiment.strategy == Strategy::Planner;
            plans.then_some(experiment.deployment.planner)
        }
    }
}

fn engine_settings(scenario: &Scenario, place: usize) -> EngineSettings {
    match &scenario.experiment {
        None if place % 5 < 2 => fast_engine(EngineRole::Prefill),
        None => fast_engine(EngineRole::Decode),
        Some(experiment) => EngineSettings {
            capacity: experiment.deployment.capacity,
            ..ordinary_engine(experiment.deployment.roles[place])
        },
    }
}

fn new_callers(scenario: &Scenario, demand: Option<&Demand>, only_planned_faults: bool) -> Callers {
    match (&scenario.experiment, demand) {
        (Some(experiment), Some(demand)) => Callers::Mix(Box::new(MixTraffic::new(
            &experiment.deployment,
            demand,
            scenario.seed,
            scenario.gateways,
            FIRST_ARRIVAL,
            scenario.span,
        ))),
        _ => Callers::Checking(Box::new(Workload::new(
            scenario.gateways,
            only_planned_faults,
        ))),
    }
}

fn new_steering(scenario: &Scenario, demand: Option<Demand>) -> Option<Steering> {
    let experiment = scenario.experiment.as_ref()?;
    let deployment = experiment.deployment.clone();
    Some(Steering::new(experiment.strategy, deployment, demand?))
}

fn engine_id(place: usize) -> BackendId {
    BackendId::new(format!("engine-{place}"))
}

fn application_id(place: usize) -> BackendId {
    BackendId::new(format!("application-{place}"))
}

fn place_of(backend: &BackendId, prefix: &str) -> Option<usize> {
    backend.as_str().strip_prefix(prefix)?.parse().ok()
}
