//! The event loop of a run and everything that hosts do to each other.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use garnet_control::{
    BackendRegistration, ControlReply, Effect as ControlEffect, EngineRequest,
    Event as ControlEvent, MemberChange, OperatorRequest,
};
use garnet_gateway::{
    Answer, AttemptEvent, AttemptId, Effect as GatewayEffect, Event as GatewayEvent, Job,
};
use garnet_planner::PlannerSettings;
use garnet_stand_in::{JobOutput, JobRefusal, PlatformStandIn, SubmittedJob};
use garnet_storage::PowerLoss;
use garnet_types::{
    BackendId, BackendKind, EngineRole, MachineState, Millis, OrderAnswer, RecordedResponse,
    ReplicaId, RequestId, ServiceId,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::checker::{Checker, Invariant, Violation};
use crate::control_host::{ControlHost, initial_membership};
use crate::faults::{Fault, FaultKind, Sizes, plan_faults};
use crate::gateway_host::GatewayHost;
use crate::message::{Host, Message};
use crate::network::Network;
use crate::operators::{Operators, Question, policy_revision};
use crate::service_hosts::{
    APPLICATION_SERVICE, ApplicationHost, ENGINE_SERVICE, EngineHost, JobOwner, OpenCall,
};
use crate::workload::{Outgoing, Workload};

/// How often daemons look at the clock.
const TICK: Millis = Millis(20);
/// How often engines hand out their tokens.
const ENGINE_TICK: Millis = Millis(10);
/// Lag of the platform's list.
const PLATFORM_LAG: Millis = Millis(1000);
/// How often replicas read the list.
const PLATFORM_INTERVAL: Millis = Millis(500);
/// After the last fault the system has this long to serve as if nothing had
/// been.
const SETTLE: Millis = Millis::from_secs(45);
/// A leaving back end may get new work for so long, when nothing else fails.
const LEAVING_ALLOWANCE: Millis = Millis::from_secs(6);
/// Connecting takes so long at most.
const CONNECT_TIME: Millis = Millis(500);
/// A connection that gets nothing through is given up after this time.
const DEAD_CONNECTION: Millis = Millis::from_secs(30);
/// A gateway that hears nothing turns to another replica.
const CONTROL_SILENCE: Millis = Millis(1200);
/// Longest delay of an order under [`FaultKind::DelayOrders`].
const LONGEST_ORDER_DELAY_MS: u64 = 8000;
const PLANNED_HAND_OVER: Millis = Millis(400);

/// What is run.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Seed of everything.
    pub seed: u64,
    /// Kinds of faults that may strike.
    pub kinds: Vec<FaultKind>,
    /// Faults given one by one instead of drawn from the seed.
    pub faults: Option<Vec<Fault>>,
    /// Time in which faults begin.
    pub span: Millis,
    /// Replicas of the control group.
    pub controls: usize,
    /// Gateways.
    pub gateways: usize,
    /// Engines.
    pub engines: usize,
    /// Application instances.
    pub applications: usize,
    /// Most steps; the final checks are left out when they are used up.
    pub most_steps: u64,
}

impl Scenario {
    /// The sizes of today, with the given seed and faults.
    pub fn new(seed: u64, kinds: &[FaultKind]) -> Self {
        Scenario {
            seed,
            kinds: kinds.to_vec(),
            faults: None,
            span: Millis::from_secs(40),
            controls: 3,
            gateways: 2,
            engines: 5,
            applications: 3,
            most_steps: u64::MAX,
        }
    }
}

/// What came out.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Rules that did not hold.
    pub violations: Vec<Violation>,
    /// How often each rule was put to the test.
    pub checks: BTreeMap<Invariant, u64>,
    /// How often each kind of fault struck.
    pub struck: BTreeMap<FaultKind, u64>,
    /// The faults of the run.
    #[serde(skip)]
    pub faults: Vec<Fault>,
    /// Simulated milliseconds.
    pub simulated_ms: u64,
    /// Requests sent by callers.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Refusals by code.
    pub refused: BTreeMap<String, u64>,
    /// Refusals by the sentence that callers read.
    pub reasons: BTreeMap<String, u64>,
    /// Connections that ended without an answer.
    pub disconnected: u64,
    /// Commands accepted.
    pub accepted: u64,
    /// Commands that lost a race.
    pub conflicts: u64,
    /// Changes of leader.
    pub elections: u64,
    /// Changes of role that engines carried out.
    pub role_changes: u64,
    /// Milliseconds from each end of a leader to the next one.
    pub leaderless_ms: Vec<u64>,
    /// Milliseconds until waiting commands were in force.
    pub in_force_ms: Vec<u64>,
}

#[derive(Debug, Clone)]
enum Happening {
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
    NewWish,
    NewCommand,
}

