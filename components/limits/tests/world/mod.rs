//! Simulation of gateways, a leader and one back end, with message delays.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use garnet_limits::{
    GatewayLimits, LimitEntry, LimitLedger, LimitList, LimitReports, PermitAnswer, PermitLookup,
    PermitRequest, RequestRate,
};
use garnet_types::{BackendId, Millis};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Longest one-way delay between a gateway and the leader.
const MAX_LEADER_DELAY_MS: u64 = 40;
/// Longest round trip between a gateway and the leader.
pub const ROUND_TRIP: Millis = Millis(2 * MAX_LEADER_DELAY_MS);
/// How long a gateway waits for the leader's answer.
const PERMIT_TIMEOUT: Millis = Millis(250);
/// Longest usual delay from a gateway to the back end.
const MAX_USUAL_TRANSIT_MS: u64 = 30;
/// Longest delay from a gateway to the back end over a connection that is slow to establish.
const MAX_SLOW_TRANSIT_MS: u64 = 1_350;
/// One in this many requests has a slow connection.
const REQUESTS_PER_SLOW_TRANSIT: u32 = 10;
/// Time in which the back end answers a request.
const SERVICE_TIME: Millis = Millis(20);
/// When the back end begins to report its limit.
const LIMIT_START: Millis = Millis::from_secs(3);
/// Windows are checked from this long after the first reported limit.
const SETTLING_TIME: Millis = Millis::from_secs(3);
const WINDOW: Millis = Millis::from_secs(4);
/// A gateway counts as informed from this long after the first answer with the limit.
const INFORMED_AFTER: Millis = Millis(500);
const MAX_FAULT_MS: u64 = 6_000;

/// A fault to inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A gateway restarts.
    Restart,
    /// A gateway is disconnected from the leader.
    Disconnection,
    /// A gateway's process is suspended.
    Suspension,
    /// There is no leader for a while, then a new one.
    NoLeader,
    /// Messages of a gateway are lost while its connection stays.
    LostMessages,
}

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct Plan {
    pub gateways: usize,
    pub limit: RequestRate,
    pub requests_per_s: f64,
    /// Faults, each injected at a random time.
    pub faults: Vec<Fault>,
    /// When the back end stops reporting its limit.
    pub ends_at: Option<Millis>,
    pub length: Millis,
    pub seed: u64,
}

/// Result of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Most arrivals in any window, of requests from informed gateways.
    pub most_in_window: usize,
    /// Most arrivals in any window, of requests from all gateways.
    pub most_in_window_of_all: usize,
    pub allowed: usize,
    /// Arrivals from all gateways within the checked period.
    pub arrived: usize,
    pub arrived_after_end: usize,
    /// Gateways that hold a limit at the end.
    pub still_limited: usize,
    pub refused: usize,
    pub longest_refusal: Millis,
    pub served_by_priority: [usize; 3],
}

#[derive(Debug)]
enum Event {
    Request,
    Watch(usize, u64),
    /// A watch and a gateway's pending reports reach the leader.
    Reports(usize, u64, Option<LimitReports>),
    Ask(usize, u64, PermitRequest),
    /// The leader's list reaches a gateway.
    List(usize, u64, SentList),
    Permit(usize, u64, PermitAnswer),
    /// A gateway's wait for a permit times out.
    TimedOut(usize, u64, u64),
    Arrives(usize, u64, Millis, u8),
    Answer(usize, u64, Millis, bool),
    Inject(Fault),
    NewLeader,
}

#[derive(Debug)]
struct SentList {
    term: u64,
    number: u64,
    reports_taken: u64,
    limits: Vec<LimitEntry>,
}

#[derive(Default)]
struct Gateway {
    limits: GatewayLimits,
    /// Increases with each restart.
    incarnation: u64,
    /// Increases with each new connection to a leader.
    connection: u64,
    disconnected_until: Millis,
    suspended_until: Millis,
    losing_messages_until: Millis,
    /// When this incarnation first received an answer with the limit.
    limit_received_at: Option<Millis>,
    /// Requests that wait for a permit, by the number of the permit request.
    waiting: BTreeMap<u64, (Millis, u8)>,
}

struct Leader {
    term: u64,
    ledger: LimitLedger,
    /// By gateway and connection: the numbers of the last list sent and of the last reports
    /// applied.
    sent_lists: BTreeMap<(usize, u64), (u64, u64)>,
}

