//! Machines, the links between them, an operator, and what befalls them.

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
use crate::platform::TURNS_WITHIN;

mod usage;

use usage::{CALL_TIME, Duties, GATEWAYS, WINDOW};

/// A process that ends leaves what it wrote.
const KEEP_ALL: PowerLoss = PowerLoss::KeepPrefix(1 << 40);
const STEP: Millis = Millis(10);
const MACHINES: usize = 5;
const SEEDS: usize = 3;
/// The operator writes, and reads, this often.
const OPERATOR_INTERVAL: Millis = Millis(150);
/// Until the group is whole again after a trouble has ended.
const MENDED_WITHIN: Millis = Millis::from_secs(8);

/// What may befall the machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    KillSome,
    LosePowerEverywhere,
    WipeOne,
    WipeTwo,
    WipeAcknowledgerThenPowerEverywhere,
    Replace,
    CutMinority,
    CutOffLeader,
    FreezeLeader,
    /// While two are cut off, the others go on; then two of those lose their
    /// disks just as the cut heals.
    WipeTwoAsACutHeals,
}

impl Trouble {
    pub const ALL: [Trouble; 10] = [
        Trouble::KillSome,
        Trouble::LosePowerEverywhere,
        Trouble::WipeOne,
        Trouble::WipeTwo,
        Trouble::WipeAcknowledgerThenPowerEverywhere,
        Trouble::Replace,
        Trouble::CutMinority,
        Trouble::CutOffLeader,
        Trouble::FreezeLeader,
        Trouble::WipeTwoAsACutHeals,
    ];
}

struct UnderWay {
    arrives: Millis,
    from: usize,
    to: usize,
    event: Event,
}

pub struct World {
    seed: u64,
    random: Pcg64Mcg,
    machines: Vec<Machine>,
    cut_off: BTreeSet<usize>,
    under_way: Vec<UnderWay>,
    now: Millis,
    version: u64,
    /// Highest version that was acknowledged.
    acknowledged: u64,
    acknowledged_by: usize,
    asked_at: Millis,
    drawn: u64,
    pub struck: usize,
    pub duties: Option<Duties>,
    duty_settings: Option<DutySettings>,
}

impl World {
    pub fn new(seed: u64) -> Self {
        World::with_duties(seed, None)
    }

    /// A world with a platform that is told usage; it checks fences or not.
    pub fn with_usage(seed: u64, fences_checked: bool) -> Self {
        let settings = DutySettings {
            fences_checked,
            turns_within: TURNS_WITHIN,
            call_time: CALL_TIME,
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
            cut_off: BTreeSet::new(),
            under_way: Vec::new(),
            now: Millis(1000),
            version: 0,
            acknowledged: 0,
            acknowledged_by: 0,
            asked_at: Millis::ZERO,
            drawn: 50_000,
            struck: 0,
            duty_settings: settings,
            duties: settings.map(|settings| Duties::new(seed, settings.fences_checked)),
        };
        for address in addresses {
            let drawn = world.draw_identity();
            let mut machine = Machine::first(address, &group, drawn);
            machine.give_duties(settings);
            world.machines.push(machine);
        }
        for place in 0..GATEWAYS {
            world.start_gateway(place);
        }
        let mut order: Vec<usize> = (0..MACHINES).collect();
        order.sort_by_key(|_| world.random.random::<u64>());
        for place in order {
            world.start(place);
            let pause = Millis(world.random.random_range(0..120));
            world.pass(pause);
        }
        world
    }

    fn draw_identity(&mut self) -> u64 {
        self.drawn += 1;
        self.drawn
    }

    fn start(&mut self, place: usize) {
        let seed = self.seed * 1000 + place as u64;
        self.machines[place].start(self.now, seed);
    }

    // ---- Runs ----

    pub fn run(&mut self, troubles: usize, kinds: &[Trouble]) {
        self.settle();
        self.check_whole();
        for _ in 0..troubles {
            let kind = kinds[self.random.random_range(0..kinds.len())];
            let pause = Millis(self.random.random_range(0..1500));
            self.pass(pause);
            self.strike(kind);
            self.struck += 1;
            self.settle();
            self.check_whole();
        }
    }

    /// Lets the group mend itself.
    pub fn settle(&mut self) {
        self.pass(MENDED_WITHIN);
    }