/// A run in progress.
struct World {
    scenario: Scenario,
    random: Pcg64Mcg,
    now: Millis,
    queue: BinaryHeap<Reverse<(Millis, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    next_happening: u64,
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
    workload: Workload,
    operators: Operators,
    checker: Checker,
    faults: Vec<Fault>,
    struck: BTreeMap<FaultKind, u64>,
    /// When control, gateways or the platform last had trouble.
    disturbed_at: Millis,
    /// When each gateway last had trouble of its own.
    gateway_trouble: Vec<Millis>,
    next_call: u64,
    next_replica: u64,
    elections: u64,
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
        if let Some(happening) = world.happenings.remove(&number) {
            world.happen(happening);
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
        let drawn = plan_faults(&mut random, &scenario.kinds, sizes, scenario.span);
        let faults = scenario.faults.clone().unwrap_or(drawn);
        let initial = initial_membership(scenario.controls);
        let planner = Some(PlannerSettings::default()).filter(|_| scenario.seed.is_multiple_of(2));
        let controls: Vec<ControlHost> = (0..scenario.controls)
            .map(|place| ControlHost::new(place, initial.clone(), scenario.seed, planner))
            .collect();
        let places = (0..scenario.controls)
            .map(|place| (ReplicaId(place as u64 + 1), place))
            .collect();
        let role = |place: usize| match place % 5 {
            0 | 1 => EngineRole::Prefill,
            _ => EngineRole::Decode,
        };
        let planned_only = scenario
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
            happenings: BTreeMap::new(),
            next_happening: 0,
            network: Network::default(),
            controls,
            places,
            gateways: (0..scenario.gateways)
                .map(|place| GatewayHost::new(place, scenario.seed))
                .collect(),
            gateway_heard: vec![Millis::ZERO; scenario.gateways],
            engines: (0..scenario.engines)
                .map(|place| EngineHost::new(role(place)))
                .collect(),
            applications: (0..scenario.applications)
                .map(ApplicationHost::new)
                .collect(),
            platform: PlatformStandIn::new(PLATFORM_LAG),
            wrong_list: 0,
            delayed_orders: BTreeMap::new(),
            frozen_until: BTreeMap::new(),
            clocks,
            workload: Workload::new(scenario.gateways, planned_only),
            operators: Operators::new(2, scenario.controls, scenario.engines),
            checker: Checker::default(),
            faults,
            struck: BTreeMap::new(),
            disturbed_at: Millis::ZERO,
            gateway_trouble: vec![Millis::ZERO; scenario.gateways],
            next_call: 0,
            next_replica: 1000,
            elections: 0,
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
            self.schedule(self.now + TICK, Happening::Tick(host));
        }
        for number in 0..self.faults.len() {
            self.schedule(self.faults[number].at, Happening::FaultBegins(number));
        }
        self.schedule(Millis(4000), Happening::NewWish);
        self.schedule(Millis(3000), Happening::NewCommand);
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

    fn schedule(&mut self, at: Millis, happening: Happening) {
        self.next_happening += 1;
        self.happenings.insert(self.next_happening, happening);
        self.queue.push(Reverse((at, self.next_happening)));
    }

    /// The clock of a host: each runs at a speed of its own.
    fn clock(&self, host: Host) -> Millis {
        let speed = self.clocks.get(&host).copied().unwrap_or(1.0);
        Millis((self.now.0 as f64 * speed) as u64)
    }

    fn happen(&mut self, happening: Happening) {
        if let Some(until) = self.frozen(&happening) {
            // A frozen process finds its messages when it goes on.
            self.schedule(until, happening);
            return;
        }
        match happening {
            Happening::Tick(host) => self.tick(host),
            Happening::Deliver {
                from,
                to,
                start,
                message,
            } => self.deliver(from, to, start, *message),
            Happening::FaultBegins(number) => self.begin_fault(number),
            Happening::FaultEnds(number) => self.end_fault(number),
            Happening::Start(host) => self.start(host),
            Happening::NewWish => self.new_wish(),
            Happening::NewCommand => self.new_command(),
        }
        self.check_leases();
    }

    fn frozen(&self, happening: &Happening) -> Option<Millis> {
        let host = match happening {
            Happening::Tick(host) => host,
            Happening::Deliver { to, .. } => to,
            _ => return None,
        };
        let until = *self.frozen_until.get(host)?;
        (until > self.now).then_some(until)
    }

    // ---- Messages ----

    fn send(&mut self, from: Host, to: Host, message: Message) {
        let times = if message.may_be_lost() {
            self.network
                .deliveries(&mut self.random, from, to, self.now)
        } else {
            vec![self.network.in_order(&mut self.random, from, to, self.now)]
        };
        for at in times {
            self.send_at(at, from, to, message.clone());
        }
    }

    fn send_at(&mut self, at: Millis, from: Host, to: Host, message: Message) {
        let start = match to {
            Host::Gateway(place) => Some(self.gateways[place].starts()),
            _ => None,
        };
        let message = Box::new(message);
        self.schedule(
            at,
            Happening::Deliver {
                from,
                to,
                start,
                message,
            },
        );
    }

    fn deliver(&mut self, from: Host, to: Host, start: Option<u64>, message: Message) {
        match to {
            Host::Control(place) => self.deliver_control(place, from, message),
            Host::Gateway(place) => {
                if start == Some(self.gateways[place].starts()) {
                    self.deliver_gateway(place, from, message);
                }
            }
            Host::Engine(place) => self.deliver_engine(place, from, message),
            Host::Application(place) => self.deliver_application(place, from, message),
            Host::Platform => {
                if let Host::Control(_) = from {
                    let machines = if self.wrong_list > 0 {
                        Vec::new()
                    } else {
                        self.platform.machines(self.now)
                    };
                    self.send(Host::Platform, from, Message::Machines(machines));
                }
            }
            Host::Callers => self.deliver_callers(message),
            Host::Operator(_) => {
                if let Message::ToOperator(number, answer) = message {
                    self.operators.answer(
                        &mut self.checker,
                        &mut self.workload,
                        number,
                        answer,
                        self.now,
                    );
                }
            }
        }
    }

    // ---- Control replicas ----

    fn deliver_control(&mut self, place: usize, from: Host, message: Message) {
        let event = match (message, from) {
            (Message::Peer(envelope), _) => ControlEvent::Peer(envelope),
            (Message::FromGateway(request), Host::Gateway(gateway)) => ControlEvent::Gateway {
                connection: gateway as u64,
                request,
            },
            (Message::FromOperator(number, request), host) => {
                self.next_ticket += 1;
                self.questions.insert(self.next_ticket, (host, number));
                ControlEvent::Operator {
                    ticket: self.next_ticket,
                    request,
                }
            }
            (Message::EngineStatus(status), Host::Engine(engine)) => ControlEvent::EngineStatus {
                engine: engine_id(engine),
                status,
            },
            (Message::OrderAnswer(answer), Host::Engine(engine)) => ControlEvent::EngineOrder {
                engine: engine_id(engine),
                answer,
            },
            (Message::Machines(machines), _) => ControlEvent::Machines(machines),
            _ => return,
        };
        self.control_event(place, event);
    }

    fn control_event(&mut self, place: usize, event: ControlEvent) {
        let host = Host::Control(place);
        let clock = self.clock(host);
        if self.controls[place].running.is_none() {
            return;
        }
        let Some(effects) = self.controls[place].handle(event, clock) else {
            let kept = self.random.random_range(0..60);
            self.controls[place].crash(PowerLoss::KeepPrefix(kept));
            self.disturbed_at = self.now;
            self.schedule(self.now + Millis(1500), Happening::Start(host));
            return;
        };
        self.compare_state(place);
        for effect in effects {
            self.control_effect(place, effect);
        }
    }

    /// Replicas that applied the same index must have the same state.
    fn compare_state(&mut self, place: usize) {
        let Some(running) = &self.controls[place].running else {
            return;
        };
        let index = running.replica.node().status().applied_index;
        let backends = running.replica.state().configuration.backends.values();
        let out = backends.filter(|record| record.order.is_some()).count();
        self.checker
            .check(Invariant::OneChangeInAPool, out <= 1, self.now, || {
                format!("{out} engines of one pool are out for orders")
            });
        if index % 8 == 0 && index > 0 {
            let hash = xxh3_64(&running.replica.state().encode());
            self.checker.applied(place, index, hash, self.now);
        }
    }

    fn control_effect(&mut self, place: usize, effect: ControlEffect) {
        let host = Host::Control(place);
        match effect {
            ControlEffect::SendPeer(envelope) => {
                if let Some(to) = self.places.get(&envelope.to).copied() {
                    self.send(host, Host::Control(to), Message::Peer(envelope));
                }
            }
            ControlEffect::ReplyGateway { connection, reply } => {
                let to = Host::Gateway(connection as usize);
                self.send(host, to, Message::ToGateway(reply));
            }
            ControlEffect::AnswerOperator { ticket, answer } => {
                if let Some((to, number)) = self.questions.remove(&ticket) {
                    self.send(host, to, Message::ToOperator(number, answer));
                }
            }
            ControlEffect::AskEngine {
                engine, request, ..
            } => self.ask_engine(place, &engine, request),
            ControlEffect::BecameLeader { .. } => {
                self.elections += 1;
                if let Some(since) = self.leaderless_since.take() {
                    self.leaderless_ms.push(self.now.since(since).0);
                }
            }
            ControlEffect::LostLeadership { .. } => {
                self.leaderless_since.get_or_insert(self.now);
            }
        }
    }

    fn ask_engine(&mut self, place: usize, engine: &BackendId, request: EngineRequest) {
        let host = Host::Control(place);
        let Some(number) = place_of(engine, "engine-") else {
            return;
        };
        let to = Host::Engine(number);
        if let EngineRequest::Order(order) = &request {
            let clock = self.clock(host);
            let allowed = self.controls[place]
                .running
                .as_ref()
                .is_some_and(|running| running.replica.may_send_order(order.fence, clock));
            if !allowed {
                return;
            }
            if self.delayed_orders.contains_key(&host) {
                let delay = Millis(self.random.random_range(0..LONGEST_ORDER_DELAY_MS));
                self.send_at(self.now + delay, host, to, Message::AskEngine(request));
                return;
            }
        }
        self.send(host, to, Message::AskEngine(request));
    }

    // ---- Gateways ----

    fn deliver_gateway(&mut self, place: usize, from: Host, message: Message) {
        let event = match (message, from) {
            (Message::ToGateway(reply), _) => {
                self.gateway_heard[place] = self.now;
                if let ControlReply::NotLeader { leader } = &reply {
                    let hint = leader.as_ref().and_then(|address| address.parse().ok());
                    let next = (self.gateways[place].control + 1) % self.controls.len();
                    self.gateways[place].control = hint.unwrap_or(next);
                }
                GatewayEvent::Control(reply)
            }
            (Message::JobEvent(attempt, event), _) => {
                if !matches!(event, AttemptEvent::Tokens { .. }) {
                    self.gateways[place].attempts.remove(&attempt);
                }
                GatewayEvent::Attempt(attempt, event)
            }
            (Message::Load(report), Host::Engine(engine)) => {
                GatewayEvent::Load(engine_id(engine), report)
            }
            (Message::Call(call), _) => {
                let id = call.id;
                if self.gateways[place].gateway.is_none() {
                    self.workload.unreachable(id, self.now);
                    return;
                }
                self.gateways[place].open_calls.insert(id);
                self.gateway_event(place, GatewayEvent::Call(call));
                self.check_admission(place, id);
                return;
            }
            _ => return,
        };
        self.gateway_event(place, event);
    }

    /// A request that was not refused at once was taken by the configuration
    /// that the gateway has now.
    fn check_admission(&mut self, place: usize, id: RequestId) {
        let host = &self.gateways[place];
        if !host.open_calls.contains(&id) {
            return;
        }
        if let Some(gateway) = &host.gateway {
            let index = gateway.configuration_index();
            self.checker.took_work(place, index, self.now);
        }
    }

    fn gateway_event(&mut self, place: usize, event: GatewayEvent) {
        let clock = self.clock(Host::Gateway(place));
        let Some(gateway) = &mut self.gateways[place].gateway else {
            return;
        };
        gateway.handle(event, clock);
        let effects = gateway.take_effects();
        for effect in effects {
            self.gateway_effect(place, effect);
        }
    }

    fn gateway_effect(&mut self, place: usize, effect: GatewayEffect) {
        let host = Host::Gateway(place);
        match effect {
            GatewayEffect::Tokens {
                request,
                first,
                tokens,
            } => self.send_to_caller(place, request, Message::Tokens(request, first, tokens)),
            GatewayEffect::Answer { request, answer } => {
                self.send_to_caller(place, request, Message::Answer(request, answer));
                self.gateways[place].open_calls.remove(&request);
            }
            GatewayEffect::Dispatch {
                attempt,
                request,
                backend,
                job,
                ..
            } => self.dispatch(place, attempt, request, &backend, job),
            GatewayEffect::Cancel(attempt) => {
                if let Some(to) = self.gateways[place].attempts.remove(&attempt)
                    && !self.network.is_cut(host, to)
                {
                    self.send(host, to, Message::CancelJob(attempt));
                }
            }
            GatewayEffect::SendControl(request) => {
                let to = Host::Control(self.gateways[place].control);
                self.send(host, to, Message::FromGateway(request));
            }
            GatewayEffect::PollLoad { backend, .. } => {
                if let Some(engine) = place_of(&backend, "engine-") {
                    self.send(host, Host::Engine(engine), Message::AskLoad);
                }
            }
            GatewayEffect::PersistIndex(index) => {
                self.gateways[place].persisted_index = index;
                self.gateway_event(place, GatewayEvent::IndexPersisted(index));
            }
        }
    }

    /// To a caller. A cut link ends the connection.
    fn send_to_caller(&mut self, place: usize, request: RequestId, message: Message) {
        let host = Host::Gateway(place);
        if !self.gateways[place].open_calls.contains(&request) {
            return;
        }
        if self.network.is_cut(host, Host::Callers) {
            self.gateways[place].open_calls.remove(&request);
            let at = self.now + Millis(1000);
            self.send_at(at, host, Host::Callers, Message::Disconnected(request));
            self.gateway_event(place, GatewayEvent::CallerGone(request));
            return;
        }
        self.send(host, Host::Callers, message);
    }

    fn dispatch(
        &mut self,
        place: usize,
        attempt: AttemptId,
        request: RequestId,
        backend: &BackendId,
        job: Job,
    ) {
        let host = Host::Gateway(place);
        let engine = place_of(backend, "engine-").map(Host::Engine);
        let application = place_of(backend, "application-").map(Host::Application);
        let Some(to) = engine.or(application) else {
            return;
        };
        if self.network.is_cut(host, to) || self.network.is_cut(to, host) {
            let event = AttemptEvent::NotStarted { draining: false };
            let at = self.now + CONNECT_TIME;
            self.send_at(at, to, host, Message::JobEvent(attempt, event));
            return;
        }
        self.gateways[place].attempts.insert(attempt, to);
        self.send(
            host,
            to,
            Message::StartJob {
                attempt,
                request,
                job,
            },
        );
    }

    /// From a back end to the gateway of a job, on the job's connection.
    fn job_event(&mut self, from: Host, owner: JobOwner, event: AttemptEvent) {
        let to = Host::Gateway(owner.gateway);
        if self.gateways[owner.gateway].starts() != owner.gateway_start {
            return;
        }
        if self.network.is_cut(from, to) {
            let at = self.now + DEAD_CONNECTION;
            let broken = Message::JobEvent(owner.attempt, AttemptEvent::Broken);
            self.send_at(at, from, to, broken);
            return;
        }
        self.send(from, to, Message::JobEvent(owner.attempt, event));
    }

    // ---- Engines ----

    fn deliver_engine(&mut self, place: usize, from: Host, message: Message) {
        let host = Host::Engine(place);
        if self.engines[place].engine.is_none() {
            if let (Message::StartJob { attempt, .. }, Host::Gateway(_)) = (&message, from) {
                let event = AttemptEvent::NotStarted { draining: false };
                self.send(host, from, Message::JobEvent(*attempt, event));
            }
            return;
        }
        match message {
            Message::AskEngine(EngineRequest::Status) => {
                let now = self.now;
                if let Some(engine) = &mut self.engines[place].engine {
                    engine.advance(now);
                    let status = engine.status();
                    self.send(host, from, Message::EngineStatus(status));
                }
                self.engine_outputs(place);
            }
            Message::AskEngine(EngineRequest::Order(order)) => {
                self.order_engine(place, from, &order)
            }
            Message::AskLoad => {
                if let Some(engine) = &self.engines[place].engine {
                    let report = engine.load_report(0, self.now);
                    self.send(host, from, Message::Load(report));
                }
            }
            Message::StartJob {
                attempt,
                request,
                job,
                ..
            } => {
                if let Host::Gateway(gateway) = from {
                    let gateway_start = self.gateways[gateway].starts();
                    let owner = JobOwner {
                        gateway,
                        gateway_start,
                        attempt,
                    };
                    self.start_engine_job(place, owner, request, job);
                }
            }
            Message::CancelJob(attempt) => {
                let now = self.now;
                let engine_host = &mut self.engines[place];
                let job = engine_host
                    .jobs
                    .iter()
                    .find(|(_, owner)| {
                        owner.attempt == attempt && Host::Gateway(owner.gateway) == from
                    })
                    .map(|(job, _)| *job);
                if let (Some(job), Some(engine)) = (job, &mut engine_host.engine) {
                    engine.cancel(job, now);
                    engine_host.jobs.remove(&job);
                }
            }
            _ => {}
        }
    }

    fn order_engine(&mut self, place: usize, from: Host, order: &garnet_types::EngineOrder) {
        let now = self.now;
        let Some(engine) = &mut self.engines[place].engine else {
            return;
        };
        engine.advance(now);
        let before = engine.status();
        let answer = engine.order(order, now);
        let after = engine.status();
        let began = before.changing.is_none() && after.changing.is_some();
        if let OrderAnswer::Accepted(status) = &answer {
            self.engines[place].kept_fence = status.highest_fence;
            let running = if began { before.running } else { 0 };
            self.checker
                .accepted_order(place, order, before.changing.as_ref(), running, now);
            self.role_changes += u64::from(began);
        }
        self.engine_outputs(place);
        self.send(Host::Engine(place), from, Message::OrderAnswer(answer));
    }

    fn start_engine_job(&mut self, place: usize, owner: JobOwner, request: RequestId, job: Job) {
        let host = Host::Engine(place);
        let now = self.now;
        let key = self.workload.key_of(request);
        let Some(submitted) = self.engine_job(&job) else {
            let event = AttemptEvent::NotStarted { draining: true };
            self.job_event(host, owner, event);
            return;
        };
        let generates = matches!(submitted, SubmittedJob::Generate { .. });
        let Some(engine) = &mut self.engines[place].engine else {
            return;
        };
        engine.advance(now);
        match engine.submit(submitted, now) {
            Ok(job) => {
                self.engines[place].jobs.insert(job, owner);
                self.checker.began(request, now);
                if let (true, Some(key)) = (generates, key) {
                    self.checker.ran_once(request, Some(&key), now);
                }
                let leaving = self.engines[place].leaving_since;
                self.check_leaving(host, leaving);
            }
            Err(refusal) => {
                let draining = refusal == JobRefusal::Draining || refusal == JobRefusal::WrongRole;
                self.job_event(host, owner, AttemptEvent::NotStarted { draining });
            }
        }
        self.engine_outputs(place);
    }

    /// The engine's form of a job; `None` when the KV cache is not there.
    fn engine_job(&mut self, job: &Job) -> Option<SubmittedJob> {
        match job.clone() {
            Job::Prefill {
                model,
                prompt,
                class,
            } => Some(SubmittedJob::Prefill {
                model: model.0,
                prompt,
                class,
            }),
            Job::Generate {
                model,
                prompt,
                max_tokens,
                from_token,
                kv,
                class,
            } => {
                let imported = kv.is_some();
                if let Some(kv) = kv {
                    let source = place_of(&BackendId::new(kv.address), "engine-")?;
                    let source = self.engines.get_mut(source)?.engine.as_mut()?;
                    source.export(kv.handle)?;
                }
                Some(SubmittedJob::Generate {
                    model: model.0,
                    prompt,
                    max_tokens,
                    from_token,
                    imported,
                    class,
                })
            }
            Job::Application { .. } => None,
        }
    }

    fn engine_outputs(&mut self, place: usize) {
        let host = Host::Engine(place);
        let Some(engine) = &mut self.engines[place].engine else {
            return;
        };
        for (job, output) in engine.take_outputs() {
            let Some(owner) = self.engines[place].jobs.get(&job).copied() else {
                continue;
            };
            let (event, ends) = match output {
                JobOutput::Prefilled { handle } => (AttemptEvent::Prefilled { handle }, true),
                JobOutput::Token { index, text } => {
                    let tokens = vec![text];
                    let first = index;
                    (AttemptEvent::Tokens { first, tokens }, false)
                }
                JobOutput::Finished { total } => (AttemptEvent::Finished { total }, true),
            };
            if ends {
                self.engines[place].jobs.remove(&job);
            }
            self.job_event(host, owner, event);
        }
    }

    // ---- Applications ----

    fn deliver_application(&mut self, place: usize, from: Host, message: Message) {
        let host = Host::Application(place);
        let (
            Message::StartJob {
                attempt,
                request,
                job:
                    Job::Application {
                        method,
                        path,
                        body,
                        key,
                        ..
                    },
                ..
            },
            Host::Gateway(gateway),
        ) = (message, from)
        else {
            return;
        };
        let owner = JobOwner {
            gateway,
            gateway_start: self.gateways[gateway].starts(),
            attempt,
        };
        let application = &mut self.applications[place];
        if !application.up || application.draining {
            let draining = application.up;
            self.job_event(host, owner, AttemptEvent::NotStarted { draining });
            return;
        }
        self.next_call += 1;
        let call = OpenCall {
            owner,
            request,
            key,
            path,
            body: String::from_utf8_lossy(&body).into_owned(),
            is_safe: method == "GET",
        };
        application.open.insert(self.next_call, call);
        let leaving = application.leaving_since;
        self.checker.began(request, self.now);
        self.check_leaving(host, leaving);
    }

    /// An instance works on its calls: each takes a tick or more.
    fn run_calls(&mut self, place: usize) {
        let host = Host::Application(place);
        let open: Vec<u64> = self.applications[place].open.keys().copied().collect();
        for number in open {
            if self.random.random_bool(0.4) {
                continue;
            }
            let Some(call) = self.applications[place].open.remove(&number) else {
                continue;
            };
            if !call.is_safe {
                self.checker
                    .ran_once(call.request, call.key.as_deref(), self.now);
            }
            let application = &mut self.applications[place].application;
            let answer = application.run(&call.path, call.key.as_deref(), &call.body);
            let response = RecordedResponse {
                status: 200,
                content_type: "application/json".to_owned(),
                body: serde_json::to_vec(&answer).unwrap_or_default(),
                served_by: answer.instance.clone(),
            };
            self.job_event(host, call.owner, AttemptEvent::Response(response));
        }
    }

    /// A leaving back end gets no new work after a few seconds, counted from
    /// when nothing else was wrong any more.
    fn check_leaving(&mut self, host: Host, since: Option<Millis>) {
        let Some(since) = since else {
            return;
        };
        let troubled = !self.network.troubled().is_empty() || self.wrong_list > 0;
        let frozen = self.frozen_until.values().any(|until| *until > self.now);
        if troubled || frozen {
            return;
        }
        let from = since.max(self.disturbed_at);
        let soon_enough = self.now.since(from) <= PLATFORM_LAG + LEAVING_ALLOWANCE;
        self.checker
            .check(Invariant::LeavingGetsNoWork, soon_enough, self.now, || {
                format!("{host:?} began new work {} ms on", self.now.since(from).0)
            });
    }

    // ---- Callers and operators ----

    fn new_wish(&mut self) {
        let outgoing = self.workload.wish(&mut self.random, self.now);
        self.send_calls(outgoing);
        if self.now < self.end_of_load() {
            let pause = Millis(self.random.random_range(20..180));
            self.schedule(self.now + pause, Happening::NewWish);
        }
    }

    fn end_of_load(&self) -> Millis {
        self.scenario.span + Millis::from_secs(20) + SETTLE - Millis::from_secs(15)
    }

    fn send_calls(&mut self, outgoing: Vec<Outgoing>) {
        for Outgoing { gateway, call } in outgoing {
            let to = Host::Gateway(gateway);
            let id = call.id;
            let cut =
                self.network.is_cut(Host::Callers, to) || self.network.is_cut(to, Host::Callers);
            if cut || self.gateways[gateway].gateway.is_none() {
                self.workload.unreachable(id, self.now);
            } else {
                self.send(Host::Callers, to, Message::Call(call));
            }
        }
    }

    fn deliver_callers(&mut self, message: Message) {
        match message {
            Message::Tokens(request, first, tokens) => {
                self.workload
                    .tokens(&mut self.checker, request, first, tokens, self.now);
            }
            Message::Answer(request, answer) => self.take_answer(request, &answer),
            Message::Disconnected(request) => self.workload.disconnected(request, self.now),
            _ => {}
        }
    }

    fn take_answer(&mut self, request: RequestId, answer: &Answer) {
        let steady = self
            .workload
            .sent_to(request)
            .is_some_and(|(gateway, sent_at)| self.gateway_trouble[gateway] < sent_at);
        self.workload
            .answer(&mut self.checker, request, answer, steady, self.now);
    }

    fn new_command(&mut self) {
        let questions = self.operators.act(&mut self.random, self.now);
        self.send_questions(questions);
        if self.now < self.end_of_load() {
            let pause = Millis(self.random.random_range(200..1500));
            self.schedule(self.now + pause, Happening::NewCommand);
        }
    }

    fn send_questions(&mut self, questions: Vec<Question>) {
        for question in questions {
            let from = Host::Operator(question.operator);
            let to = Host::Control(question.control);
            self.send(
                from,
                to,
                Message::FromOperator(question.number, question.request),
            );
        }
    }

    // ---- Time ----

    fn tick(&mut self, host: Host) {
        let mut pause = TICK;
        match host {
            Host::Control(place) => self.tick_control(place),
            Host::Gateway(place) => self.tick_gateway(place),
            Host::Engine(place) => {
                pause = ENGINE_TICK;
                self.tick_engine(place);
            }
            Host::Application(place) => {
                self.run_calls(place);
                self.finish_application_stop(place);
            }
            _ => {}
        }
        self.schedule(self.now + pause, Happening::Tick(host));
    }

    fn tick_control(&mut self, place: usize) {
        if self.controls[place].running.is_none() {
            return;
        }
        self.control_event(place, ControlEvent::Tick);
        if self.now.since(self.platform_read[place]) >= PLATFORM_INTERVAL {
            self.platform_read[place] = self.now;
            self.send(Host::Control(place), Host::Platform, Message::AskMachines);
        }
        if place == 0 {
            self.tick_operators();
        }
    }

    fn tick_operators(&mut self) {
        let questions = self.operators.resend(&mut self.random, self.now);
        self.send_questions(questions);
        if self.random.random_bool(0.05)
            && let Some(members) = self.leader_members()
        {
            let question = self.operators.repair(&mut self.random, &members, self.now);
            self.send_questions(question.into_iter().collect());
        }
        let again = self.workload.due_again(&mut self.random, self.now);
        self.send_calls(again);
        for request in self.workload.overdue(self.now) {
            self.workload.disconnected(request, self.now);
        }
    }

    fn leader_members(&self) -> Option<BTreeMap<ReplicaId, bool>> {
        let leader = self.leader()?;
        let running = self.controls[leader].running.as_ref()?;
        let members = &running.replica.node().membership().members;
        Some(members.iter().map(|(id, m)| (*id, m.voter)).collect())
    }

    fn leader(&self) -> Option<usize> {
        (0..self.controls.len()).find(|place| self.holds_lease(*place))
    }

    fn holds_lease(&self, place: usize) -> bool {
        let clock = self.clock(Host::Control(place));
        let running = self.controls[place].running.as_ref();
        running.is_some_and(|running| running.replica.node().holds_lease(clock))
    }

    fn check_leases(&mut self) {
        let holders = (0..self.controls.len())
            .filter(|place| self.holds_lease(*place))
            .count();
        self.checker
            .check(Invariant::OneLease, holders <= 1, self.now, || {
                format!("{holders} replicas hold a lease")
            });
    }

    fn tick_gateway(&mut self, place: usize) {
        if self.gateways[place].gateway.is_none() {
            return;
        }
        if self.now.since(self.gateway_heard[place]) >= CONTROL_SILENCE {
            self.gateway_heard[place] = self.now;
            self.gateways[place].control = (self.gateways[place].control + 1) % self.controls.len();
        }
        self.gateway_event(place, GatewayEvent::Tick);
        let host = &self.gateways[place];
        let drained = host.gateway.as_ref().is_some_and(|g| g.is_drained());
        if host.draining && drained {
            let open = host.open_calls.len();
            self.checker.check(
                Invariant::PlannedChangeCutsNothing,
                open == 0,
                self.now,
                || format!("gateway {place} stopped with {open} open calls"),
            );
            self.stop(Host::Gateway(place));
        }
    }

    fn tick_engine(&mut self, place: usize) {
        let now = self.now;
        if let Some(engine) = &mut self.engines[place].engine {
            engine.advance(now);
        }
        self.engine_outputs(place);
        let host = &self.engines[place];
        let idle = host.engine.as_ref().is_some_and(|e| e.running() == 0);
        if host.draining && idle {
            self.stop(Host::Engine(place));
        }
    }

    fn finish_application_stop(&mut self, place: usize) {
        let host = &self.applications[place];
        if host.up && host.draining && host.open.is_empty() {
            self.stop(Host::Application(place));
        }
    }

    // ---- Starts and stops ----

    fn start(&mut self, host: Host) {
        match host {
            Host::Control(place) => {
                let clock = self.clock(host);
                if self.controls[place].running.is_none() {
                    self.controls[place].start(clock);
                }
                if self.controls[place].running.is_none() {
                    self.schedule(self.now + Millis(500), Happening::Start(host));
                }
            }
            Host::Gateway(place) if self.gateways[place].gateway.is_none() => {
                self.gateways[place].start();
                self.gateway_trouble[place] = self.now;
            }
            Host::Engine(place) if self.engines[place].engine.is_none() => {
                self.engines[place].start();
                self.register(place, BackendKind::Engine);
            }
            Host::Application(place) if !self.applications[place].up => {
                self.applications[place].start();
                self.register(place, BackendKind::Application);
            }
            _ => {}
        }
    }

    fn register(&mut self, place: usize, kind: BackendKind) {
        let (id, service) = match kind {
            BackendKind::Engine => (engine_id(place), ENGINE_SERVICE),
            BackendKind::Application => (application_id(place), APPLICATION_SERVICE),
        };
        let registration = BackendRegistration {
            address: id.0.clone(),
            id,
            kind,
            service: ServiceId::new(service),
            zone: format!("zone-{}", place % 3),
        };
        self.platform.register(registration, self.now);
    }

    /// Ends a process in good order: it has nothing left to do.
    fn stop(&mut self, host: Host) {
        let cut = self.end_process(host);
        self.checker.check(
            Invariant::PlannedChangeCutsNothing,
            cut == 0,
            self.now,
            || format!("{host:?} stopped with {cut} requests"),
        );
    }

    /// Ends a process at once; gives how many requests were cut off.
    fn end_process(&mut self, host: Host) -> usize {
        match host {
            Host::Control(place) => {
                self.controls[place].crash(PowerLoss::DropUnsynced);
                self.disturbed_at = self.now;
                0
            }
            Host::Gateway(place) => self.end_gateway(place),
            Host::Engine(place) => {
                let owners = self.engines[place].crash();
                self.break_jobs(host, &owners);
                owners.len()
            }
            Host::Application(place) => {
                let owners = self.applications[place].crash();
                self.break_jobs(host, &owners);
                owners.len()
            }
            _ => 0,
        }
    }

    fn end_gateway(&mut self, place: usize) -> usize {
        let host = Host::Gateway(place);
        self.disturbed_at = self.now;
        self.gateway_trouble[place] = self.now;
        let calls: Vec<RequestId> = self.gateways[place].open_calls.iter().copied().collect();
        let attempts = std::mem::take(&mut self.gateways[place].attempts);
        for (attempt, to) in attempts {
            self.send(host, to, Message::CancelJob(attempt));
        }
        for call in &calls {
            self.send(host, Host::Callers, Message::Disconnected(*call));
        }
        self.gateways[place].crash();
        calls.len()
    }

    fn break_jobs(&mut self, host: Host, owners: &[JobOwner]) {
        for owner in owners {
            self.job_event(host, *owner, AttemptEvent::Broken);
        }
    }

    // ---- Faults ----

    fn begin_fault(&mut self, number: usize) {
        let fault = self.faults[number];
        *self.struck.entry(fault.kind).or_default() += 1;
        self.note_trouble(fault.host);
        let end = self.now + fault.lasts;
        match fault.kind {
            FaultKind::Kill => {
                self.end_process(fault.host);
                self.schedule(end, Happening::Start(fault.host));
            }
            FaultKind::LoseDisk => self.lose_disk(fault.host, end),
            FaultKind::TornWrite => {
                if let Host::Control(place) = fault.host {
                    let operations = self.random.random_range(0..6);
                    self.controls[place].crash_in_save(operations);
                }
            }
            FaultKind::Freeze => {
                self.frozen_until.insert(fault.host, end);
            }
            FaultKind::Isolate => {
                self.network.cut_inbound(fault.host);
                self.network.cut_outbound(fault.host);
            }
            FaultKind::CutInbound => self.network.cut_inbound(fault.host),
            FaultKind::CutOutbound => self.network.cut_outbound(fault.host),
            FaultKind::BadNetwork => self.network.make_bad(fault.host),
            FaultKind::DelayOrders => {
                *self.delayed_orders.entry(fault.host).or_default() += 1;
            }
            FaultKind::WrongMachineList => self.wrong_list += 1,
            FaultKind::PlannedStop => self.planned_stop(fault.host),
            FaultKind::Leaving => self.set_leaving(fault.host, true),
        }
        self.schedule(end, Happening::FaultEnds(number));
    }

    fn end_fault(&mut self, number: usize) {
        let fault = self.faults[number];
        self.note_trouble(fault.host);
        match fault.kind {
            FaultKind::Isolate => {
                self.network.heal_inbound(fault.host);
                self.network.heal_outbound(fault.host);
            }
            FaultKind::CutInbound => self.network.heal_inbound(fault.host),
            FaultKind::CutOutbound => self.network.heal_outbound(fault.host),
            FaultKind::BadNetwork => self.network.make_good(fault.host),
            FaultKind::DelayOrders => {
                self.delayed_orders.remove(&fault.host);
            }
            FaultKind::WrongMachineList => self.wrong_list -= 1,
            FaultKind::PlannedStop => self.end_planned_stop(fault.host, number),
            FaultKind::Leaving => self.set_leaving(fault.host, false),
            _ => {}
        }
    }

    fn note_trouble(&mut self, host: Host) {
        match host {
            Host::Gateway(place) => {
                self.gateway_trouble[place] = self.now;
                self.disturbed_at = self.now;
            }
            _ => self.disturbed_at = self.now,
        }
    }

    fn lose_disk(&mut self, host: Host, end: Millis) {
        let Host::Control(place) = host else {
            return;
        };
        let former = self.controls[place].id;
        self.next_replica += 1;
        let id = ReplicaId(self.next_replica);
        self.controls[place].replace_disk(id);
        self.places.remove(&former);
        self.places.insert(id, place);
        self.operators.repairs.push((former, id, place));
        self.schedule(end, Happening::Start(host));
    }

    fn planned_stop(&mut self, host: Host) {
        match host {
            Host::Control(place) => {
                self.next_ticket += 1;
                let request = OperatorRequest::Member(MemberChange::TransferLeadership);
                let ticket = self.next_ticket;
                self.control_event(place, ControlEvent::Operator { ticket, request });
            }
            Host::Gateway(place) => {
                self.gateways[place].draining = true;
                self.gateway_event(place, GatewayEvent::Drain);
            }
            Host::Engine(place) => {
                if let Some(engine) = &mut self.engines[place].engine {
                    engine.drain();
                    self.engines[place].draining = true;
                }
                self.platform
                    .set_state(&engine_id(place), MachineState::Leaving, self.now);
            }
            Host::Application(place) => {
                self.applications[place].draining = true;
                let id = application_id(place);
                self.platform
                    .set_state(&id, MachineState::Leaving, self.now);
            }
            _ => {}
        }
    }

    /// The process starts again, once it has stopped.
    fn end_planned_stop(&mut self, host: Host, number: usize) {
        let still_draining = match host {
            Host::Control(place) => {
                let elapsed = self.now.since(self.faults[number].at);
                if elapsed >= PLANNED_HAND_OVER {
                    self.controls[place].crash(PowerLoss::DropUnsynced);
                    false
                } else {
                    true
                }
            }
            Host::Gateway(place) => {
                self.gateways[place].gateway.is_some() && self.gateways[place].draining
            }
            Host::Engine(place) => {
                self.engines[place].engine.is_some() && self.engines[place].draining
            }
            Host::Application(place) => {
                self.applications[place].up && self.applications[place].draining
            }
            _ => false,
        };
        if still_draining {
            self.schedule(self.now + Millis(200), Happening::FaultEnds(number));
        } else {
            self.schedule(self.now + Millis(100), Happening::Start(host));
        }
    }

    fn set_leaving(&mut self, host: Host, leaving: bool) {
        let since = leaving.then_some(self.now);
        let id = match host {
            Host::Engine(place) => {
                self.engines[place].leaving_since = since;
                engine_id(place)
            }
            Host::Application(place) => {
                self.applications[place].leaving_since = since;
                application_id(place)
            }
            _ => return,
        };
        let state = if leaving {
            MachineState::Leaving
        } else {
            MachineState::Live
        };
        self.platform.set_state(&id, state, self.now);
    }

    // ---- The end ----

    fn final_checks(&mut self) {
        let now = self.now;
        let leader = self.leader();
        self.checker
            .check(Invariant::Recovers, leader.is_some(), now, || {
                "no leader at the end".to_owned()
            });
        let open = self.workload.open();
        self.checker.check(Invariant::Recovers, open == 0, now, || {
            format!("{open} requests without a final answer")
        });
        let ready: BTreeSet<usize> = (0..self.gateways.len())
            .filter(|place| self.is_gateway_ready(*place))
            .collect();
        let all_ready = ready.len() == self.gateways.len();
        self.checker.check(Invariant::Recovers, all_ready, now, || {
            format!("only gateways {ready:?} take work at the end")
        });
        let Some(running) = leader.and_then(|place| self.controls[place].running.as_ref()) else {
            return;
        };
        let configuration = running.replica.state().configuration.clone();
        for session in self.workload.sessions.keys() {
            let kept = configuration.sessions.contains_key(session);
            self.checker.check(Invariant::SessionsStay, kept, now, || {
                format!("session {session} is gone at the end")
            });
        }
        let revision = policy_revision(&configuration);
        let accepted = self.operators.highest_policy_revision();
        self.checker
            .check(Invariant::NeverReverts, revision >= accepted, now, || {
                format!("policy revision {revision}, accepted was {accepted}")
            });
        let repaired = self.operators.repairs.is_empty();
        self.checker.check(Invariant::Recovers, repaired, now, || {
            "a lost replica was not replaced".to_owned()
        });
        let unsettled: Vec<&BackendId> = configuration
            .backends
            .iter()
            .filter(|(_, record)| record.order.is_some())
            .map(|(id, _)| id)
            .collect();
        self.checker
            .check(Invariant::Recovers, unsettled.is_empty(), now, || {
                format!("orders of {unsettled:?} are not settled at the end")
            });
    }

    fn is_gateway_ready(&self, place: usize) -> bool {
        let clock = self.clock(Host::Gateway(place));
        let gateway = self.gateways[place].gateway.as_ref();
        gateway.is_some_and(|gateway| gateway.is_ready(clock))
    }

    fn report(self) -> Report {
        let counts = &self.workload.counts;
        let refused = counts
            .refused
            .iter()
            .map(|(code, count)| (code.as_str().to_owned(), *count))
            .collect();
        Report {
            seed: self.scenario.seed,
            violations: self.checker.violations,
            checks: self.checker.checks,
            struck: self.struck,
            faults: self.faults,
            simulated_ms: self.now.0,
            sent: counts.sent,
            whole: counts.whole,
            refused,
            reasons: counts.reasons.clone(),
            disconnected: counts.disconnected,
            accepted: self.operators.accepted,
            conflicts: self.operators.conflicts,
            elections: self.elections,
            role_changes: self.role_changes,
            leaderless_ms: self.leaderless_ms,
            in_force_ms: self.operators.in_force_ms,
        }
    }
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