struct World<'a> {
    plan: &'a Plan,
    random: Pcg64Mcg,
    now: Millis,
    queue: BinaryHeap<Reverse<(Millis, u64)>>,
    events: BTreeMap<u64, Event>,
    gateways: Vec<Gateway>,
    leader: Option<Leader>,
    term: u64,
    id: BackendId,
    /// When each request arrived, and whether its gateway was informed.
    arrivals: Vec<(Millis, bool)>,
    outcome: Outcome,
}

/// Runs a simulation.
pub fn run(plan: &Plan) -> Outcome {
    let mut world = World::new(plan);
    while let Some(Reverse((at, number))) = world.queue.pop() {
        if at > plan.length {
            break;
        }
        world.now = at;
        if let Some(event) = world.events.remove(&number) {
            world.handle(event);
        }
    }
    world.finish()
}

impl<'a> World<'a> {
    fn new(plan: &'a Plan) -> Self {
        let mut world = World {
            plan,
            random: Pcg64Mcg::seed_from_u64(plan.seed),
            now: Millis::ZERO,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            gateways: (0..plan.gateways).map(|_| Gateway::default()).collect(),
            leader: None,
            term: 0,
            id: BackendId::new("i-1"),
            arrivals: Vec::new(),
            outcome: Outcome::default(),
        };
        world.schedule(Millis::ZERO, Event::NewLeader);
        world.schedule(Millis(500), Event::Request);
        for gateway in 0..plan.gateways {
            let at = Millis(world.random.random_range(0..world.watch_interval().0 + 1));
            world.schedule(at, Event::Watch(gateway, 0));
        }
        for fault in &plan.faults {
            let at = Millis(world.random.random_range(1_000..plan.length.0 - 3_000));
            world.schedule(at, Event::Inject(*fault));
        }
        world
    }

    /// Interval between the watches of a gateway.
    fn watch_interval(&self) -> Millis {
        Millis((self.plan.gateways as u64 * 4).clamp(30, 250))
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        let number = self.events.last_key_value().map_or(0, |(n, _)| n + 1);
        self.events.insert(number, event);
        self.queue.push(Reverse((at, number)));
    }

    fn schedule_within(&mut self, max_delay_ms: u64, event: Event) {
        let at = self.now + Millis(self.random.random_range(1..max_delay_ms + 1));
        self.schedule(at, event);
    }

    fn reports_limit(&self) -> bool {
        let has_ended = self.plan.ends_at.is_some_and(|end| self.now >= end);
        self.now >= LIMIT_START && !has_ended
    }