    /// The group has a leader, its voters, and everything acknowledged.
    pub fn check_whole(&self) {
        let leader = self.leader();
        let place = leader.unwrap_or_else(|| panic!("seed {}: no leader", self.seed));
        let node = self.machines[place].replica().expect("it runs").node();
        let voters: Vec<ReplicaId> = node.membership().voters().collect();
        assert_eq!(voters.len(), 5, "seed {}: voters {voters:?}", self.seed);
        for id in voters {
            let lives = self.machines.iter().any(|m| m.id() == id && m.acts());
            assert!(lives, "seed {}: voter {id} is gone", self.seed);
        }
        let held = self.version_at(place);
        assert!(
            held >= self.acknowledged,
            "seed {}: {held} is held, {} was acknowledged",
            self.seed,
            self.acknowledged
        );
    }

    fn version_at(&self, place: usize) -> u64 {
        let replica = self.machines[place].replica().expect("it runs");
        replica.state().routes_version().unwrap_or(0)
    }

    fn leader(&self) -> Option<usize> {
        (0..self.machines.len()).find(|place| {
            let machine = &self.machines[*place];
            let leads = |r: &garnet_control::Replica| r.node().holds_lease(self.now);
            machine.acts() && machine.replica().is_some_and(leads)
        })
    }

    // ---- Time ----

    fn pass(&mut self, time: Millis) {
        let until = self.now + time;
        while self.now < until {
            self.now = self.now + STEP;
            self.deliver();
            for place in 0..self.machines.len() {
                if self.machines[place].acts() {
                    self.event(place, Event::Tick);
                    self.tell_wish(place);
                }
            }
            self.operate();
            self.meter();
            self.answer_calls();
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.under_way)
            .into_iter()
            .partition(|message| message.arrives <= now);
        self.under_way = later;
        for message in due {
            let UnderWay {
                from, to, event, ..
            } = message;
            let apart = self.cut_off.contains(&from) != self.cut_off.contains(&to);
            if !apart && self.machines[to].acts() {
                self.event(to, event);
            }
        }
    }

    fn event(&mut self, place: usize, event: Event) {
        let effects = self.machines[place].handle(event, self.now);
        for effect in effects {
            self.effect(place, effect);
        }
    }

    fn effect(&mut self, place: usize, effect: Effect) {
        match effect {
            Effect::SendPeer(envelope) => {
                // A replica that is not known yet told its address itself.
                let to = self
                    .machines
                    .iter()
                    .position(|m| m.id() == envelope.to && !m.gone);
                self.send(place, to, Event::Peer(envelope));
            }
            Effect::ForwardJoin { address, request } => {
                let to = self.place_of(&address);
                self.send(place, to, Event::Join(request));
            }
            Effect::AnswerOperator { ticket, answer } => self.answered(place, ticket, answer),
            Effect::CallPlatform(call) => self.call_platform(place, call),
            Effect::ReplyGateway { connection, reply } => self.tell_gateway(connection, &reply),
            _ => {}
        }
    }

    fn place_of(&self, address: &str) -> Option<usize> {
        let is_there = |m: &Machine| m.address == address && !m.gone;
        self.machines.iter().position(is_there)
    }

    fn send(&mut self, from: usize, to: Option<usize>, event: Event) {
        if let Some(to) = to {
            let delay = Millis(self.random.random_range(1..15));
            self.under_way.push(UnderWay {
                arrives: self.now + delay,
                from,
                to,
                event,
            });
        }
    }

    fn tell_wish(&mut self, place: usize) {
        let seeds: Vec<String> = (0..SEEDS).map(|n| format!("m{n}")).collect();
        let now = self.now;
        if let Some((request, targets)) = self.machines[place].wish(&seeds, now) {
            for target in targets {
                let to = self.place_of(&target);
                self.send(place, to, Event::Join(request.clone()));
            }
        }
    }

    // ---- The operator ----

    /// Writes a new version and reads, at each machine: whoever leads answers.
    fn operate(&mut self) {
        if self.now.since(self.asked_at) < OPERATOR_INTERVAL {
            return;
        }
        self.asked_at = self.now;
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
        for place in 0..self.machines.len() {
            if !self.machines[place].acts() {
                continue;
            }
            let request = OperatorRequest::Routes;
            self.event(place, Event::Operator { ticket: 0, request });
            let envelope = envelope.clone();
            let request = OperatorRequest::Command { envelope, wait };
            self.event(place, Event::Operator { ticket, request });
        }
    }

