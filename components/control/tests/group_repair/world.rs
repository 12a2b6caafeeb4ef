//! The simulated world: machines, the links between them, an operator, and injected faults.

use std::collections::BTreeSet;
use std::sync::Arc;

use garnet_control::{
    Command, CommandEnvelope, DutySettings, Effect, Event, OperatorAnswer, OperatorRequest,
};
use garnet_routes::RouteTable;
use garnet_storage::PowerLoss;
use garnet_types::{Millis, ReplicaId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::machines::{Machine, first_group};
use crate::platform::MIN_RETURN_INTERVAL;

mod usage;

use usage::{CALL_TIME, Duties, GATEWAYS, WINDOW};

/// A process that ends loses none of its writes.
const KEEP_ALL: PowerLoss = PowerLoss::KeepPrefix(1 << 40);
const STEP: Millis = Millis(10);
const MACHINES: usize = 5;
const SEEDS: usize = 3;
/// Interval at which the operator writes and reads.
const OPERATOR_INTERVAL: Millis = Millis(150);
/// Time in which the group must be repaired after a fault has ended.
const REPAIR_TIME: Millis = Millis::from_secs(8);

/// A fault of the machines or of their links.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    KillSome,
    LosePowerEverywhere,
    WipeOne,
    WipeTwo,
    WipeAcknowledgerThenPowerEverywhere,
    Replace,
    IsolateMinority,
    IsolateLeader,
    FreezeLeader,
    /// Two machines are isolated while the rest continues; then two of the rest lose their
    /// disks just as the partition heals.
    WipeTwoAsPartitionHeals,
}

impl Fault {
    pub const ALL: [Fault; 10] = [
        Fault::KillSome,
        Fault::LosePowerEverywhere,
        Fault::WipeOne,
        Fault::WipeTwo,
        Fault::WipeAcknowledgerThenPowerEverywhere,
        Fault::Replace,
        Fault::IsolateMinority,
        Fault::IsolateLeader,
        Fault::FreezeLeader,
        Fault::WipeTwoAsPartitionHeals,
    ];
}

struct InFlightMessage {
    arrives: Millis,
    from: usize,
    to: usize,
    event: Event,
}

pub struct World {
    seed: u64,
    random: Pcg64Mcg,
    machines: Vec<Machine>,
    isolated: BTreeSet<usize>,
    in_flight: Vec<InFlightMessage>,
    now: Millis,
    version: u64,
    /// Highest version that was acknowledged.
    acknowledged: u64,
    acknowledged_by: usize,
    last_request_at: Millis,
    drawn_identity: u64,
    pub injected: usize,
    pub duties: Option<Duties>,
    duty_settings: Option<DutySettings>,
}

impl World {
    pub fn new(seed: u64) -> Self {
        World::with_duties(seed, None)
    }

    /// A world with a platform that receives usage reports and checks fences or not.
    pub fn with_usage(seed: u64, fences_checked: bool) -> Self {
        let settings = DutySettings {
            fences_checked,
            alternation_window: MIN_RETURN_INTERVAL,
            call_timeout: CALL_TIME,
            usage_window: Some(WINDOW),
            buys_engines: false,
        };
        World::with_duties(seed, Some(settings))
    }

    fn with_duties(seed: u64, settings: Option<DutySettings>) -> Self {
        let addresses: Vec<String> = (0..MACHINES).map(|n| format!("m{n}")).collect();
        let group = first_group(&addresses[..SEEDS]);
        let mut world = World {
            seed,
            random: Pcg64Mcg::seed_from_u64(seed),
            machines: Vec::new(),
            isolated: BTreeSet::new(),
            in_flight: Vec::new(),
            now: Millis(1000),
            version: 0,
            acknowledged: 0,
            acknowledged_by: 0,
            last_request_at: Millis::ZERO,
            drawn_identity: 50_000,
            injected: 0,
            duty_settings: settings,
            duties: settings.map(|settings| Duties::new(seed, settings.fences_checked)),
        };
        for address in addresses {
            let drawn_identity = world.draw_identity();
            let mut machine = Machine::initial(address, &group, drawn_identity);
            machine.set_duties(settings);
            world.machines.push(machine);
        }
        for index in 0..GATEWAYS {
            world.start_gateway(index);
        }
        let mut order: Vec<usize> = (0..MACHINES).collect();
        order.sort_by_key(|_| world.random.random::<u64>());
        for index in order {
            world.start(index);
            let pause = Millis(world.random.random_range(0..120));
            world.advance(pause);
        }
        world
    }

    fn draw_identity(&mut self) -> u64 {
        self.drawn_identity += 1;
        self.drawn_identity
    }

    fn start(&mut self, index: usize) {
        let seed = self.seed * 1000 + index as u64;
        self.machines[index].start(self.now, seed);
    }

    // ---- Runs ----

