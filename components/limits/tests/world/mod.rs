//! Gateways, a leader and one back end, with messages that take their time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use garnet_limits::{
    Asking, KnownLimits, LimitEntry, LimitLedger, LimitList, LimitReports, PermitAnswer, PermitAsk,
    RequestRate,
};
use garnet_types::{BackendId, Millis};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// One way between a gateway and the leader, at most.
const LONGEST_WAY_MS: u64 = 40;
/// There and back.
pub const ROUND_TRIP: Millis = Millis(2 * LONGEST_WAY_MS);
/// A gateway waits so long for the leader's answer.
const PATIENCE: Millis = Millis(250);
/// From a gateway to the back end: usually, ...
const USUAL_TRANSIT_MS: u64 = 30;
/// ... and where a connection comes up slowly.
const LONGEST_TRANSIT_MS: u64 = 1_350;
/// One request in so many takes that long.
const SLOW_TRANSITS: u32 = 10;
const WORK: Millis = Millis(20);
/// When the back end begins to name its limit.
const NAMED_FROM: Millis = Millis::from_secs(3);
/// Windows are judged from so long after that.
const CONTACT: Millis = Millis::from_secs(3);
const WINDOW: Millis = Millis::from_secs(4);
/// A gateway counts as told from so long after its answer.
const TOLD_AFTER: Millis = Millis(500);
const LONGEST_FAULT_MS: u64 = 6_000;

/// Something that happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A gateway starts anew.
    Restart,
    /// A gateway is cut off from the leader.
    Cut,
    /// A gateway stands still.
    Suspension,
    /// Nobody leads, then another one.
    NoLeader,
    /// Words of a gateway are lost on a connection that stays.
    LostMessages,
}

/// What is played.
#[derive(Debug, Clone)]
pub struct Plan {
    pub gateways: usize,
    pub limit: RequestRate,
    pub requests_per_s: f64,
    /// Each strikes at a moment of its own.
    pub faults: Vec<Fault>,
    /// When the back end names its limit no longer.
    pub ends_at: Option<Millis>,
    pub length: Millis,
    pub seed: u64,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Arrivals in the worst window, from gateways that had been told.
    pub most_in_window: usize,
    /// The same from all gateways, whether they had been told or not.
    pub most_of_all: usize,
    pub allowed: usize,
    /// Arrivals from all gateways, from the first judged moment on.
    pub arrived: usize,
    pub arrived_after_end: usize,
    /// Gateways that know a limit at the end.
    pub still_limited: usize,
    pub refused: usize,
    pub longest_refusal: Millis,
    pub served_by_rank: [usize; 3],
}

#[derive(Debug)]
enum Event {
    Request,
    Watch(usize, u64),
    /// Words and a watch reach the leader.
    Reports(usize, u64, Option<LimitReports>),
    Ask(usize, u64, PermitAsk),
    /// Its list reaches a gateway.
    List(usize, u64, ToldList),
    Permit(usize, u64, PermitAnswer),
    /// A gateway has waited long enough for the leader.
    TimedOut(usize, u64, u64),
    Arrives(usize, u64, Millis, u8),
    Answer(usize, u64, Millis, bool),
    Strike(Fault),
    NewLeader,
}

#[derive(Debug)]
struct ToldList {
    term: u64,
    number: u64,
    reports_taken: u64,
    limits: Vec<LimitEntry>,
}

#[derive(Default)]
struct Gateway {
    limits: KnownLimits,
    /// Rises when it starts anew.
    life: u64,
    /// Rises when it finds the leader anew.
    connection: u64,
    cut_until: Millis,
    still_until: Millis,
    loses_until: Millis,
    /// When it passed an answer on that named the limit, in this life.
    told_at: Option<Millis>,
    /// Requests that wait for the leader, by the number of the question.
    waiting: BTreeMap<u64, (Millis, u8)>,
}

struct Leader {
    term: u64,
    ledger: LimitLedger,
    /// Of each gateway's connection: the list it was told, and its last reports.
    told: BTreeMap<(usize, u64), (u64, u64)>,
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
    /// When each request came, and whether its gateway had been told.
    arrivals: Vec<(Millis, bool)>,
    outcome: Outcome,
}