    fn answered(&mut self, place: usize, ticket: u64, answer: OperatorAnswer) {
        match answer {
            OperatorAnswer::Committed { .. } if ticket > self.acknowledged => {
                self.acknowledged = ticket;
                self.acknowledged_by = place;
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

    // ---- Troubles ----

    fn strike(&mut self, kind: Trouble) {
        match kind {
            Trouble::KillSome => self.kill_some(),
            Trouble::LosePowerEverywhere => self.restart_all(PowerLoss::DropUnsynced),
            Trouble::WipeOne => self.wipe(1),
            Trouble::WipeTwo => self.wipe(2),
            Trouble::WipeAcknowledgerThenPowerEverywhere => {
                let drawn = self.draw_identity();
                let place = self.acknowledged_by;
                if !self.machines[place].gone {
                    self.machines[place].wipe(drawn);
                }
                self.restart_all(PowerLoss::DropUnsynced);
            }
            Trouble::Replace => self.replace(),
            Trouble::CutMinority => {
                let places = self.some_running(2);
                self.cut_off.extend(places);
                self.pass(Millis(6000));
                self.cut_off.clear();
            }
            Trouble::CutOffLeader => {
                self.cut_off.extend(self.leader());
                self.pass(Millis(4000));
                self.cut_off.clear();
            }
            Trouble::WipeTwoAsACutHeals => self.wipe_two_as_a_cut_heals(),
            Trouble::FreezeLeader => {
                if let Some(place) = self.leader() {
                    self.machines[place].frozen = true;
                    self.pass(Millis(3000));
                    self.machines[place].frozen = false;
                }
            }
        }
    }

    fn some_running(&mut self, count: usize) -> Vec<usize> {
        let running = |place: &usize| self.machines[*place].acts();
        let mut places: Vec<usize> = (0..self.machines.len()).filter(running).collect();
        places.sort_by_key(|_| self.random.random::<u64>());
        places.truncate(count);
        places
    }

    fn kill_some(&mut self) {
        let count = self.random.random_range(1..4);
        let places = self.some_running(count);
        for place in &places {
            self.machines[*place].stop(KEEP_ALL);
        }
        self.pass(Millis(1000));
        for place in places {
            self.start(place);
        }
    }

    fn restart_all(&mut self, loss: PowerLoss) {
        let places = self.some_running(usize::MAX);
        for place in &places {
            self.machines[*place].stop(loss);
        }
        self.pass(Millis(800));
        let stopped = |m: &Machine| !m.gone && m.replica().is_none();
        let all: Vec<usize> = (0..self.machines.len())
            .filter(|place| stopped(&self.machines[*place]))
            .collect();
        for place in all {
            self.start(place);
        }
    }

    fn wipe(&mut self, count: usize) {
        let places = self.some_running(count);
        for place in &places {
            let drawn = self.draw_identity();
            self.machines[*place].wipe(drawn);
        }
        self.pass(Millis(800));
        for place in places {
            self.start(place);
        }
    }

    fn wipe_two_as_a_cut_heals(&mut self) {
        let leader = self.leader();
        let mut others = self.some_running(usize::MAX);
        others.retain(|place| Some(*place) != leader);
        self.cut_off.extend(others.iter().take(2));
        self.pass(Millis(5000));
        let wiped: Vec<usize> = leader.into_iter().chain(others.get(2).copied()).collect();
        for place in &wiped {
            let drawn = self.draw_identity();
            self.machines[*place].wipe(drawn);
        }
        self.cut_off.clear();
        self.pass(Millis(300));
        for place in wiped {
            self.start(place);
        }
    }

    fn replace(&mut self) {
        // Seeds stay, so that an empty machine finds the group.
        let is_other = |place: &usize| *place >= SEEDS && self.machines[*place].acts();
        let Some(place) = (0..self.machines.len()).find(is_other) else {
            return;
        };
        self.machines[place].stop(KEEP_ALL);
        self.machines[place].gone = true;
        self.pass(Millis(1000));
        let drawn = self.draw_identity();
        let address = format!("m{}", self.machines.len());
        let mut machine = Machine::empty(address, drawn);
        machine.give_duties(self.duty_settings);
        self.machines.push(machine);
        self.start(self.machines.len() - 1);
    }
}