    pub fn run(&mut self, faults: usize, kinds: &[Fault]) {
        self.wait_for_repair();
        self.check_group();
        for _ in 0..faults {
            let kind = kinds[self.random.random_range(0..kinds.len())];
            let pause = Millis(self.random.random_range(0..1500));
            self.advance(pause);
            self.inject(kind);
            self.injected += 1;
            self.wait_for_repair();
            self.check_group();
        }
    }

    /// Advances by the time allowed for the repair of the group.
    pub fn wait_for_repair(&mut self) {
        self.advance(REPAIR_TIME);
    }

    /// Checks that the group has a leader, all its voters, and everything acknowledged.
    pub fn check_group(&self) {
        let leader = self.leader();
        let index = leader.unwrap_or_else(|| panic!("seed {}: no leader", self.seed));
        let node = self.machines[index].replica().expect("it runs").node();
        let voters: Vec<ReplicaId> = node.membership().voters().collect();
        assert_eq!(voters.len(), 5, "seed {}: voters {voters:?}", self.seed);
        for id in voters {
            let is_alive = self.machines.iter().any(|m| m.id() == id && m.is_active());
            assert!(is_alive, "seed {}: voter {id} is gone", self.seed);
        }
        let held = self.version_at(index);
        assert!(
            held >= self.acknowledged,
            "seed {}: {held} is held, {} was acknowledged",
            self.seed,
            self.acknowledged
        );
    }

    fn version_at(&self, index: usize) -> u64 {
        let replica = self.machines[index].replica().expect("it runs");
        replica.state().routes_version().unwrap_or(0)
    }

    fn leader(&self) -> Option<usize> {
        (0..self.machines.len()).find(|index| {
            let machine = &self.machines[*index];
            let leads = |r: &garnet_control::Replica| r.node().holds_lease(self.now);
            machine.is_active() && machine.replica().is_some_and(leads)
        })
    }

    // ---- Time ----

    fn advance(&mut self, time: Millis) {
        let until = self.now + time;
        while self.now < until {
            self.now = self.now + STEP;
            self.deliver();
            for index in 0..self.machines.len() {
                if self.machines[index].is_active() {
                    self.event(index, Event::Tick);
                    self.send_join_request(index);
                }
            }
            self.run_operator();
            self.run_gateways();
            self.deliver_call_answers();
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|message| message.arrives <= now);
        self.in_flight = later;
        for message in due {
            let InFlightMessage {
                from, to, event, ..
            } = message;
            let is_blocked = self.isolated.contains(&from) != self.isolated.contains(&to);
            if !is_blocked && self.machines[to].is_active() {
                self.event(to, event);
            }
        }
    }

    fn event(&mut self, index: usize, event: Event) {
        let effects = self.machines[index].handle(event, self.now);
        for effect in effects {
            self.effect(index, effect);
        }
    }