/// Plays it.
pub fn run(plan: &Plan) -> Outcome {
    let mut world = World::new(plan);
    while let Some(Reverse((at, number))) = world.queue.pop() {
        if at > plan.length {
            break;
        }
        world.now = at;
        if let Some(event) = world.events.remove(&number) {
            world.take(event);
        }
    }
    world.judge()
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
            let at = Millis(world.random.random_range(0..world.interval().0 + 1));
            world.schedule(at, Event::Watch(gateway, 0));
        }
        for fault in &plan.faults {
            let at = Millis(world.random.random_range(1_000..plan.length.0 - 3_000));
            world.schedule(at, Event::Strike(*fault));
        }
        world
    }

    /// As gateways ask.
    fn interval(&self) -> Millis {
        Millis((self.plan.gateways as u64 * 4).clamp(30, 250))
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        let number = self.events.last_key_value().map_or(0, |(n, _)| n + 1);
        self.events.insert(number, event);
        self.queue.push(Reverse((at, number)));
    }

    fn after(&mut self, longest_ms: u64, event: Event) {
        let at = self.now + Millis(self.random.random_range(1..longest_ms + 1));
        self.schedule(at, event);
    }

    fn names_limit(&self) -> bool {
        let is_over = self.plan.ends_at.is_some_and(|end| self.now >= end);
        self.now >= NAMED_FROM && !is_over
    }

    /// A gateway that stands still finds what came when it goes on.
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

    fn take(&mut self, event: Event) {
        if let Some(gateway) = Self::gateway_of(&event) {
            let until = self.gateways[gateway].still_until;
            if until > self.now {
                self.schedule(until, event);
                return;
            }
        }
        match event {
            Event::Request => self.request(),
            Event::Watch(gateway, life) => self.watch(gateway, life),
            Event::Reports(gateway, connection, reports) => {
                self.reports(gateway, connection, reports)
            }
            Event::Ask(gateway, connection, ask) => self.ask(gateway, connection, &ask),
            Event::List(gateway, connection, told) => {
                if self.is_heard(gateway, connection) {
                    let list = LimitList {
                        term: told.term,
                        number: told.number,
                        reports_taken: told.reports_taken,
                        limits: &told.limits,
                    };
                    self.gateways[gateway].limits.take_list(list, self.now);
                }
            }
            Event::Permit(gateway, connection, answer) => {
                if self.is_heard(gateway, connection) {
                    self.permit(gateway, &answer);
                }
            }
            Event::TimedOut(gateway, life, number) => {
                if self.gateways[gateway].life == life {
                    self.end_waiting(gateway, number);
                }
            }
            Event::Arrives(gateway, life, sent, rank) => self.arrives(gateway, life, sent, rank),
            Event::Answer(gateway, life, sent, names) => {
                self.answer(gateway, life, sent, names);
            }
            Event::Strike(fault) => self.strike(fault),
            Event::NewLeader => self.new_leader(),
        }
    }

    fn is_heard(&self, gateway: usize, connection: u64) -> bool {
        let gateway = &self.gateways[gateway];
        gateway.connection == connection && self.now >= gateway.cut_until
    }

    // ---- Callers ----

    fn request(&mut self) {
        let every_ms = 1000.0 / self.plan.requests_per_s;
        let pause = -every_ms * (1.0 - self.random.random::<f64>()).ln();
        let at = self.now + Millis(pause.max(1.0) as u64);
        self.schedule(at, Event::Request);
        let gateway = self.random.random_range(0..self.plan.gateways);
        if self.gateways[gateway].still_until > self.now {
            return;
        }
        let rank = self.random.random_range(0..3);
        if self.send(gateway, rank) {
            return;
        }
        let now = self.now;
        match self.gateways[gateway]
            .limits
            .ask([&self.id].into_iter(), rank, now)
        {
            Asking::Ask(ask) => {
                self.send_words(gateway);
                let Gateway {
                    waiting,
                    connection,
                    life,
                    ..
                } = &mut self.gateways[gateway];
                let (connection, life) = (*connection, *life);
                waiting.insert(ask.number, (now, rank));
                let timed_out = Event::TimedOut(gateway, life, ask.number);
                self.schedule(now + PATIENCE, timed_out);
                if now >= self.gateways[gateway].cut_until {
                    self.after(LONGEST_WAY_MS, Event::Ask(gateway, connection, ask));
                }
            }
            Asking::Closed(_) => self.outcome.refused += 1,
            Asking::Unlimited => panic!("it may be sent"),
        }
    }

    fn send(&mut self, gateway: usize, rank: u8) -> bool {
        let now = self.now;
        let known = &mut self.gateways[gateway];
        if !known.limits.may_send(&self.id, now) {
            return false;
        }
        known.limits.sent(&self.id, now);
        let life = known.life;
        let is_slow = self.random.random_range(0..SLOW_TRANSITS) == 0;
        let longest = if is_slow {
            LONGEST_TRANSIT_MS
        } else {
            USUAL_TRANSIT_MS
        };
        self.after(longest, Event::Arrives(gateway, life, now, rank));
        true
    }

    fn end_waiting(&mut self, gateway: usize, number: u64) {
        let Some((since, rank)) = self.gateways[gateway].waiting.remove(&number) else {
            return;
        };
        if !self.send(gateway, rank) {
            self.outcome.refused += 1;
            let took = self.now.since(since);
            self.outcome.longest_refusal = self.outcome.longest_refusal.max(took);
        }
    }

    // ---- The back end ----

    fn arrives(&mut self, gateway: usize, life: u64, sent: Millis, rank: u8) {
        let from = &self.gateways[gateway];
        let was_told = from.told_at.is_some_and(|at| self.now >= at + TOLD_AFTER);
        self.arrivals
            .push((self.now, was_told && from.life == life));
        let names = self.names_limit();
        if names && self.now >= NAMED_FROM + CONTACT {
            self.outcome.served_by_rank[usize::from(rank)] += 1;
        }
        let answer = Event::Answer(gateway, life, sent, names);
        self.schedule(self.now + WORK, answer);
    }

    fn answer(&mut self, gateway: usize, life: u64, sent: Millis, names: bool) {
        let now = self.now;
        let heard = &mut self.gateways[gateway];
        if heard.life != life {
            return;
        }
        if names {
            heard.limits.named(&self.id, 1, self.plan.limit, now);
            heard.told_at.get_or_insert(now);
        } else {
            heard.limits.named_none(&self.id, 1, sent);
        }
    }

    // ---- The leader ----

    fn send_words(&mut self, gateway: usize) {
        let now = self.now;
        let from = &mut self.gateways[gateway];
        let reports = from.limits.reports(now);
        if now < from.cut_until {
            return;
        }
        // Those that are lost, and later ones that are not.
        let is_lost = now < from.loses_until && self.random.random_bool(0.5);
        let reports = reports.filter(|_| !is_lost);
        let connection = from.connection;
        self.after(LONGEST_WAY_MS, Event::Reports(gateway, connection, reports));
    }

    fn watch(&mut self, gateway: usize, life: u64) {
        if self.gateways[gateway].life != life {
            return;
        }
        self.send_words(gateway);
        let at = self.now + self.interval();
        self.schedule(at, Event::Watch(gateway, life));
    }

    fn reports(&mut self, gateway: usize, connection: u64, reports: Option<LimitReports>) {
        let now = self.now;
        let Some(leader) = &mut self.leader else {
            return;
        };
        if self.gateways[gateway].connection != connection {
            return;
        }
        let before = leader.told.get(&(gateway, connection)).copied();
        let mut noted = before.map_or(0, |(_, noted)| noted);
        if let Some(message) = reports {
            for report in &message.reports {
                leader.ledger.note(report, now);
            }
            noted = noted.max(message.number);
        }
        let told = (leader.ledger.number(), noted);
        if before != Some(told) {
            leader.told.insert((gateway, connection), told);
            let list = ToldList {
                term: leader.term,
                number: leader.ledger.number(),
                reports_taken: noted,
                limits: leader.ledger.list(),
            };
            self.after(LONGEST_WAY_MS, Event::List(gateway, connection, list));
        }
    }

    fn ask(&mut self, gateway: usize, connection: u64, ask: &PermitAsk) {
        if let Some(leader) = &mut self.leader {
            let answer = leader.ledger.ask(ask, self.now);
            let answer = Event::Permit(gateway, connection, answer);
            self.after(LONGEST_WAY_MS, answer);
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
            told: BTreeMap::new(),
        });
        // Some go on with the connection that they have: it was the leader's before.
        for gateway in &mut self.gateways {
            if self.random.random_bool(0.5) {
                gateway.connection += 1;
                gateway.limits.connected();
            }
        }
    }

    fn strike(&mut self, fault: Fault) {
        let lasts = Millis(self.random.random_range(50..LONGEST_FAULT_MS));
        let until = self.now + lasts;
        let gateway = self.random.random_range(0..self.plan.gateways);
        let struck = &mut self.gateways[gateway];
        match fault {
            Fault::Restart => {
                let life = struck.life + 1;
                *struck = Gateway {
                    life,
                    connection: struck.connection + 1,
                    ..Gateway::default()
                };
                self.after(1_000, Event::Watch(gateway, life));
            }
            Fault::Cut => {
                struck.cut_until = struck.cut_until.max(until);
                struck.connection += 1;
                struck.limits.connected();
            }
            Fault::Suspension => struck.still_until = struck.still_until.max(until),
            Fault::LostMessages => struck.loses_until = struck.loses_until.max(until),
            Fault::NoLeader => {
                self.leader = None;
                self.schedule(until, Event::NewLeader);
            }
        }
    }

    // ---- The verdict ----

    fn judge(mut self) -> Outcome {
        let judged_from = NAMED_FROM + CONTACT;
        let end = self.plan.ends_at.unwrap_or(Millis::NEVER);
        let judged = |at: &Millis| *at >= judged_from && *at < end;
        let told = self
            .arrivals
            .iter()
            .filter(|(at, told)| *told && judged(at));
        let told: Vec<Millis> = told.map(|(at, _)| *at).collect();
        let all = self.arrivals.iter().map(|(at, _)| *at).filter(judged);
        let all: Vec<Millis> = all.collect();
        let outcome = &mut self.outcome;
        outcome.most_in_window = most_in_window(&told);
        outcome.most_of_all = most_in_window(&all);
        outcome.allowed = (self.plan.limit.per_s() * 6.0 + 5.0).ceil() as usize;
        outcome.arrived = self.arrivals.iter().filter(|(at, _)| judged(at)).count();
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