    /// The gateway that handles an event. A suspended gateway handles it when it resumes.
    fn gateway_of(event: &Event) -> Option<usize> {
        match event {
            Event::Watch(gateway, ..)
            | Event::List(gateway, ..)
            | Event::Permit(gateway, ..)
            | Event::TimedOut(gateway, ..)
            | Event::Answer(gateway, ..) => Some(*gateway),
            _ => None,
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(gateway) = Self::gateway_of(&event) {
            let until = self.gateways[gateway].suspended_until;
            if until > self.now {
                self.schedule(until, event);
                return;
            }
        }
        match event {
            Event::Request => self.request(),
            Event::Watch(gateway, incarnation) => self.watch(gateway, incarnation),
            Event::Reports(gateway, connection, reports) => {
                self.reports(gateway, connection, reports)
            }
            Event::Ask(gateway, connection, ask) => self.ask(gateway, connection, &ask),
            Event::List(gateway, connection, sent_list) => {
                if self.is_connected(gateway, connection) {
                    let list = LimitList {
                        term: sent_list.term,
                        number: sent_list.number,
                        reports_taken: sent_list.reports_taken,
                        limits: &sent_list.limits,
                    };
                    self.gateways[gateway].limits.apply_list(list, self.now);
                }
            }
            Event::Permit(gateway, connection, answer) => {
                if self.is_connected(gateway, connection) {
                    self.permit(gateway, &answer);
                }
            }
            Event::TimedOut(gateway, incarnation, number) => {
                if self.gateways[gateway].incarnation == incarnation {
                    self.end_waiting(gateway, number);
                }
            }
            Event::Arrives(gateway, incarnation, sent, priority) => {
                self.arrives(gateway, incarnation, sent, priority)
            }
            Event::Answer(gateway, incarnation, sent, has_limit) => {
                self.answer(gateway, incarnation, sent, has_limit);
            }
            Event::Inject(fault) => self.inject(fault),
            Event::NewLeader => self.new_leader(),
        }
    }

    fn is_connected(&self, gateway: usize, connection: u64) -> bool {
        let gateway = &self.gateways[gateway];
        gateway.connection == connection && self.now >= gateway.disconnected_until
    }

    // ---- Callers ----

    fn request(&mut self) {
        let every_ms = 1000.0 / self.plan.requests_per_s;
        let pause = -every_ms * (1.0 - self.random.random::<f64>()).ln();
        let at = self.now + Millis(pause.max(1.0) as u64);
        self.schedule(at, Event::Request);
        let gateway = self.random.random_range(0..self.plan.gateways);
        if self.gateways[gateway].suspended_until > self.now {
            return;
        }
        let priority = self.random.random_range(0..3);
        if self.send(gateway, priority) {
            return;
        }
        let now = self.now;
        match self.gateways[gateway]
            .limits
            .request_permit([&self.id].into_iter(), priority, now)
        {
            PermitLookup::AskLeader(ask) => {
                self.send_reports(gateway);
                let Gateway {
                    waiting,
                    connection,
                    incarnation,
                    ..
                } = &mut self.gateways[gateway];
                let (connection, incarnation) = (*connection, *incarnation);
                waiting.insert(ask.number, (now, priority));
                let timed_out = Event::TimedOut(gateway, incarnation, ask.number);
                self.schedule(now + PERMIT_TIMEOUT, timed_out);
                if now >= self.gateways[gateway].disconnected_until {
                    self.schedule_within(MAX_LEADER_DELAY_MS, Event::Ask(gateway, connection, ask));
                }
            }
            PermitLookup::Exhausted(_) => self.outcome.refused += 1,
            PermitLookup::Unlimited => panic!("no permit is needed"),
        }
    }

    fn send(&mut self, gateway: usize, priority: u8) -> bool {
        let now = self.now;
        let known = &mut self.gateways[gateway];
        if !known.limits.may_send(&self.id, now) {
            return false;
        }
        known.limits.sent(&self.id, now);
        let incarnation = known.incarnation;
        let is_slow = self.random.random_range(0..REQUESTS_PER_SLOW_TRANSIT) == 0;
        let max_ms = if is_slow {
            MAX_SLOW_TRANSIT_MS
        } else {
            MAX_USUAL_TRANSIT_MS
        };
        self.schedule_within(max_ms, Event::Arrives(gateway, incarnation, now, priority));
        true
    }

    fn end_waiting(&mut self, gateway: usize, number: u64) {
        let Some((since, priority)) = self.gateways[gateway].waiting.remove(&number) else {
            return;
        };
        if !self.send(gateway, priority) {
            self.outcome.refused += 1;
            let took = self.now.since(since);
            self.outcome.longest_refusal = self.outcome.longest_refusal.max(took);
        }
    }

    // ---- The back end ----

    fn arrives(&mut self, gateway: usize, incarnation: u64, sent: Millis, priority: u8) {
        let from = &self.gateways[gateway];
        let was_informed = from
            .limit_received_at
            .is_some_and(|at| self.now >= at + INFORMED_AFTER);
        self.arrivals
            .push((self.now, was_informed && from.incarnation == incarnation));
        let has_limit = self.reports_limit();
        if has_limit && self.now >= LIMIT_START + SETTLING_TIME {
            self.outcome.served_by_priority[usize::from(priority)] += 1;
        }
        let answer = Event::Answer(gateway, incarnation, sent, has_limit);
        self.schedule(self.now + SERVICE_TIME, answer);
    }

    fn answer(&mut self, gateway: usize, incarnation: u64, sent: Millis, has_limit: bool) {
        let now = self.now;
        let receiver = &mut self.gateways[gateway];
        if receiver.incarnation != incarnation {
            return;
        }
        if has_limit {
            receiver
                .limits
                .limit_reported(&self.id, 1, self.plan.limit, now);
            receiver.limit_received_at.get_or_insert(now);
        } else {
            receiver.limits.no_limit_reported(&self.id, 1, sent);
        }
    }

    // ---- The leader ----

    fn send_reports(&mut self, gateway: usize) {
        let now = self.now;
        let from = &mut self.gateways[gateway];
        let reports = from.limits.reports(now);
        if now < from.disconnected_until {
            return;
        }
        // Half of the messages are lost, later ones arrive.
        let is_lost = now < from.losing_messages_until && self.random.random_bool(0.5);
        let reports = reports.filter(|_| !is_lost);
        let connection = from.connection;
        self.schedule_within(
            MAX_LEADER_DELAY_MS,
            Event::Reports(gateway, connection, reports),
        );
    }

    fn watch(&mut self, gateway: usize, incarnation: u64) {
        if self.gateways[gateway].incarnation != incarnation {
            return;
        }
        self.send_reports(gateway);
        let at = self.now + self.watch_interval();
        self.schedule(at, Event::Watch(gateway, incarnation));
    }

    fn reports(&mut self, gateway: usize, connection: u64, reports: Option<LimitReports>) {
        let now = self.now;
        let Some(leader) = &mut self.leader else {
            return;
        };
        if self.gateways[gateway].connection != connection {
            return;
        }
        let before = leader.sent_lists.get(&(gateway, connection)).copied();
        let mut applied = before.map_or(0, |(_, applied)| applied);
        if let Some(message) = reports {
            for report in &message.reports {
                leader.ledger.apply_report(report, now);
            }
            applied = applied.max(message.number);
        }
        let latest = (leader.ledger.list_number(), applied);
        if before != Some(latest) {
            leader.sent_lists.insert((gateway, connection), latest);
            let list = SentList {
                term: leader.term,
                number: leader.ledger.list_number(),
                reports_taken: applied,
                limits: leader.ledger.list(),
            };
            self.schedule_within(MAX_LEADER_DELAY_MS, Event::List(gateway, connection, list));
        }
    }

    fn ask(&mut self, gateway: usize, connection: u64, ask: &PermitRequest) {
        if let Some(leader) = &mut self.leader {
            let answer = leader.ledger.request_permit(ask, self.now);
            let answer = Event::Permit(gateway, connection, answer);
            self.schedule_within(MAX_LEADER_DELAY_MS, answer);
        }
    }

    fn permit(&mut self, gateway: usize, answer: &PermitAnswer) {
        let now = self.now;
        self.gateways[gateway].limits.answered(answer, now);
        self.end_waiting(gateway, answer.number);
    }

    fn new_leader(&mut self) {
        self.term += 1;
        self.leader = Some(Leader {
            term: self.term,
            ledger: LimitLedger::default(),
            sent_lists: BTreeMap::new(),
        });
        // About half of the gateways keep their connection to the replica that now leads.
        for gateway in &mut self.gateways {
            if self.random.random_bool(0.5) {
                gateway.connection += 1;
                gateway.limits.connected();
            }
        }
    }

    fn inject(&mut self, fault: Fault) {
        let duration = Millis(self.random.random_range(50..MAX_FAULT_MS));
        let until = self.now + duration;
        let gateway = self.random.random_range(0..self.plan.gateways);
        let target = &mut self.gateways[gateway];
        match fault {
            Fault::Restart => {
                let incarnation = target.incarnation + 1;
                *target = Gateway {
                    incarnation,
                    connection: target.connection + 1,
                    ..Gateway::default()
                };
                self.schedule_within(1_000, Event::Watch(gateway, incarnation));
            }
            Fault::Disconnection => {
                target.disconnected_until = target.disconnected_until.max(until);
                target.connection += 1;
                target.limits.connected();
            }
            Fault::Suspension => target.suspended_until = target.suspended_until.max(until),
            Fault::LostMessages => {
                target.losing_messages_until = target.losing_messages_until.max(until)
            }
            Fault::NoLeader => {
                self.leader = None;
                self.schedule(until, Event::NewLeader);
            }
        }
    }

    // ---- Checks ----

    fn finish(mut self) -> Outcome {
        let checked_from = LIMIT_START + SETTLING_TIME;
        let end = self.plan.ends_at.unwrap_or(Millis::NEVER);
        let is_checked = |at: &Millis| *at >= checked_from && *at < end;
        let informed = self
            .arrivals
            .iter()
            .filter(|(at, informed)| *informed && is_checked(at));
        let informed: Vec<Millis> = informed.map(|(at, _)| *at).collect();
        let all = self.arrivals.iter().map(|(at, _)| *at).filter(is_checked);
        let all: Vec<Millis> = all.collect();
        let outcome = &mut self.outcome;
        outcome.most_in_window = most_in_window(&informed);
        outcome.most_in_window_of_all = most_in_window(&all);
        outcome.allowed = (self.plan.limit.per_s() * 6.0 + 5.0).ceil() as usize;
        outcome.arrived = self
            .arrivals
            .iter()
            .filter(|(at, _)| is_checked(at))
            .count();
        outcome.arrived_after_end = self.arrivals.iter().filter(|(at, _)| *at >= end).count();
        let limited = self.gateways.iter().filter(|g| !g.limits.is_empty());
        outcome.still_limited = limited.count();
        self.outcome
    }
}

fn most_in_window(arrivals: &[Millis]) -> usize {
    let window = |from: &Millis| {
        let is_in = |at: &&Millis| *at >= from && **at < *from + WINDOW;
        arrivals.iter().filter(is_in).count()
    };
    arrivals.iter().map(window).max().unwrap_or(0)
}