    fn effect(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::SendPeer(envelope) => {
                // A replica that is not a member yet sent its address itself.
                let to = self
                    .machines
                    .iter()
                    .position(|m| m.id() == envelope.to && !m.removed);
                self.send(index, to, Event::Peer(envelope));
            }
            Effect::ForwardJoin { address, request } => {
                let to = self.index_of(&address);
                self.send(index, to, Event::Join(request));
            }
            Effect::AnswerOperator { ticket, answer } => {
                self.on_operator_answer(index, ticket, answer)
            }
            Effect::CallPlatform(call) => self.call_platform(index, call),
            Effect::ReplyGateway { connection, reply } => self.reply_to_gateway(connection, &reply),
            _ => {}
        }
    }

    fn index_of(&self, address: &str) -> Option<usize> {
        let has_address = |m: &Machine| m.address == address && !m.removed;
        self.machines.iter().position(has_address)
    }

    fn send(&mut self, from: usize, to: Option<usize>, event: Event) {
        if let Some(to) = to {
            let delay = Millis(self.random.random_range(1..15));
            self.in_flight.push(InFlightMessage {
                arrives: self.now + delay,
                from,
                to,
                event,
            });
        }
    }

    fn send_join_request(&mut self, index: usize) {
        let seeds: Vec<String> = (0..SEEDS).map(|n| format!("m{n}")).collect();
        let now = self.now;
        if let Some((request, targets)) = self.machines[index].join_request(&seeds, now) {
            for target in targets {
                let to = self.index_of(&target);
                self.send(index, to, Event::Join(request.clone()));
            }
        }
    }

    // ---- The operator ----

    /// Writes a new version and reads, at each machine; only the leader answers.
    fn run_operator(&mut self) {
        if self.now.since(self.last_request_at) < OPERATOR_INTERVAL {
            return;
        }
        self.last_request_at = self.now;
        self.version += 1;
        let table = RouteTable {
            version: self.version,
            ..RouteTable::default()
        };
        let command = Command::PutRoutes {
            table: Arc::new(table),
            document: self.version.to_string(),
        };
        let envelope = CommandEnvelope::unnamed(command, self.now);
        let wait = false;
        let ticket = self.version;
        for index in 0..self.machines.len() {
            if !self.machines[index].is_active() {
                continue;
            }
            let request = OperatorRequest::Routes;
            self.event(index, Event::Operator { ticket: 0, request });
            let envelope = envelope.clone();
            let request = OperatorRequest::Command { envelope, wait };
            self.event(index, Event::Operator { ticket, request });
        }
    }

    fn on_operator_answer(&mut self, index: usize, ticket: u64, answer: OperatorAnswer) {
        match answer {
            OperatorAnswer::Committed { .. } if ticket > self.acknowledged => {
                self.acknowledged = ticket;
                self.acknowledged_by = index;
            }
            OperatorAnswer::Routes(document) => {
                let read: u64 = document.map_or(0, |text| text.parse().expect("a number"));
                assert!(
                    read >= self.acknowledged,
                    "seed {}: {read} was read after {} was acknowledged",
                    self.seed,
                    self.acknowledged
                );
            }
            _ => {}
        }
    }

    // ---- Faults ----

    fn inject(&mut self, kind: Fault) {
        match kind {
            Fault::KillSome => self.kill_some(),
            Fault::LosePowerEverywhere => self.restart_all(PowerLoss::DropUnsynced),
            Fault::WipeOne => self.wipe(1),
            Fault::WipeTwo => self.wipe(2),
            Fault::WipeAcknowledgerThenPowerEverywhere => {
                let drawn_identity = self.draw_identity();
                let index = self.acknowledged_by;
                if !self.machines[index].removed {
                    self.machines[index].wipe(drawn_identity);
                }
                self.restart_all(PowerLoss::DropUnsynced);
            }
            Fault::Replace => self.replace(),
            Fault::IsolateMinority => {
                let indices = self.random_running(2);
                self.isolated.extend(indices);
                self.advance(Millis(6000));
                self.isolated.clear();
            }
            Fault::IsolateLeader => {
                self.isolated.extend(self.leader());
                self.advance(Millis(4000));
                self.isolated.clear();
            }
            Fault::WipeTwoAsPartitionHeals => self.wipe_two_as_partition_heals(),
            Fault::FreezeLeader => {
                if let Some(index) = self.leader() {
                    self.machines[index].frozen = true;
                    self.advance(Millis(3000));
                    self.machines[index].frozen = false;
                }
            }
        }
    }

    fn random_running(&mut self, count: usize) -> Vec<usize> {
        let running = |index: &usize| self.machines[*index].is_active();
        let mut indices: Vec<usize> = (0..self.machines.len()).filter(running).collect();
        indices.sort_by_key(|_| self.random.random::<u64>());
        indices.truncate(count);
        indices
    }

    fn kill_some(&mut self) {
        let count = self.random.random_range(1..4);
        let indices = self.random_running(count);
        for index in &indices {
            self.machines[*index].stop(KEEP_ALL);
        }
        self.advance(Millis(1000));
        for index in indices {
            self.start(index);
        }
    }

    fn restart_all(&mut self, loss: PowerLoss) {
        let indices = self.random_running(usize::MAX);
        for index in &indices {
            self.machines[*index].stop(loss);
        }
        self.advance(Millis(800));
        let stopped = |m: &Machine| !m.removed && m.replica().is_none();
        let all: Vec<usize> = (0..self.machines.len())
            .filter(|index| stopped(&self.machines[*index]))
            .collect();
        for index in all {
            self.start(index);
        }
    }

    fn wipe(&mut self, count: usize) {
        let indices = self.random_running(count);
        for index in &indices {
            let drawn_identity = self.draw_identity();
            self.machines[*index].wipe(drawn_identity);
        }
        self.advance(Millis(800));
        for index in indices {
            self.start(index);
        }
    }

    fn wipe_two_as_partition_heals(&mut self) {
        let leader = self.leader();
        let mut peers = self.random_running(usize::MAX);
        peers.retain(|index| Some(*index) != leader);
        self.isolated.extend(peers.iter().take(2));
        self.advance(Millis(5000));
        let wiped: Vec<usize> = leader.into_iter().chain(peers.get(2).copied()).collect();
        for index in &wiped {
            let drawn_identity = self.draw_identity();
            self.machines[*index].wipe(drawn_identity);
        }
        self.isolated.clear();
        self.advance(Millis(300));
        for index in wiped {
            self.start(index);
        }
    }

    fn replace(&mut self) {
        // Seeds are not replaced, so that an empty machine finds the group.
        let is_replaceable = |index: &usize| *index >= SEEDS && self.machines[*index].is_active();
        let Some(index) = (0..self.machines.len()).find(is_replaceable) else {
            return;
        };
        self.machines[index].stop(KEEP_ALL);
        self.machines[index].removed = true;
        self.advance(Millis(1000));
        let drawn_identity = self.draw_identity();
        let address = format!("m{}", self.machines.len());
        let mut machine = Machine::empty(address, drawn_identity);
        machine.set_duties(self.duty_settings);
        self.machines.push(machine);
        self.start(self.machines.len() - 1);
    }
}
